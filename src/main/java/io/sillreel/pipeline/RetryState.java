package io.sillreel.pipeline;

/**
 * How often a job has failed since one of its tasks was last done.
 *
 * @param failedAttempts attempts that failed through the job's own fault
 * @param nextAttemptWallMicros no task is launched before this time of day; 0 if none has to wait
 * @param reason what users are told of the last failure, or null without one
 */
public record RetryState(int failedAttempts, long nextAttemptWallMicros, String reason) {
    /** The state of a job that has not failed. */
    public static final RetryState NONE = new RetryState(0, 0, null);

    /** The state after one more failed attempt: the next one is scheduled, or the job is parked. */
    RetryState afterFailure(RetrySchedule schedule, long wallMicros, String cause) {
        int attempts = failedAttempts + 1;
        String newReason = schedule.isExhausted(attempts)
                ? "parked after " + attempts + " failed attempts: " + cause
                : "attempt " + attempts + " failed: " + cause;
        return new RetryState(attempts, schedule.nextAttemptMicros(attempts, wallMicros), newReason);
    }
}
