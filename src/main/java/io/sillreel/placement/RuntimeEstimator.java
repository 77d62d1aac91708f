package io.sillreel.placement;

import io.sillreel.pipeline.ActiveJob;
import io.sillreel.pipeline.JobSpec;
import io.sillreel.pipeline.TaskRuntimes;
import java.util.HashMap;
import java.util.Map;

/**
 * Estimates run times: the user's estimate, corrected by the measured run times of tasks of the same job class and of
 * the job itself. The statistics of job classes are guarded by this object's lock, those of a job by the cluster lock.
 */
public final class RuntimeEstimator {
    /** Weight of a new measurement in the moving averages. */
    private static final double MEASUREMENT_WEIGHT = 0.1;
    /**
     * Measured run times relative to the estimate are clamped to these bounds, so that outliers don't distort the
     * average.
     */
    private static final double MIN_RUNTIME_RATIO = 0.3;

    private static final double MAX_RUNTIME_RATIO = 4;
    private static final long MIN_RUNTIME_MICROS = 1_000_000;
    /** An estimate that is wrong by more than this factor is a mistake, and says nothing about other jobs. */
    private static final double MAX_PLAUSIBLE_ERROR = 20;
    /** Longer estimates count as this long (30 days), so that sums of them do not overflow. */
    private static final long MAX_RUNTIME_MICROS = 30L * 24 * 3_600 * 1_000_000;
    /** Longer estimated image pulls count as this long (one day). */
    private static final long MAX_PULL_MICROS = 24L * 3_600 * 1_000_000;
    /** Time that a task occupies its resources before and after its run, due to the delay of heartbeats. */
    private static final long HEARTBEAT_OVERHEAD_MICROS = 1_500_000;
    /** Share of one task in the image pull, which all tasks of the job on the machine have in common. */
    private static final double SHARED_PULL_MICROS_PER_GB = 1_000_000;
    /** Duration of a full image pull, which the first tasks of a job wait for. */
    private static final double FULL_PULL_MICROS_PER_GB = 3_000_000;
    /**
     * Scheduling latency of a job: time from its release to the launch of its first tasks, and from their end to its
     * report.
     */
    private static final long SCHEDULING_MICROS = 4_000_000;
    /** Weight of the class average, as an equivalent number of measured tasks of the job. */
    private static final int CLASS_WEIGHT_TASKS = 2;
    /** Default run time of a job's slowest task relative to the mean, for job classes without measurements. */
    private static final double DEFAULT_TAIL_RATIO = 1.2;

    private static final double MAX_TAIL_RATIO = 2;
    /** Jobs with fewer tasks are too small a sample for the tail ratio and are estimated without it. */
    private static final int MIN_TASKS_FOR_TAIL = 5;

    /** Measured run time relative to the user's estimate, by job class. */
    private final Map<String, Double> runtimeRatios = new HashMap<>();
    /** Run time of the slowest task relative to the mean, by job class. */
    private final Map<String, Double> tailRatios = new HashMap<>();

    /** Records the run time of a task of the job that has ended. */
    public synchronized void recordRuntime(ActiveJob job, long runtimeMicros) {
        JobSpec spec = job.spec();
        job.runtimes().add(runtimeMicros);
        double measuredRatio = (double) runtimeMicros / Math.max(1, spec.estimatedMicros());
        if (measuredRatio <= MAX_PLAUSIBLE_ERROR && measuredRatio >= 1 / MAX_PLAUSIBLE_ERROR) {
            double ratio = Math.max(MIN_RUNTIME_RATIO, Math.min(MAX_RUNTIME_RATIO, measuredRatio));
            runtimeRatios.merge(spec.jobClass(), ratio, RuntimeEstimator::movingAverage);
        }
        TaskRuntimes runtimes = job.runtimes();
        if (runtimes.count() >= MIN_TASKS_FOR_TAIL && runtimes.count() == spec.tasks() && runtimes.totalMicros() > 0) {
            double tail =
                    Math.min(MAX_TAIL_RATIO, (double) runtimes.maxMicros() * runtimes.count() / runtimes.totalMicros());
            tailRatios.merge(spec.jobClass(), tail, RuntimeEstimator::movingAverage);
        }
    }

    /** True if the estimate of the job is long enough to tell a slow machine from a mistaken estimate. */
    public static boolean hasEstimate(JobSpec spec) {
        return spec.estimatedMicros() >= MIN_RUNTIME_MICROS;
    }

    private static Double movingAverage(Double average, Double measured) {
        return average + MEASUREMENT_WEIGHT * (measured - average);
    }

    /** Returns how long a task is expected to occupy its resources, including its share of the image pull. */
    public long occupancyMicros(JobSpec spec) {
        return expectedRuntimeMicros(spec) + overheadMicros(spec);
    }

    /** As {@link #occupancyMicros(JobSpec)}, but also based on the measured run times of the job's own tasks. */
    public long occupancyMicros(ActiveJob job) {
        return expectedRuntimeMicros(job) + overheadMicros(job.spec());
    }

    private static long overheadMicros(JobSpec spec) {
        return HEARTBEAT_OVERHEAD_MICROS + pullMicros(spec, SHARED_PULL_MICROS_PER_GB);
    }

    private static long pullMicros(JobSpec spec, double microsPerGb) {
        return Math.min(MAX_PULL_MICROS, Math.round(spec.imageGb() * microsPerGb));
    }

    /** Returns the expected time from the completion of the job's dependencies to its own completion. */
    public long makespanMicros(ActiveJob job) {
        return slowestTaskMicros(job) + SCHEDULING_MICROS + pullMicros(job.spec(), FULL_PULL_MICROS_PER_GB);
    }

    /** Returns the expected run time of a task based on its job class, without the image pull. */
    public synchronized long expectedRuntimeMicros(JobSpec spec) {
        double ratio = runtimeRatios.getOrDefault(spec.jobClass(), 1.0);
        long expectedMicros = Math.round(spec.estimatedMicros() * ratio);
        return Math.max(MIN_RUNTIME_MICROS, Math.min(MAX_RUNTIME_MICROS, expectedMicros));
    }

    /**
     * Returns the expected run time of a task of the job, based on its class and on the job's tasks that have ended.
     */
    public long expectedRuntimeMicros(ActiveJob job) {
        return (CLASS_WEIGHT_TASKS * expectedRuntimeMicros(job.spec())
                        + job.runtimes().totalMicros())
                / (CLASS_WEIGHT_TASKS + job.runtimes().count());
    }

    /** Returns the expected run time of the job's slowest task, which determines when the job is done. */
    public synchronized long slowestTaskMicros(ActiveJob job) {
        double tail = job.spec().tasks() < MIN_TASKS_FOR_TAIL
                ? 1
                : tailRatios.getOrDefault(job.spec().jobClass(), DEFAULT_TAIL_RATIO);
        return Math.round(expectedRuntimeMicros(job) * tail);
    }
}
