package io.sillreel.placement;

import io.sillreel.cluster.Cluster;
import io.sillreel.cluster.Machine;
import java.util.List;

/**
 * Assigns waiting tasks to machines. A plan for the whole fleet is computed periodically; in between, a machine that
 * reports free capacity is backfilled with tasks that the last plan could not place, so that the cost of a heartbeat
 * does not grow with the fleet. Guarded by the cluster lock.
 */
public final class Planner {
    private final Cluster cluster;
    private final ServiceLevelObjectives objectives;
    private final LaunchEligibility eligibility;
    private final PlanningErrors errors;
    private final QueueOrder order;

    /**
     * @param heartbeatIntervalMicros interval between two heartbeats of a worker, in microseconds
     * @param errors confines errors to the job for which they occur
     */
    public Planner(
            Cluster cluster, long heartbeatIntervalMicros, ServiceLevelObjectives objectives, PlanningErrors errors) {
        this.cluster = cluster;
        this.objectives = objectives;
        this.eligibility = new LaunchEligibility(heartbeatIntervalMicros);
        this.errors = errors;
        this.order = new QueueOrder(cluster, objectives, errors);
    }

    /** Returns true if the machine may be given new tasks now. */
    public boolean acceptsLaunches(Machine machine, long nowMicros) {
        return eligibility.acceptsLaunches(machine, nowMicros);
    }

    /**
     * Makes a plan for all waiting tasks.
     *
     * @param nowMicros monotonic time of the event loop
     * @param wallMicros the time of day
     */
    public PlacementPlan plan(long nowMicros, long wallMicros) {
        TeamGuarantees guarantees = new TeamGuarantees(cluster, errors, wallMicros);
        List<QueuedJob> queue = order.queue(guarantees.coveredJobs(), wallMicros);
        if (queue.isEmpty()) {
            return PlacementPlan.EMPTY;
        }
        PlacementIndex index = indexFreeCapacity(queue, nowMicros);
        cluster.countSteps(queue.size() + cluster.machines().size());
        PlacementPlan plan = PlacementPlan.create();
        PlanningCycle cycle = new PlanningCycle(
                new JobPlacer(cluster, index, plan),
                new MachineReservations(cluster, eligibility, plan, nowMicros),
                new Preemption(cluster, eligibility, objectives, plan, guarantees, nowMicros),
                errors,
                wallMicros);
        cycle.placeQueue(queue);
        cluster.countSteps(index.steps());
        for (QueuedJob queued : queue) {
            if (queued.remainingTasks() > 0) {
                plan.unplaced().add(queued);
            }
        }
        return plan;
    }

    /** Indexes the machines that have capacity for the smallest of the waiting tasks. */
    private PlacementIndex indexFreeCapacity(List<QueuedJob> queue, long nowMicros) {
        double smallestCpus = Double.MAX_VALUE;
        for (QueuedJob queued : queue) {
            smallestCpus = Math.min(smallestCpus, queued.job().spec().cpus());
        }
        PlacementIndex index = new PlacementIndex(smallestCpus);
        for (Machine machine : cluster.machines()) {
            if (eligibility.isSchedulable(machine, nowMicros)
                    && machine.responsiveness().ignoredCommandCount() == 0) {
                index.add(new FreeCapacity(machine));
            }
        }
        return index;
    }

    /**
     * Returns tasks that the plan had no capacity for and that fit on the machine now, in queue order. They no longer
     * count as unplaced in the plan.
     */
    public List<TaskAssignment> backfillMachine(PlacementPlan plan, Machine machine, long nowMicros, long wallMicros) {
        if (plan.unplaced().isEmpty() || !eligibility.isSchedulable(machine, nowMicros)) {
            return List.of();
        }
        return new MachineBackfill(cluster, plan, machine, wallMicros, errors).backfill();
    }
}
