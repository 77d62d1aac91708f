package io.sillreel.placement;

import io.sillreel.pipeline.ActiveJob;
import io.sillreel.pipeline.JobSpec;
import io.sillreel.settings.Settings.Objective;
import java.util.List;

/**
 * Computes the deadlines of jobs from their own settings or from the service-level objectives of their job class. All
 * points in time are times of day in microseconds.
 */
public final class ServiceLevelObjectives {
    private static final String KIND_GUARANTEED_START = "guarantee";
    private static final String KIND_START = "wait";
    private static final long DEFAULT_COMPLETION_MICROS = 300_000_000;
    private static final long DEFAULT_GUARANTEED_START_MICROS = 10_000_000;

    private final List<Objective> objectives;
    private final RuntimeEstimator runtimeEstimator;

    public ServiceLevelObjectives(List<Objective> objectives, RuntimeEstimator runtimeEstimator) {
        this.objectives = objectives;
        this.runtimeEstimator = runtimeEstimator;
    }

    /** Returns the time within which jobs covered by their team's guarantee have to start, in microseconds. */
    public long guaranteedStartMicros() {
        long shortest = Long.MAX_VALUE;
        for (Objective objective : objectives) {
            if (objective.kind().equals(KIND_GUARANTEED_START) && objective.withinMicros() > 0) {
                shortest = Math.min(shortest, objective.withinMicros());
            }
        }
        return shortest == Long.MAX_VALUE ? DEFAULT_GUARANTEED_START_MICROS : shortest;
    }

    /** Returns the earliest deadline that the job can still meet, or else the latest of the missed ones. */
    public long deadlineMicros(ActiveJob job, long wallMicros) {
        return deadlineMicros(job, wallMicros, 0);
    }

    /** As {@link #deadlineMicros(ActiveJob, long)}, for tasks that can only start after a delay in microseconds. */
    public long deadlineMicros(ActiveJob job, long wallMicros, long delayMicros) {
        long slowestTaskMicros = runtimeEstimator.slowestTaskMicros(job);
        long earliestEnd = wallMicros + delayMicros + slowestTaskMicros;
        long inherited = job.inheritedDeadlineMicros();
        long earliestReachable = inherited >= earliestEnd ? inherited : Long.MAX_VALUE;
        JobSpec spec = job.spec();
        if (spec.deadlineMicros() >= 0) {
            return Math.min(job.admittedWallMicros() + spec.deadlineMicros(), earliestReachable);
        }
        long latestDeadline = -1;
        for (Objective objective : objectives) {
            if (objective.jobClass().equals(spec.jobClass()) && objective.withinMicros() > 0) {
                long deadline = deadlineMicros(objective, job, slowestTaskMicros);
                latestDeadline = Math.max(latestDeadline, deadline);
                if (deadline >= earliestEnd) {
                    earliestReachable = Math.min(earliestReachable, deadline);
                }
            }
        }
        return earliestReachable < Long.MAX_VALUE ? earliestReachable : missedDeadlineMicros(job, latestDeadline);
    }

    /**
     * Returns the deadline of one objective; an objective for the start is extended by the run time of the slowest
     * task.
     */
    private static long deadlineMicros(Objective objective, ActiveJob job, long slowestTaskMicros) {
        return job.readyWallMicros()
                + objective.withinMicros()
                + (objective.kind().equals(KIND_START) ? slowestTaskMicros : 0);
    }

    /** @param latestDeadline latest deadline by the objectives of the job's class, or -1 if there are none */
    private static long missedDeadlineMicros(ActiveJob job, long latestDeadline) {
        if (latestDeadline >= 0) {
            return latestDeadline;
        }
        return job.inheritedDeadlineMicros() < Long.MAX_VALUE
                ? job.inheritedDeadlineMicros()
                : job.readyWallMicros() + DEFAULT_COMPLETION_MICROS;
    }

    /**
     * Returns how long the job's last tasks may still wait to be started, in microseconds; negative if the deadline
     * can't be met any more.
     */
    public long slackMicros(ActiveJob job, long wallMicros) {
        return deadlineMicros(job, wallMicros) - wallMicros - runtimeEstimator.slowestTaskMicros(job);
    }
}
