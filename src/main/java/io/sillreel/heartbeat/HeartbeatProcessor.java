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
 * machine. Tasks are launched in no other way: a worker drops a response that comes late, so a launch that the next
 * heartbeat does not show has not happened and never will. All state is guarded by the lock of the cluster.
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

    /** @param term the term that is led, which is the fencing token of all commands */
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

    /** True if this term can launch nothing more, so that another one has to begin. */
    public boolean hasExhaustedAttemptIds() {
        return commandWriter.hasExhaustedAttemptIds();
    }

    /**
     * The latest time, in microseconds, to which tasks live on a machine whose heartbeat is answered at the given time.
     */
    public long leaseExpiryMicros(long nowMicros) {
        return leases.leaseExpiryMicros(nowMicros);
    }

    /** Processes a heartbeat that its worker sent by itself, here or through another controller. */
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
            if (operations.mayAct()) {
                commandWriter.addLaunches(machine, heartbeat, commands, now);
            }
            return commands.isEmpty() ? noCommands : commands.toResponse(term);
        }
    }

    /**
     * Answers a machine that no stored scale-out request names; it holds no tasks of this fleet. It is adopted once it
     * shows the current fencing token: a copy of an old heartbeat, of a machine that was returned since, never does.
     */
    private HttpResponse handleUnknownMachine(Heartbeat heartbeat) {
        if (operations.isMachineGone(heartbeat.machine())) {
            return HttpResponse.retryLater(503, "the machine was returned", 1);
        }
        if (heartbeat.fencingToken() == term && !operations.adoptMachine(heartbeat)) {
            String machineType = heartbeat.description().machineType();
            return HttpResponse.retryLater(503, "machine type " + machineType + " is not known", 1);
        }
        return noCommands;
    }

    /**
     * Refuses an older heartbeat or a copy: it must not extend the lease, so it is not answered 200. The exception is a
     * heartbeat that the answer to a direct command has just overtaken: its worker still waits for the response.
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
     * Tells a machine with an older fencing token of this term. It gets no launches, since it may still obey an earlier
     * leader, and is refused once it has ignored several responses.
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
     * Processes the heartbeat in the answer to a direct command. It does not show that a launch did not happen, since
     * the launch may still be under way.
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
     * Processes the answer to a status query. A sequence that is not beyond the one before the query means that the
     * worker has restarted. If heartbeats were accepted since the query, the answer is older and is ignored.
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
     * Returns a machine whose worker has restarted under the same name to the cloud: copies of heartbeats from before
     * the restart could not be told from later ones. Its tasks stay allocated until the cloud has taken it or its lease
     * has expired, since the restarted worker may have received some of them.
     */
    private HttpResponse handleRestart(Machine machine) {
        if (!machine.isReturnScheduled()) {
            LOG.info("machine {} restarted under the same name", machine.name());
            machine.scheduleReturn();
        }
        return HttpResponse.retryLater(503, "the machine is taken for one that has started again", 1);
    }

    /** Adds the acknowledgements and stops for the machine; they are repeated until its heartbeats show the effect. */
    public void addCommands(Machine machine, AgentCommands commands) {
        commandWriter.addCommands(machine, commands);
    }

    /** Queues the tasks of machines whose leases have expired again. The caller holds the lock of the cluster. */
    public void expireLeases() {
        leases.expireLeases();
    }

    /** Queues all tasks of a machine again, which are certainly gone. The caller holds the lock of the cluster. */
    public void clearTasks(Machine machine) {
        reconciler.clearTasks(machine);
    }
}
