package io.sillreel.pipeline;

/**
 * The stored progress of a released job, under the key {@code run/UID}. A completion bitmap that is too large for this
 * value is stored in chunks, to which the record refers ({@link CompletionBitmapChunks}).
 *
 * @param stage the stage of the job as reported to users, {@link #DONE} if all tasks are done
 * @param readyWallMicros wall-clock time at which the last dependency was done; 0 for a job without dependencies
 */
public record RunRecord(
        int tasks,
        int doneTasks,
        int runningTasks,
        String stage,
        RetryState retry,
        BitmapReference bitmap,
        long readyWallMicros) {
    /** Key prefix of all run records. */
    public static final String PREFIX = "run/";
    /** The stage of a job whose tasks are all done. */
    public static final String DONE = "done";

    static final String RUNNING = "running";
    static final String QUEUED = "queued";

    /** Returns the key of a job's run record. */
    public static String key(String uid) {
        return PREFIX + uid;
    }

    /** True if all tasks of the job are done. */
    public boolean isDone() {
        return DONE.equals(stage);
    }

    /** The reason of the last failed attempt, or null if the last attempt has not failed. */
    public String reason() {
        return retry.reason();
    }
}
