package io.sillreel.placement;

import io.sillreel.cluster.Cluster;
import io.sillreel.cluster.Machine;
import io.sillreel.cluster.PlacementConstraints;
import io.sillreel.cluster.QuotaUsage;
import io.sillreel.pipeline.ActiveJob;
import io.sillreel.pipeline.JobSpec;
import java.util.ArrayList;
import java.util.List;

/**
 * Backfills one machine with tasks that the last plan had no capacity for, in queue order. Each instance is used once.
 * Guarded by the cluster lock.
 */
final class MachineBackfill {
    /** Limits the cost of processing one heartbeat. */
    private static final int MAX_EXAMINED_JOBS = 64;

    private static final double MIN_FREE_CPUS = 1e-6;

    private final Cluster cluster;
    private final PlacementPlan plan;
    private final Machine machine;
    private final long wallMicros;
    private final PlanningErrors errors;
    private final FreeCapacity capacity;
    /** The job that the machine is reserved for, or null. */
    private final QueuedJob reservedFor;

    private final List<TaskAssignment> assignments = new ArrayList<>();
    /** Quota usage of the teams; null until a job is found that fits, because computing it iterates over all teams. */
    private QuotaUsage usage;

    private int examinedJobs;

    MachineBackfill(Cluster cluster, PlacementPlan plan, Machine machine, long wallMicros, PlanningErrors errors) {
        this.cluster = cluster;
        this.plan = plan;
        this.machine = machine;
        this.wallMicros = wallMicros;
        this.errors = errors;
        this.capacity = new FreeCapacity(machine);
        this.reservedFor = plan.reservations().get(machine.name());
    }

    List<TaskAssignment> backfill() {
        List<QueuedJob> unplaced = plan.unplaced();
        int from = 0;
        while (from < unplaced.size() && examinedJobs < MAX_EXAMINED_JOBS && capacity.cpus() > MIN_FREE_CPUS) {
            int to = QueueOrder.endOfBand(unplaced, from, MAX_EXAMINED_JOBS);
            List<QueuedJob> band = unplaced.subList(from, to);
            assignBand(band, true);
            assignBand(band, false);
            from = to;
        }
        cluster.countSteps(examinedJobs);
        return assignments;
    }

    /**
     * @param isFirstPass true to assign jobs that are urgent or whose image is on the machine, false to assign the
     *     other jobs
     */
    private void assignBand(List<QueuedJob> band, boolean isFirstPass) {
        for (QueuedJob queued : band) {
            examinedJobs++;
            if (!queued.job().isPlanningSuspended(wallMicros)) {
                assignConfined(queued, isFirstPass);
            }
        }
    }

    private void assignConfined(QueuedJob queued, boolean isFirstPass) {
        try {
            assignInPass(queued, isFirstPass);
        } catch (RuntimeException | StackOverflowError e) {
            errors.record(queued.job(), wallMicros, e);
        }
    }

    private void assignInPass(QueuedJob queued, boolean isFirstPass) {
        boolean isPreferred =
                queued.isUrgent() || capacity.hasImage(queued.job().spec());
        if (isPreferred == isFirstPass && mayUseMachine(queued)) {
            assign(queued);
        }
    }

    private boolean mayUseMachine(QueuedJob queued) {
        JobSpec spec = queued.job().spec();
        boolean isReservedForOther = reservedFor != null && reservedFor.remainingTasks() > 0 && reservedFor != queued;
        return queued.remainingTasks() > 0
                && !isReservedForOther
                && PlacementConstraints.isEligible(spec, machine)
                && capacity.fittingTasks(spec) > 0;
    }

    private void assign(QueuedJob queued) {
        if (usage == null) {
            usage = cluster.quotaUsage();
        }
        JobSpec spec = queued.job().spec();
        int count = Math.min(Math.min(queued.remainingTasks(), capacity.fittingTasks(spec)), startableTasks(queued));
        if (count > 0) {
            capacity.allocate(spec, count);
            usage.add(spec, count);
            queued.recordPlaced(count);
            assignments.add(new TaskAssignment(queued.job(), count));
        }
    }

    /** Returns how many tasks of the job may start on the machine now, regardless of its free capacity. */
    private int startableTasks(QueuedJob queued) {
        ActiveJob job = queued.job();
        if (!cluster.isLaunchable(job, wallMicros)
                || job.failures().excludes(machine.name())
                || queued.isProbing() && machine.responsiveness().ignoredCommandCount() == 0) {
            return 0;
        }
        return Math.min(
                Math.min(job.waitingCount(), queued.launchableTasks()),
                Math.min(cluster.quotaHeadroom(job.spec(), usage), cluster.zoneHeadroom(job, machine.zone())));
    }
}
