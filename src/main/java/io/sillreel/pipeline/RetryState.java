package io.sillreel.pipeline;

/**
 * The failures of a job since its last task completion.
 *
 * @param failedAttempts number of failed attempts attributed to the job
 * @param nextAttemptWallMicros wall-clock time before which no task is launched; 0 without backoff
 * @param reason the reason of the last failure as reported to users, or null without one
 */
public record RetryState(int failedAttempts, long nextAttemptWallMicros, String reason) {
    /** The state of a job without failed attempts. */
    public static final RetryState NONE = new RetryState(0, 0, null);

    /** Returns the state after one more failed attempt: the next one is scheduled, or the job is parked. */
    RetryState afterFailure(RetrySchedule schedule, long wallMicros, String cause) {
        int attempts = failedAttempts + 1;
        String newReason = schedule.isExhausted(attempts)
                ? "parked after " + attempts + " failed attempts: " + cause
                : "attempt " + attempts + " failed: " + cause;
        return new RetryState(attempts, schedule.nextAttemptMicros(attempts, wallMicros), newReason);
    }
}
