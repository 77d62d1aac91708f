package io.sillreel.heartbeat;

import io.sillreel.agent.AgentCommands;
import io.sillreel.agent.Heartbeat;
import io.sillreel.cluster.Cluster;
import io.sillreel.cluster.Machine;
import io.sillreel.http.EventLoop;
import io.sillreel.http.HttpResponse;
import io.sillreel.placement.PlacementPlan;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Processes the heartbeats of workers while this controller leads a term, and answers each with the commands for its
 * machine. Tasks are launched only in these responses. A worker drops a response that arrives late, so a launch that
 * the next heartbeat does not show has not happened and never will. All state is guarded by the cluster lock.
 */
public final class HeartbeatProcessor {
    private static final Logger LOG = LoggerFactory.getLogger(HeartbeatProcessor.class);

    private final EventLoop eventLoop;
    private final long term;
    private final Cluster cluster;
    private final TaskReconciler reconciler;
    private final CommandWriter commandWriter;
    private final MachineLeases leases;
    private final UnresponsiveMachines unresponsiveMachines;
    private final TermOperations operations;
    private final HttpResponse noCommands;

    /** @param term the term of this leader, which is the fencing token of all its commands */
    public HeartbeatProcessor(
            EventLoop eventLoop,
            long term,
            Cluster cluster,
            TaskReconciler reconciler,
            CommandWriter commandWriter,
            MachineLeases leases,
            UnresponsiveMachines unresponsiveMachines,
            TermOperations operations) {
        this.eventLoop = eventLoop;
        this.term = term;
        this.cluster = cluster;
        this.reconciler = reconciler;
        this.commandWriter = commandWriter;
        this.leases = leases;
        this.unresponsiveMachines = unresponsiveMachines;
        this.operations = operations;
        this.noCommands = new AgentCommands().toResponse(term);
    }

    /** Sets the plan from which the next launches are taken. */
    public void usePlan(PlacementPlan plan) {
        commandWriter.usePlan(plan);
    }

    /** True if this term cannot launch any more tasks, so that a new term has to begin. */
    public boolean hasExhaustedAttemptIds() {
        return commandWriter.hasExhaustedAttemptIds();
    }

    /**
     * Returns the latest time, in microseconds, until which tasks may be live on a machine whose heartbeat is answered
     * at the given time.
     */
    public long leaseExpiryMicros(long nowMicros) {
        return leases.leaseExpiryMicros(nowMicros);
    }

    /** Processes a periodic heartbeat, which the worker sent to this controller or another controller relayed. */
    public HttpResponse process(Heartbeat heartbeat) {
        synchronized (cluster) {
            long now = eventLoop.nowMicros();
            Machine machine = cluster.machine(heartbeat.machine());
            if (machine == null) {
                return handleUnknownMachine(heartbeat);
            }
            if (machine.isReconciled()
                    && heartbeat.fencingToken() < term
                    && heartbeat.isNewerThan(
                            machine.heartbeatOrder().epoch(),
                            machine.heartbeatOrder().sequence())) {
                // Neither the fencing token nor the sequence decreases while a worker runs, so it has restarted.
                return handleRestart(machine);
            }
            if (!machine.acceptHeartbeat(heartbeat, false, now)) {
                return handleStaleHeartbeat(machine, heartbeat, now);
            }
            cluster.countSteps(heartbeat.tasks().size() + 1);
            operations.markMachineUp(machine);
            if (heartbeat.fencingToken() != term) {
                return handleStaleToken(machine, now);
            }
            reconciler.reconcile(machine, heartbeat, true, now);
            if (unresponsiveMachines.isIsolatedUnresponsive(machine)) {
                return unresponsiveMachines.refuseHeartbeat(machine);
            }
            machine.recordHeartbeatAnswered(leases.leaseExpiryMicros(now));
            AgentCommands commands = new AgentCommands();
            commandWriter.addCommands(machine, commands);
            if (operations.mayLaunchOrScale()) {
                commandWriter.addLaunches(machine, heartbeat, commands, now);
            }
            return commands.isEmpty() ? noCommands : commands.toResponse(term);
        }
    }

