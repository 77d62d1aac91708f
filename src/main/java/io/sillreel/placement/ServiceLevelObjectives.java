package io.sillreel.placement;

import io.sillreel.pipeline.ActiveJob;
import io.sillreel.pipeline.JobSpec;
import io.sillreel.settings.Settings.Objective;
import java.util.List;

/** When jobs should be complete: their own deadlines, or the users' aims for their class. */
public final class ServiceLevelObjectives {
    private static final long DEFAULT_WITHIN_MICROS = 300_000_000;
    private static final long DEFAULT_GUARANTEE_MICROS = 10_000_000;

    private final List<Objective> objectives;
    private final RuntimeEstimator runtimeEstimator;

    public ServiceLevelObjectives(List<Objective> objectives, RuntimeEstimator runtimeEstimator) {
        this.objectives = objectives;
        this.runtimeEstimator = runtimeEstimator;
    }

    /** Within what time work within a guarantee is to start. */
    public long guaranteedStartMicros() {
        return objectives.stream()
                .filter(aim -> aim.kind().equals("guarantee") && aim.withinMicros() > 0)
                .mapToLong(Objective::withinMicros)
                .min()
                .orElse(DEFAULT_GUARANTEE_MICROS);
    }

    /** The first time that can still be met, or else the last there was; time of day in microseconds. */
    public long deadlineMicros(ActiveJob job, long wallMicros) {
        return deadlineMicros(job, wallMicros, 0);
    }

    /** The same for tasks that can only start after a delay. */
    public long deadlineMicros(ActiveJob job, long wallMicros, long delayMicros) {
        JobSpec spec = job.spec();
        long reachable = wallMicros + delayMicros + runtimeEstimator.slowestTaskMicros(job);
        long needed = job.inheritedDeadlineMicros();
        if (spec.deadlineMicros() >= 0) {
            long due = job.admittedWallMicros() + spec.deadlineMicros();
            return needed >= reachable ? Math.min(due, needed) : due;
        }
        long first = needed >= reachable ? needed : Long.MAX_VALUE;
        long last = -1;
        for (Objective aim : objectives) {
            if (aim.jobClass().equals(spec.jobClass()) && aim.withinMicros() > 0) {
                // An aim for starting leaves the whole run after it; all count from when the job was ready.
                long at = job.readyWallMicros()
                        + aim.withinMicros()
                        + (aim.kind().equals("wait") ? runtimeEstimator.slowestTaskMicros(job) : 0);
                last = Math.max(last, at);
                if (at >= reachable) {
                    first = Math.min(first, at);
                }
            }
        }
        if (first < Long.MAX_VALUE) {
            return first;
        }
        return last >= 0 ? last : needed < Long.MAX_VALUE ? needed : job.readyWallMicros() + DEFAULT_WITHIN_MICROS;
    }

    /** How long the job's last tasks may still wait to be started; negative once the deadline can't be met. */
    public long slackMicros(ActiveJob job, long wallMicros) {
        return deadlineMicros(job, wallMicros) - wallMicros - runtimeEstimator.slowestTaskMicros(job);
    }
}
