package io.sillreel.placement;

import io.sillreel.pipeline.ActiveJob;
import io.sillreel.pipeline.JobSpec;
import io.sillreel.pipeline.TaskRuntimes;
import java.util.HashMap;
import java.util.Map;

/**
 * Estimates run times: the user's estimate, corrected by what tasks of the same job class, and of the job itself, have
 * taken. The statistics of the classes are guarded by this object's lock; those of a job are guarded by the lock of the
 * cluster.
 */
public final class RuntimeEstimator {
    /** Weight of a new measurement in the moving averages. */
    private static final double MEASUREMENT_WEIGHT = 0.1;
    /** Bounds of a measured run time relative to the estimate: an outlier does not distort the average. */
    private static final double MIN_RUNTIME_RATIO = 0.3;

    private static final double MAX_RUNTIME_RATIO = 4;
    private static final long MIN_RUNTIME_MICROS = 1_000_000;
    /** Time that a task occupies its resources before and after it runs, until heartbeats have shown that. */
    private static final long HEARTBEAT_OVERHEAD_MICROS = 1_500_000;
    /** The share of each task in a fetch of the image: all tasks of the job on the machine use the same one. */
    private static final double SHARED_PULL_MICROS_PER_GB = 1_000_000;
    /** The first tasks of a job wait for the whole fetch of the image. */
    private static final double FULL_PULL_MICROS_PER_GB = 3_000_000;
    /** Time from the release of a job until its first tasks are launched and their ends are known. */
    private static final long SCHEDULING_MICROS = 4_000_000;
    /** The average of the class weighs as much as this number of measured tasks of the job. */
    private static final int CLASS_WEIGHT_TASKS = 2;
    /** Run time of a job's slowest task relative to the mean, until the class has shown another one. */
    private static final double DEFAULT_TAIL_RATIO = 1.2;

    private static final double MAX_TAIL_RATIO = 2;
    /** A job of fewer tasks says nothing of the slowest task of others. */
    private static final int MIN_TASKS_FOR_TAIL = 5;

    /** Measured run time relative to the user's estimate, by job class. */
    private final Map<String, Double> runtimeRatios = new HashMap<>();
    /** Run time of the slowest task relative to the mean, by job class. */
    private final Map<String, Double> tailRatios = new HashMap<>();

    /** Records that a task of the job has ended after it ran for the time. */
    public synchronized void recordRuntime(ActiveJob job, long runtimeMicros) {
        JobSpec spec = job.spec();
        job.runtimes().add(runtimeMicros);
        if (spec.estimatedMicros() > 0) {
            double ratio = Math.max(
                    MIN_RUNTIME_RATIO, Math.min(MAX_RUNTIME_RATIO, (double) runtimeMicros / spec.estimatedMicros()));
            runtimeRatios.merge(spec.jobClass(), ratio, RuntimeEstimator::movingAverage);
        }
        TaskRuntimes runtimes = job.runtimes();
        if (runtimes.count() >= MIN_TASKS_FOR_TAIL && runtimes.count() == spec.tasks()) {
            double tail =
                    Math.min(MAX_TAIL_RATIO, (double) runtimes.maxMicros() * runtimes.count() / runtimes.totalMicros());
            tailRatios.merge(spec.jobClass(), tail, RuntimeEstimator::movingAverage);
        }
    }

    private static Double movingAverage(Double average, Double measured) {
        return average + MEASUREMENT_WEIGHT * (measured - average);
    }

    /** Returns how long a task is expected to occupy its resources, with its share of the image fetch. */
    public long occupancyMicros(JobSpec spec) {
        return expectedRuntimeMicros(spec) + overheadMicros(spec);
    }

    /** As {@link #occupancyMicros(JobSpec)}, with what the job's own tasks have taken. */
    public long occupancyMicros(ActiveJob job) {
        return expectedRuntimeMicros(job) + overheadMicros(job.spec());
    }

    private static long overheadMicros(JobSpec spec) {
        return HEARTBEAT_OVERHEAD_MICROS + Math.round(spec.imageGb() * SHARED_PULL_MICROS_PER_GB);
    }

    /** Returns the expected time from the end of the job's dependencies to its own. */
    public long makespanMicros(ActiveJob job) {
        return slowestTaskMicros(job)
                + SCHEDULING_MICROS
                + Math.round(job.spec().imageGb() * FULL_PULL_MICROS_PER_GB);
    }

    /** Returns how long a task is expected to run by its class, without the fetch of its image. */
    public synchronized long expectedRuntimeMicros(JobSpec spec) {
        double ratio = runtimeRatios.getOrDefault(spec.jobClass(), 1.0);
        return Math.max(MIN_RUNTIME_MICROS, Math.round(spec.estimatedMicros() * ratio));
    }

    /** Returns how long a task of the job is expected to run, by its class and by the job's tasks that have ended. */
    public long expectedRuntimeMicros(ActiveJob job) {
        return (CLASS_WEIGHT_TASKS * expectedRuntimeMicros(job.spec())
                        + job.runtimes().totalMicros())
                / (CLASS_WEIGHT_TASKS + job.runtimes().count());
    }

    /** Returns how long the slowest of the job's tasks is expected to run: the job is not done before. */
    public synchronized long slowestTaskMicros(ActiveJob job) {
        double tail = job.spec().tasks() < MIN_TASKS_FOR_TAIL
                ? 1
                : tailRatios.getOrDefault(job.spec().jobClass(), DEFAULT_TAIL_RATIO);
        return Math.round(expectedRuntimeMicros(job) * tail);
    }
}
