package io.sillreel.placement;

import java.util.List;

/**
 * The steps of one plan for the whole queue: places the waiting jobs band by band, and makes room for those that find
 * no capacity. An error that occurs for one job leaves the others unaffected. Guarded by the cluster lock.
 */
final class PlanningCycle {
    /** Maximum number of jobs that may preempt others in one plan, because each of them iterates over all machines. */
    private static final int MAX_PREEMPTING_JOBS = 12;

    private final JobPlacer placer;
    private final MachineReservations reservations;
    private final Preemption preemption;
    private final PlanningErrors errors;
    private final long wallMicros;
    private int preemptingJobs;

    PlanningCycle(
            JobPlacer placer,
            MachineReservations reservations,
            Preemption preemption,
            PlanningErrors errors,
            long wallMicros) {
        this.placer = placer;
        this.reservations = reservations;
        this.preemption = preemption;
        this.errors = errors;
        this.wallMicros = wallMicros;
    }

    void placeQueue(List<QueuedJob> queue) {
        int from = 0;
        while (from < queue.size()) {
            int to = QueueOrder.endOfBand(queue, from, Integer.MAX_VALUE);
            List<QueuedJob> band = queue.subList(from, to);
            // In the first pass, jobs that are not urgent use only machines that have their image. The second pass over
            // the same band lets them use all machines.
            for (QueuedJob queued : band) {
                errors.confine(queued.job(), wallMicros, () -> placer.place(queued, !queued.isUrgent()));
            }
            for (QueuedJob queued : band) {
                if (!queued.job().isPlanningSuspended(wallMicros)) {
                    errors.confine(queued.job(), wallMicros, () -> placeOrMakeRoom(queued));
                }
            }
            from = to;
        }
    }

    private void placeOrMakeRoom(QueuedJob queued) {
        int unplacedTasks = placer.place(queued, false);
        if (unplacedTasks > 0 && queued.isAged()) {
            reservations.reserve(queued);
        }
        if (unplacedTasks > 0
                && preemptingJobs < MAX_PREEMPTING_JOBS
                && preemption.preemptFor(queued, unplacedTasks, wallMicros)) {
            preemptingJobs++;
        }
    }
}
