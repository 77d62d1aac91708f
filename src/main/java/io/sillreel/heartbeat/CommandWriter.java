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

/** Tells a machine what to do: what to reap, what to stop and, in answer to a report alone, what to launch. */
public final class CommandWriter {
    private final EventLoop eventLoop;
    private final AttemptIds attemptIds;
    private final Cluster cluster;
    private final Planner planner;
    private PlacementPlan plan = PlacementPlan.EMPTY;

    /** @param attemptIds the ids of the launches of this term */
    public CommandWriter(EventLoop eventLoop, AttemptIds attemptIds, Cluster cluster, Planner planner) {
        this.eventLoop = eventLoop;
        this.attemptIds = attemptIds;
        this.cluster = cluster;
        this.planner = planner;
    }

    /** The proposal from which the next launches are taken. */
    void usePlan(PlacementPlan newPlan) {
        plan = newPlan;
    }

    /** True if this term can launch nothing more. */
    boolean hasExhaustedAttemptIds() {
        return attemptIds.isExhausted();
    }

    /** Reaps what is settled and stops what must not run; both are repeated until the reports show them done. */
    void addCommands(Machine machine, AgentCommands commands) {
        for (Allocation allocation : machine.allocations()) {
            if (commands.isFull()) {
                return;
            }
            ActiveJob job = allocation.job();
            boolean idle = job == null || job.isCancelled();
            if (allocation.hasEnded()) {
                // The worker is the only one to know of a completion until the store does.
                if (idle || !job.isTaskDone(allocation.taskIndex()) || job.isTaskStored(allocation.taskIndex())) {
                    allocation.recordAcknowledgementSent(
                            machine.heartbeatOrder().sequence());
                    commands.acknowledge(allocation.uid(), allocation.taskIndex(), allocation.attempt());
                }
            } else if (allocation.isUnconfirmed()) {
                if (idle) {
                    commands.stop(allocation.uid(), allocation.taskIndex(), allocation.attempt(), 0);
                }
            } else if (idle || job.isTaskDone(allocation.taskIndex())) {
                commands.stop(allocation.uid(), allocation.taskIndex(), allocation.attempt(), 0);
            } else if (allocation.isStopping()) {
                commands.stop(
                        allocation.uid(), allocation.taskIndex(), allocation.attempt(), allocation.gracePeriodMicros());
            }
        }
    }

    /**
     * Gives the machine what the plan has for it, and what it had no room for elsewhere as far as there is room here.
     */
    void addLaunches(Machine machine, Heartbeat heartbeat, AgentCommands commands, long now) {
        List<TaskAssignment> planned = plan.launches().remove(machine.name());
        if (!planner.acceptsLaunches(machine, now)) {
            return;
        }
        if (planned != null) {
            addLaunches(machine, planned, heartbeat, commands, now);
        }
        if (machine.freeCpus() > 0) {
            List<TaskAssignment> left = planner.planMachine(plan, machine, now, eventLoop.wallMicros());
            if (!left.isEmpty()) {
                addLaunches(machine, left, heartbeat, commands, now);
            }
        }
    }

    private void addLaunches(
            Machine machine, List<TaskAssignment> assignments, Heartbeat heartbeat, AgentCommands commands, long now) {
        QuotaUsage usage = cluster.quotaUsage();
        // A machine that has not heeded its last answer is tried with one task, not with all that it has room for.
        int most = Math.min(
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
            for (int i = 0; i < count && most > 0 && !commands.isFull() && !attemptIds.isExhausted(); i++) {
                int task = job.nextWaitingTask();
                if (task < 0) {
                    break;
                }
                long attempt = attemptIds.next();
                machine.add(Allocation.launched(job, task, attempt, heartbeat.sequence()));
                usage.add(job.spec(), 1);
                most--;
                commands.launch(job.uid(), task, attempt);
            }
        }
    }
}
