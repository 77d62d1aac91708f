package io.sillreel.pipeline;

/** When a job whose attempt failed is tried again: exponential, stored as an absolute time, without jitter. */
public record RetrySchedule(long initialMicros, long maximumMicros, long parkedMicros) {
    /** The ADR's bound on attempts. */
    public static final int MAX_ATTEMPTS = 5;

    /** @param failedAttempts attempts that the job itself has failed, at least one */
    public long nextAttemptMicros(int failedAttempts, long settledWallMicros) {
        if (failedAttempts >= MAX_ATTEMPTS) {
            return settledWallMicros + parkedMicros;
        }
        int doublings = Math.min(failedAttempts - 1, 30);
        return settledWallMicros + Math.min(maximumMicros, initialMicros << doublings);
    }

    public boolean isExhausted(int failedAttempts) {
        return failedAttempts >= MAX_ATTEMPTS;
    }
}
