package io.sillreel.placement;

import io.sillreel.pipeline.ActiveJob;

/**
 * A waiting job in the queue of one plan, with the number of tasks that the plan has not placed yet. Guarded by the
 * cluster lock.
 */
final class QueuedJob {
    private final ActiveJob job;
    private final PriorityBand priorityBand;
    private final boolean isUrgent;
    private int remainingTasks;

    /** @param isUrgent true if the job does not wait for a machine that has its image */
    QueuedJob(ActiveJob job, PriorityBand priorityBand, boolean isUrgent) {
        this.job = job;
        this.priorityBand = priorityBand;
        this.isUrgent = isUrgent;
        this.remainingTasks = job.waitingCount();
    }

    ActiveJob job() {
        return job;
    }

    PriorityBand priorityBand() {
        return priorityBand;
    }

    /** Returns true if the job does not wait for a machine that has its image. */
    boolean isUrgent() {
        return isUrgent;
    }

    /** Returns true if the job has waited so long that machines may be reserved for it. */
    boolean isAged() {
        return priorityBand == PriorityBand.AGED;
    }

    /**
     * Returns true while tasks of the job have failed and none has succeeded. Only one task at a time is launched then,
     * because the job may fail on every machine.
     */
    boolean isProbing() {
        return !job.hasCompletedTask() && job.failures().areUnexplained();
    }

    /** Returns how many tasks of the job may be launched in addition to those that the plan has placed. */
    int launchableTasks() {
        if (!isProbing()) {
            return remainingTasks;
        }
        boolean isProbed = job.allocatedCount() > 0 || remainingTasks < job.waitingCount();
        return isProbed ? 0 : Math.min(1, remainingTasks);
    }

    /** Returns how many of the job's tasks the plan has not placed yet. */
    int remainingTasks() {
        return remainingTasks;
    }

    /** Records that the plan has placed tasks of the job. */
    void recordPlaced(int tasks) {
        remainingTasks -= tasks;
    }
}
