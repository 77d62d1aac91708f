package io.sillreel.placement;

import io.sillreel.pipeline.ActiveJob;
import java.util.function.BiConsumer;

/**
 * Confines an unexpected error in planning to the job for which it occurred: the error is reported with the id of the
 * job, the job is left out of plans for a while, and all other jobs are planned as usual. Guarded by the cluster lock.
 */
public final class PlanningErrors {
    /** Time until a job for which an error occurred is planned again; limits the number of logged errors. */
    static final long RETRY_DELAY_MICROS = 10_000_000;

    private final BiConsumer<String, Throwable> reporter;

    /** @param reporter receives what failed, as a noun phrase, and the error */
    public PlanningErrors(BiConsumer<String, Throwable> reporter) {
        this.reporter = reporter;
    }

    /**
     * Runs a step of planning the job.
     *
     * @return false if the step has ended with an error
     */
    public boolean confine(ActiveJob job, long wallMicros, Runnable step) {
        try {
            step.run();
            return true;
        } catch (RuntimeException | StackOverflowError e) {
            record(job, wallMicros, e);
            return false;
        }
    }

    /** Reports an error that a step of planning the job has ended with, and leaves the job out of plans for a while. */
    void record(ActiveJob job, long wallMicros, Throwable error) {
        job.suspendPlanning(wallMicros + RETRY_DELAY_MICROS);
        reporter.accept("the planning of job " + job.uid(), error);
    }
}
