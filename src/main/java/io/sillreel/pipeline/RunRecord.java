package io.sillreel.pipeline;

/**
 * The stored record of a released job, {@code run/UID}: how far it has come. A completion bitmap that is too large for
 * this value is stored in chunks of its own, to which the record refers ({@link CompletionBitmapChunks}).
 *
 * @param stage {@link #DONE}, or what the job does in the users' words
 * @param readyWallMicros when the last dependency was done, time of day; 0 for a job without dependencies
 */
public record RunRecord(
        int tasks,
        int doneTasks,
        int runningTasks,
        String stage,
        RetryState retry,
        BitmapReference bitmap,
        long readyWallMicros) {
    /** The prefix of all records. */
    public static final String PREFIX = "run/";
    /** The stage of a job whose tasks are all done. */
    public static final String DONE = "done";

    static final String RUNNING = "running";
    static final String QUEUED = "queued";

    /** The key of a job's record. */
    public static String key(String uid) {
        return PREFIX + uid;
    }

    /** True if the whole job is done. */
    public boolean isDone() {
        return DONE.equals(stage);
    }

    /** Why the job waits for its next attempt, or null if its last attempt has not failed. */
    public String reason() {
        return retry.reason();
    }
}
