package io.sillreel.pipeline;

/**
 * When a job whose attempt failed is tried again (ADR 0006): exponential backoff without jitter. The absolute time is
 * stored, so that a successor of the leader keeps it.
 *
 * @param initialMicros the delay after the first failed attempt; it doubles with each further one
 * @param maximumMicros the longest delay before the job is parked
 * @param parkedMicros the delay after {@link #MAX_ATTEMPTS} failed attempts
 */
public record RetrySchedule(long initialMicros, long maximumMicros, long parkedMicros) {
    /** After so many failed attempts a job is parked: it is tried only rarely. */
    public static final int MAX_ATTEMPTS = 5;

    private static final int MAX_DOUBLINGS = 30;

    /**
     * Returns when the next attempt may begin; time of day.
     *
     * @param failedAttempts attempts that failed through the job's own fault, at least one
     * @param failedWallMicros when the last of them failed; time of day
     */
    public long nextAttemptMicros(int failedAttempts, long failedWallMicros) {
        if (isExhausted(failedAttempts)) {
            return failedWallMicros + parkedMicros;
        }
        int doublings = Math.min(failedAttempts - 1, MAX_DOUBLINGS);
        return failedWallMicros + Math.min(maximumMicros, initialMicros << doublings);
    }

    /** True if the job is parked after so many failed attempts. */
    public boolean isExhausted(int failedAttempts) {
        return failedAttempts >= MAX_ATTEMPTS;
    }
}
