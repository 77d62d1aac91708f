package io.sillreel.heartbeat;

import io.sillreel.agent.AgentCommands;
import io.sillreel.agent.Heartbeat;
import io.sillreel.cluster.Cluster;
import io.sillreel.cluster.Machine;
import io.sillreel.fleet.FleetThresholds;
import io.sillreel.http.EventLoop;
import io.sillreel.http.HttpResponse;
import io.sillreel.pipeline.RetrySchedule;
import io.sillreel.placement.PlacementPlan;
import io.sillreel.placement.Planner;
import io.sillreel.placement.RuntimeEstimator;
import io.sillreel.settings.Settings.WorkerTimes;
import io.sillreel.statestore.WriteQueue;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Takes workers' reports while this controller holds the lease, and answers with what the machine is to do. Launches
 * are given in no other way: a worker drops a response that comes late, so a launch that the next report does not show
 * has not happened and never will.
 */
public final class HeartbeatProcessor {
    /** What the processing of reports needs from the rest of the term. */
    public interface Callbacks {
        /** A machine that nobody rented under a known name has reported. */
        Machine adoptMachine(Heartbeat heartbeat);

        /** True if the machine was returned or taken; it can't be there any more. */
        boolean isMachineGone(String machine);

        /** The machine has reported for the first time. */
        void markMachineUp(Machine machine);

        /** Nothing that was on the machine can be alive any more, and it has not been heard since. */
        void markMachineDown(Machine machine);

        void requestScheduling();

        /** Asks the machine itself how far it counts. */
        void queryMachineStatus(Machine machine);
    }

    private static final Logger LOG = LoggerFactory.getLogger(HeartbeatProcessor.class);
    private static final long DRIFT_DIVISOR = 1_000;
    private static final long BOUND_MARGIN_MICROS = 500_000;

    private final EventLoop eventLoop;
    private final long term;
    private final Cluster cluster;
    private final WorkerTimes times;
    private final FleetThresholds thresholds;
    private final Callbacks callbacks;
    private final BooleanSupplier mayAct;
    private final HttpResponse noCommands;
    private final TaskReconciler reconciler;
    private final CommandWriter commandWriter;
    private final AttemptIds attemptIds;

    /** @param mayAct true while the lease and the cancellations are known well enough to launch tasks */
    public HeartbeatProcessor(
            EventLoop eventLoop,
            long term,
            Cluster cluster,
            WriteQueue writeQueue,
            WorkerTimes times,
            FleetThresholds thresholds,
            RetrySchedule retries,
            RuntimeEstimator runtimeEstimator,
            Planner planner,
            Callbacks callbacks,
            BooleanSupplier mayAct) {
        this.eventLoop = eventLoop;
        this.term = term;
        this.cluster = cluster;
        this.times = times;
        this.thresholds = thresholds;
        this.callbacks = callbacks;
        this.mayAct = mayAct;
        this.noCommands = new AgentCommands().toResponse(term);
        this.reconciler = new TaskReconciler(
                eventLoop, cluster, writeQueue, retries, runtimeEstimator, callbacks::requestScheduling);
        this.attemptIds = new AttemptIds(term);
        this.commandWriter = new CommandWriter(eventLoop, attemptIds, cluster, planner);
    }

    /** The proposal from which the next responses are filled. */
    public void usePlan(PlacementPlan plan) {
        commandWriter.usePlan(plan);
    }

    /** True if this term can launch nothing more, so that another one has to begin. */
    public boolean hasExhaustedAttemptIds() {
        return attemptIds.isExhausted();
    }

    /** The longest that tasks live on a machine whose report is answered now. */
    public long leaseExpiryMicros(long nowMicros) {
        return nowMicros + times.leaseMicros() + times.leaseMicros() / DRIFT_DIVISOR + BOUND_MARGIN_MICROS;
    }

