package io.sillreel.placement;

import io.sillreel.pipeline.ActiveJob;

/** A waiting job with its place in the order, and how many of its tasks have no place yet. */
final class QueuedJob {
    final ActiveJob job;
    final int priorityBand;
    final boolean isUrgent;
    final boolean isAged;
    int remainingTasks;

    QueuedJob(ActiveJob job, int level, boolean pressing, boolean aged) {
        this.job = job;
        this.priorityBand = level;
        this.isUrgent = pressing;
        this.isAged = aged;
        this.remainingTasks = job.waitingCount();
    }
}
