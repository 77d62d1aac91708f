package io.sillreel.pipeline;

/** Counts for display, known on the controller that drives the pipelines. */
public interface LiveTaskCounts {
    /** @param reason why the job waits, in plain words, or null */
    record Counts(int done, int running, String reason) {}

    /** Counts of an unfinished job, or null if this controller does not know them. */
    Counts countsOf(String uid);
}