    /**
     * Answers a machine that is in no stored scale-out request, and therefore holds no tasks. It is adopted once its
     * heartbeat carries the current fencing token: a duplicate of an old heartbeat, from a machine that has been
     * returned since, never does.
     */
    private HttpResponse handleUnknownMachine(Heartbeat heartbeat) {
        if (operations.wasReturned(heartbeat.machine())) {
            return HttpResponse.retryLater(503, "the machine was returned", 1);
        }
        if (heartbeat.fencingToken() == term && !operations.adoptMachine(heartbeat)) {
            String machineType = heartbeat.description().machineType();
            return HttpResponse.retryLater(503, "machine type " + machineType + " is not known", 1);
        }
        return noCommands;
    }

    /**
     * Refuses a delayed or duplicated heartbeat: it must not extend the lease, so it is not answered with status 200.
     * The exception is a heartbeat that the response to a direct command has just overtaken: its worker still waits for
     * the response.
     */
    private HttpResponse handleStaleHeartbeat(Machine machine, Heartbeat heartbeat, long now) {
        if (machine.heartbeatOrder().isOvertakenByCommand(heartbeat, Heartbeat.RESPONSE_TIMEOUT_MICROS, now)) {
            machine.recordHeartbeatAnswered(leases.leaseExpiryMicros(now));
            return noCommands;
        }
        if (machine.heartbeatOrder().suggestsRestart(heartbeat)) {
            operations.queryMachineStatus(machine);
        }
        return HttpResponse.retryLater(503, "a newer report was seen", 1);
    }

    /**
     * Sends the current fencing token to a machine with an older one. The machine gets no launches, since it may still
     * execute commands of an earlier leader. Its heartbeats are refused once it has ignored several responses.
     */
    private HttpResponse handleStaleToken(Machine machine, long now) {
        if (unresponsiveMachines.isIsolatedUnresponsive(machine)) {
            return unresponsiveMachines.refuseHeartbeat(machine);
        }
        machine.responsiveness().recordStaleToken(now);
        machine.recordHeartbeatAnswered(leases.leaseExpiryMicros(now));
        return noCommands;
    }

    /**
     * Processes the heartbeat in the response to a direct command. A task that it lacks may have been launched
     * nevertheless, since the launch command may still be in flight.
     */
    public void processCommandResponse(Heartbeat heartbeat) {
        synchronized (cluster) {
            Machine machine = cluster.machine(heartbeat.machine());
            if (machine != null
                    && heartbeat.fencingToken() == term
                    && machine.acceptHeartbeat(heartbeat, true, eventLoop.nowMicros())) {
                reconciler.reconcile(machine, heartbeat, false, eventLoop.nowMicros());
            }
        }
    }

    /**
     * Processes the response to a status query. The worker has restarted if its sequence is not higher than the one
     * before the query. If heartbeats have been accepted since the query, the response is stale and is ignored.
     */
    public void processStatusResponse(Heartbeat heartbeat, long epochBefore, long sequenceBefore) {
        synchronized (cluster) {
            Machine machine = cluster.machine(heartbeat.machine());
            if (machine != null
                    && machine.heartbeatOrder().epoch() == epochBefore
                    && machine.heartbeatOrder().sequence() == sequenceBefore
                    && !heartbeat.isNewerThan(epochBefore, sequenceBefore)) {
                handleRestart(machine);
            }
        }
    }

    /**
     * Schedules the return of a machine whose worker has restarted under the same name, because duplicates of
     * heartbeats from before the restart cannot be distinguished from later heartbeats. Its tasks stay allocated until
     * the cloud has taken the machine back or its lease has expired, since the restarted worker may have received some
     * of them.
     */
    private HttpResponse handleRestart(Machine machine) {
        if (!machine.isReturnScheduled()) {
            LOG.info("machine {} restarted under the same name", machine.name());
            machine.scheduleReturn();
        }
        return HttpResponse.retryLater(503, "the machine is taken for one that has started again", 1);
    }

    /** Adds the acknowledgements and stops for the machine; they are repeated until a heartbeat shows the effect. */
    public void addCommands(Machine machine, AgentCommands commands) {
        commandWriter.addCommands(machine, commands);
    }

    /** Requeues the tasks of all machines whose leases have expired. The caller holds the cluster lock. */
    public void expireLeases() {
        leases.expireLeases();
    }

    /** Requeues all tasks of a machine on which none can be live. The caller holds the cluster lock. */
    public void clearTasks(Machine machine) {
        reconciler.clearTasks(machine);
    }
}
