package io.sillreel.placement;

import io.sillreel.pipeline.ActiveJob;
import io.sillreel.pipeline.PriorityClass;

/**
 * The grounds on which a waiting job may preempt running tasks. Preemption loses work, so apart from high priority a
 * ground applies only once the job's objective is at risk. A deadline that can no longer be met is no ground, and a
 * missed guarantee is one only for tasks with checkpoints.
 */
final class PreemptionGrounds {
    /** Jobs without high priority preempt only if their deadline is at risk: with no more slack than this. */
    private static final long AT_RISK_SLACK_MICROS = 6_000_000;

    private final boolean hasHighPriority;
    private final boolean isDeadlineAtRisk;
    private final boolean isGuaranteeAtRisk;
    private final boolean isGuaranteeMissed;

    PreemptionGrounds(QueuedJob queued, TeamGuarantees guarantees, ServiceLevelObjectives objectives, long wallMicros) {
        ActiveJob job = queued.job();
        PriorityClass priorityClass = job.effectivePriority();
        long waitedMicros = wallMicros - job.readyWallMicros();
        long slackMicros = objectives.slackMicros(job, wallMicros);
        hasHighPriority = priorityClass.isAbove(PriorityClass.NORMAL);
        isDeadlineAtRisk =
                priorityClass != PriorityClass.BEST_EFFORT && slackMicros >= 0 && slackMicros <= AT_RISK_SLACK_MICROS;
        isGuaranteeAtRisk = guarantees.covers(job)
                && waitedMicros > objectives.guaranteedStartMicros() / 2
                && QueueOrder.isServedAsGuaranteed(queued);
        isGuaranteeMissed = waitedMicros > objectives.guaranteedStartMicros();
    }

    boolean mayPreempt() {
        return hasHighPriority || isDeadlineAtRisk || isGuaranteeAtRisk;
    }

    /** Returns true if the job may preempt work of lower priority classes. */
    boolean mayPreemptLowerPriority() {
        return hasHighPriority || isDeadlineAtRisk;
    }

    /** Returns true if the job may preempt lower priority classes without regard to checkpoints and guarantees. */
    boolean hasHighPriority() {
        return hasHighPriority;
    }

    /**
     * Returns true if the job may preempt tasks beyond other teams' guarantees; only those with checkpoints if the
     * guarantee is missed.
     */
    boolean isGuaranteeAtRisk() {
        return isGuaranteeAtRisk;
    }

    /**
     * Returns true if the guaranteed start time is missed, so that preempting tasks without checkpoints would lose work
     * to no avail.
     */
    boolean isGuaranteeMissed() {
        return isGuaranteeMissed;
    }
}