    /** A report that came by itself, here or through another controller. */
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
                // Within one life neither the token nor the numbers fall.
                return handleRestart(machine);
            }
            if (!machine.acceptHeartbeat(heartbeat, false, now)) {
                return handleStaleHeartbeat(machine, heartbeat, now);
            }
            cluster.countSteps(heartbeat.tasks().size() + 1);
            callbacks.markMachineUp(machine);
            if (heartbeat.fencingToken() != term) {
                return handleStaleToken(machine, now);
            }
            reconciler.reconcile(machine, heartbeat, true, now);
            if (isIsolatedUnresponsive(machine)) {
                return refuseUnresponsive(machine);
            }
            machine.recordHeartbeatAnswered(leaseExpiryMicros(now));
            AgentCommands commands = new AgentCommands();
            commandWriter.addCommands(machine, commands);
            if (mayAct.getAsBoolean()) {
                commandWriter.addLaunches(machine, heartbeat, commands, now);
            }
            return commands.isEmpty() ? noCommands : commands.toResponse(term);
        }
    }

    /**
     * A machine that no stored rental names holds nothing of ours. It is used once it shows the current token: a copy
     * of an old report, of a machine that was returned since, never does.
     */
    private HttpResponse handleUnknownMachine(Heartbeat heartbeat) {
        if (callbacks.isMachineGone(heartbeat.machine())) {
            return HttpResponse.retryLater(503, "the machine was returned", 1);
        }
        if (heartbeat.fencingToken() == term && callbacks.adoptMachine(heartbeat) == null) {
            return HttpResponse.retryLater(503, "machine type " + heartbeat.machineType() + " is not known", 1);
        }
        return noCommands;
    }

    /**
     * An older message, or a copy, says nothing new and must extend no bound, so it is not answered 200. The exception
     * is a report that the answer to a direct command has just overtaken: its worker still waits.
     */
    private HttpResponse handleStaleHeartbeat(Machine machine, Heartbeat heartbeat, long now) {
        if (machine.heartbeatOrder().isOvertakenByCommand(heartbeat, Heartbeat.RESPONSE_TIMEOUT_MICROS, now)) {
            machine.recordHeartbeatAnswered(leaseExpiryMicros(now));
            return noCommands;
        }
        if (machine.heartbeatOrder().suggestsRestart(heartbeat)) {
            callbacks.queryMachineStatus(machine);
        }
        return HttpResponse.retryLater(503, "a newer report was seen", 1);
    }

    /**
     * The machine does not know this term yet: it may still obey an earlier leader. It is told, but not without end.
     */
    private HttpResponse handleStaleToken(Machine machine, long now) {
        if (isIsolatedUnresponsive(machine)) {
            return refuseUnresponsive(machine);
        }
        machine.responsiveness().recordStaleToken(now);
        machine.recordHeartbeatAnswered(leaseExpiryMicros(now));
        return noCommands;
    }

    /** True if the machine alone, or with few others, hears nothing; if many do, the fault is on this side. */
    private boolean isIsolatedUnresponsive(Machine machine) {
        if (!machine.responsiveness().isUnresponsive()) {
            return false;
        }
        int most = thresholds.maxUnresponsive(cluster.machines().size());
        long unresponsive = cluster.machines().stream()
                .filter(each -> each.responsiveness().isUnresponsive())
                .limit(most + 1L)
                .count();
        return unresponsive <= most;
    }

    /** It hears nothing: not answering lets its lease, and with it its tasks, run out; then it goes back. */
    private HttpResponse refuseUnresponsive(Machine machine) {
        if (machine.state() == Machine.State.UP) {
            LOG.info(
                    "machine {} ({}) does not react to its commands",
                    machine.name(),
                    machine.type().name());
            callbacks.requestScheduling();
            if (machine.isReconciled()) {
                machine.drain();
            } else {
                machine.scheduleReturn();
            }
        }
        return HttpResponse.retryLater(503, "earlier answers did not arrive", 1);
    }

    /** The report in the answer to a direct command. It can't show that a launch did not happen. */
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
     * What the machine said when it was asked how far it counts: less than it had counted when it was asked means that
     * it is a new life of it. If reports have been taken since, the answer is older than they are and says nothing.
     */
    public void processStatusResponse(Heartbeat heartbeat, long sessionBefore, long sequenceBefore) {
        synchronized (cluster) {
            Machine machine = cluster.machine(heartbeat.machine());
            if (machine != null
                    && machine.heartbeatOrder().epoch() == sessionBefore
                    && machine.heartbeatOrder().sequence() == sequenceBefore
                    && !heartbeat.isNewerThan(sessionBefore, sequenceBefore)) {
                handleRestart(machine);
            }
        }
    }

    /**
     * The machine has started again under its name. It goes back to the cloud: copies of reports from its old life
     * could not be told from later ones of the new. What it was given stays counted until the cloud has taken it, or
     * its lease has run out, since the new life may have been given some of it.
     */
    private HttpResponse handleRestart(Machine machine) {
        if (!machine.isReturnScheduled()) {
            LOG.info("machine {} has restarted under its old name", machine.name());
            machine.scheduleReturn();
        }
        return HttpResponse.retryLater(503, "the machine is taken for one that has started again", 1);
    }

    /** Adds what the machine is to reap and to stop; both are repeated until its reports show them done. */
    public void addCommands(Machine machine, AgentCommands commands) {
        commandWriter.addCommands(machine, commands);
    }

    /** Clears what can't be alive any more on machines that were not heard for longer than their lease. */
    public void expireLeases() {
        long now = eventLoop.nowMicros();
        for (Machine machine : cluster.machines()) {
            if (machine.leaseExpiryMicros() <= now) {
                machine.heartbeatOrder().endEpoch();
                cluster.markReconciled(machine);
                if (mayAct.getAsBoolean()) {
                    callbacks.markMachineDown(machine);
                }
                if (!machine.allocations().isEmpty()) {
                    LOG.info(
                            "machine {} is silent beyond its lease, {} tasks are queued again",
                            machine.name(),
                            machine.allocations().size());
                    clearTasks(machine);
                }
            }
        }
    }

    /** All tasks of the machine are certainly gone. */
    public void clearTasks(Machine machine) {
        reconciler.clearTasks(machine);
    }
}
