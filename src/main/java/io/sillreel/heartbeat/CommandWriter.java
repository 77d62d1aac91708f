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
    private PlacementPlan plan = PlacementPlan.EMPTY;

    /** @param attemptIds generates the attempt ids of this term */
    public CommandWriter(EventLoop eventLoop, AttemptIds attemptIds, Cluster cluster, Planner planner) {
        this.eventLoop = eventLoop;
        this.attemptIds = attemptIds;
        this.cluster = cluster;
        this.planner = planner;
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
            addLaunches(machine, planned, heartbeat, commands, now);
        }
        if (machine.freeCpus() > 0) {
            List<TaskAssignment> additional = planner.backfillMachine(plan, machine, now, eventLoop.wallMicros());
            if (!additional.isEmpty()) {
                addLaunches(machine, additional, heartbeat, commands, now);
            }
        }
    }

    private void addLaunches(
            Machine machine, List<TaskAssignment> assignments, Heartbeat heartbeat, AgentCommands commands, long now) {
        QuotaUsage usage = cluster.quotaUsage();
        // A machine that ignored its last commands gets a single task, to probe whether it responds again.
        int remainingLaunches = Math.min(
                machine.responsiveness().ignoredCommandCount() > 0 ? 1 : Integer.MAX_VALUE,
                Machine.MAX_TASKS - machine.allocations().size());
        for (TaskAssignment assignment : assignments) {
            ActiveJob job = assignment.job();
            if (!cluster.isLaunchable(job, eventLoop.wallMicros())
                    || !PlacementConstraints.isEligible(job.spec(), machine)) {
                continue;
            }
            int count = Math.min(
                    assignment.count(),
                    Math.min(
                            machine.fittingTasks(job.spec()),
                            Math.min(
                                    cluster.quotaHeadroom(job.spec(), usage),
                                    cluster.zoneHeadroom(job, machine.zone()))));
            for (int i = 0;
                    i < count && remainingLaunches > 0 && !commands.isFull() && !attemptIds.isExhausted();
                    i++) {
                int task = job.nextWaitingTask();
                if (task < 0) {
                    break;
                }
                long attempt = attemptIds.next();
                machine.add(Allocation.launched(job, task, attempt, heartbeat.sequence()));
                usage.add(job.spec(), 1);
                remainingLaunches--;
                commands.launch(job.uid(), task, attempt);
            }
        }
    }
}
