package io.sillreel.heartbeat;

import io.sillreel.agent.AgentCommands;
import io.sillreel.agent.Heartbeat;
import io.sillreel.cluster.Allocation;
import io.sillreel.cluster.Cluster;
import io.sillreel.cluster.Machine;
import io.sillreel.cluster.PlacementConstraints;
import io.sillreel.cluster.QuotaUsage;
import io.sillreel.http.EventLoop;
import io.sillreel.pipeline.ActiveJob;
import io.sillreel.placement.PlacementPlan;
import io.sillreel.placement.Planner;
import io.sillreel.placement.PlanningErrors;
import io.sillreel.placement.TaskAssignment;
import java.util.List;

/**
 * Writes the commands for a machine: acknowledgements, stops and, in the response to a heartbeat only, launches.
 * Guarded by the cluster lock.
 */
public final class CommandWriter {
    private final EventLoop eventLoop;
    private final AttemptIds attemptIds;
    private final Cluster cluster;
    private final Planner planner;
    private final PlanningErrors planningErrors;
    private PlacementPlan plan = PlacementPlan.EMPTY;

    /**
     * @param attemptIds generates the attempt ids of this term
     * @param planningErrors confines errors in launching to the job for which they occur
     */
    public CommandWriter(
            EventLoop eventLoop,
            AttemptIds attemptIds,
            Cluster cluster,
            Planner planner,
            PlanningErrors planningErrors) {
        this.eventLoop = eventLoop;
        this.attemptIds = attemptIds;
        this.cluster = cluster;
        this.planner = planner;
        this.planningErrors = planningErrors;
    }

    /** Sets the plan from which the next launches are taken. */
    void usePlan(PlacementPlan newPlan) {
        plan = newPlan;
    }

    /** True if this term cannot launch any more tasks. */
    boolean hasExhaustedAttemptIds() {
        return attemptIds.isExhausted();
    }

    /**
     * Adds acknowledgements of ended tasks and stops for tasks that must not run. They are repeated in each response
     * until a heartbeat shows the effect.
     */
    void addCommands(Machine machine, AgentCommands commands) {
        for (Allocation allocation : machine.allocations()) {
            if (commands.isFull()) {
                return;
            }
            ActiveJob job = allocation.job();
            boolean isObsolete = job == null || job.isCancelled();
            if (allocation.hasEnded()) {
                // Until a completion is stored, the worker has to keep reporting it, for the case of a failover.
                if (isObsolete || !job.isTaskDone(allocation.taskIndex()) || job.isTaskStored(allocation.taskIndex())) {
                    allocation.recordAcknowledgementSent(
                            machine.heartbeatOrder().sequence());
                    commands.acknowledge(allocation.uid(), allocation.taskIndex(), allocation.attempt());
                }
            } else if (allocation.isUnconfirmed()) {
                if (isObsolete) {
                    commands.stop(allocation.uid(), allocation.taskIndex(), allocation.attempt(), 0);
                }
            } else if (isObsolete || job.isTaskDone(allocation.taskIndex())) {
                commands.stop(allocation.uid(), allocation.taskIndex(), allocation.attempt(), 0);
            } else if (allocation.isStopping()) {
                commands.stop(
                        allocation.uid(), allocation.taskIndex(), allocation.attempt(), allocation.gracePeriodMicros());
            }
        }
    }

    /** Adds the launches planned for the machine, then launches of further waiting tasks that fit into it. */
    void addLaunches(Machine machine, Heartbeat heartbeat, AgentCommands commands, long now) {
        List<TaskAssignment> planned = plan.launches().remove(machine.name());
        if (!planner.acceptsLaunches(machine, now)) {
            return;
        }
        if (planned != null) {
            addLaunches(machine, planned, heartbeat, commands);
        }
        if (machine.freeCpus() > 0) {
            List<TaskAssignment> additional = planner.backfillMachine(plan, machine, now, eventLoop.wallMicros());
            if (!additional.isEmpty()) {
                addLaunches(machine, additional, heartbeat, commands);
            }
        }
    }

    private void addLaunches(
            Machine machine, List<TaskAssignment> assignments, Heartbeat heartbeat, AgentCommands commands) {
        long wallMicros = eventLoop.wallMicros();
        LaunchBatch batch = new LaunchBatch(machine, heartbeat.sequence(), commands);
        for (TaskAssignment assignment : assignments) {
            ActiveJob job = assignment.job();
            if (cluster.isLaunchable(job, wallMicros)) {
                planningErrors.confine(job, wallMicros, () -> batch.add(assignment));
            }
        }
    }

    /** The launches in the response to one heartbeat. */
    private final class LaunchBatch {
        private final Machine machine;
        private final long heartbeatSequence;
        private final AgentCommands commands;
        private final QuotaUsage usage = cluster.quotaUsage();
        private int remainingLaunches;

        LaunchBatch(Machine machine, long heartbeatSequence, AgentCommands commands) {
            this.machine = machine;
            this.heartbeatSequence = heartbeatSequence;
            this.commands = commands;
            // A machine that ignored its last commands gets a single task, to probe whether it responds again.
            this.remainingLaunches = machine.responsiveness().ignoredCommandCount() > 0
                    ? Math.min(1, machine.freeTaskSlots())
                    : machine.freeTaskSlots();
        }

        void add(TaskAssignment assignment) {
            ActiveJob job = assignment.job();
            if (!PlacementConstraints.isEligible(job.spec(), machine)) {
                return;
            }
            int count = Math.min(assignment.count(), startableTasks(job));
            for (int i = 0;
                    i < count && remainingLaunches > 0 && !commands.isFull() && !attemptIds.isExhausted();
                    i++) {
                int task = job.nextWaitingTask();
                if (task < 0) {
                    return;
                }
                launch(job, task);
            }
        }

        private int startableTasks(ActiveJob job) {
            int allowed = Math.min(cluster.quotaHeadroom(job.spec(), usage), cluster.zoneHeadroom(job, machine.zone()));
            return Math.min(machine.fittingTasks(job.spec()), allowed);
        }

        private void launch(ActiveJob job, int task) {
            long attempt = attemptIds.next();
            machine.add(Allocation.launched(job, task, attempt, heartbeatSequence));
            usage.add(job.spec(), 1);
            remainingLaunches--;
            commands.launch(job.uid(), task, attempt);
        }
    }
}
