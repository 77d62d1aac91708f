package io.sillreel.placement;

import io.sillreel.pipeline.ActiveJob;
import io.sillreel.pipeline.JobSpec;
import java.util.HashMap;
import java.util.Map;

/** Owners' estimates, corrected by what tasks of the same class, and of the job itself, have measured. */
public final class RuntimeEstimator {
    private static final double WEIGHT = 0.1;
    private static final double MIN_RATIO = 0.3;
    private static final double MAX_RATIO = 4;
    private static final long HANDLING_MICROS = 1_500_000;
    /** A fetch is shared by all tasks of the job on the machine, so little of it falls on each. */
    private static final double FETCH_MICROS_PER_GB = 1_000_000;
    /** A job's first tasks wait for the whole fetch, and a step of a chain for some reports as well. */
    private static final double WHOLE_FETCH_MICROS_PER_GB = 3_000_000;

    private static final long START_MICROS = 4_000_000;
    /** What the class says weighs as much as so many measured tasks of the job. */
    private static final int CLASS_TASKS = 2;
    /** How much longer than the mean a job's slowest task takes, until its class has shown that. */
    private static final double FIRST_TAIL = 1.2;

    private static final double MAX_TAIL = 2;
    private static final int MIN_TASKS_OF_A_TAIL = 5;

    private final Map<String, Double> ratios = new HashMap<>();
    private final Map<String, Double> tails = new HashMap<>();

    /** A task of the job has ended after it ran for so long. */
    public synchronized void recordRuntime(ActiveJob job, long ranMicros) {
        JobSpec spec = job.spec();
        job.runtimes().add(ranMicros);
        if (spec.estimatedMicros() > 0) {
            double ratio = Math.max(MIN_RATIO, Math.min(MAX_RATIO, (double) ranMicros / spec.estimatedMicros()));
            ratios.merge(spec.jobClass(), ratio, (old, now) -> old + WEIGHT * (now - old));
        }
        if (job.runtimes().count() >= MIN_TASKS_OF_A_TAIL && job.runtimes().count() == spec.tasks()) {
            double tail = Math.min(
                    MAX_TAIL,
                    (double) job.runtimes().maxMicros()
                            * job.runtimes().count()
                            / job.runtimes().totalMicros());
            tails.merge(spec.jobClass(), tail, (old, now) -> old + WEIGHT * (now - old));
        }
    }

    /** How long a task is expected to keep its place: with its part of the image fetch, and the reports around it. */
    public long occupancyMicros(JobSpec spec) {
        return expectedRuntimeMicros(spec) + overheadMicros(spec);
    }

    /** The same, with what the job's own tasks have shown. */
    public long occupancyMicros(ActiveJob job) {
        return expectedRuntimeMicros(job) + overheadMicros(job.spec());
    }

    private static long overheadMicros(JobSpec spec) {
        return HANDLING_MICROS + Math.round(spec.imageGb() * FETCH_MICROS_PER_GB);
    }

    /**
     * From the end of what a job awaits to its own: its slowest task, the image, and the reports and plans around it.
     */
    public long makespanMicros(ActiveJob job) {
        return slowestTaskMicros(job) + START_MICROS + Math.round(job.spec().imageGb() * WHOLE_FETCH_MICROS_PER_GB);
    }

    /** How long a task like the job's is expected to run, without its image fetch. */
    public synchronized long expectedRuntimeMicros(JobSpec spec) {
        return Math.max(1_000_000, Math.round(spec.estimatedMicros() * ratios.getOrDefault(spec.jobClass(), 1.0)));
    }

    /** How long a task of the job is expected to run, from its class and from its own tasks that have ended. */
    public long expectedRuntimeMicros(ActiveJob job) {
        return (CLASS_TASKS * expectedRuntimeMicros(job.spec()) + job.runtimes().totalMicros())
                / (CLASS_TASKS + job.runtimes().count());
    }

    /** How long the slowest of the job's tasks is expected to run: the job is not done before. */
    public synchronized long slowestTaskMicros(ActiveJob job) {
        double tail = job.spec().tasks() < MIN_TASKS_OF_A_TAIL
                ? 1
                : tails.getOrDefault(job.spec().jobClass(), FIRST_TAIL);
        return Math.round(expectedRuntimeMicros(job) * tail);
    }
}
