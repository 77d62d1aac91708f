package io.sillreel.placement;

import io.sillreel.pipeline.ActiveJob;
import io.sillreel.pipeline.PriorityClass;

/**
 * On what grounds a waiting job may have running tasks of others stopped. Stopping costs work, so each ground counts
 * only once the job's objective is in danger, and only while it can still be met.
 */
final class PreemptionGrounds {
    /** Work without high priority preempts only if it would be late otherwise: with no more slack than this. */
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

    boolean exist() {
        return hasHighPriority || isDeadlineAtRisk || isGuaranteeAtRisk;
    }

    /** Returns true if the job may preempt work of lower priority classes. */
    boolean allowLowerPriority() {
        return hasHighPriority || isDeadlineAtRisk;
    }

    /** Returns true if the job may preempt lower priority classes without regard to checkpoints and guarantees. */
    boolean hasHighPriority() {
        return hasHighPriority;
    }

    /** Returns true if the job may preempt what other teams run beyond their guarantees, if it has checkpoints. */
    boolean isGuaranteeAtRisk() {
        return isGuaranteeAtRisk;
    }

    /** Returns true if the guaranteed start is missed, so that work without checkpoints would be lost for nothing. */
    boolean isGuaranteeMissed() {
        return isGuaranteeMissed;
    }
}
