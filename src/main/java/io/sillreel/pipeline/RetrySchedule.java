package io.sillreel.pipeline;

/**
 * The backoff between the attempts of a failing job (ADR 0006): exponential, without jitter. The absolute time of the
 * next attempt is stored, so that it survives a failover.
 *
 * @param initialMicros the delay after the first failed attempt; it doubles with each further one
 * @param maximumMicros the maximum delay before the job is parked
 * @param parkedMicros the delay after {@link #MAX_ATTEMPTS} failed attempts
 */
public record RetrySchedule(long initialMicros, long maximumMicros, long parkedMicros) {
    /** The number of failed attempts after which a job is parked, that is, retried only rarely. */
    public static final int MAX_ATTEMPTS = 5;

    private static final int MAX_DOUBLINGS = 30;

    /**
     * Returns the wall-clock time at which the next attempt may begin.
     *
     * @param failedAttempts number of failed attempts attributed to the job, at least one
     * @param failedWallMicros wall-clock time of the last failure
     */
    public long nextAttemptMicros(int failedAttempts, long failedWallMicros) {
        if (isExhausted(failedAttempts)) {
            return failedWallMicros + parkedMicros;
        }
        int doublings = Math.min(failedAttempts - 1, MAX_DOUBLINGS);
        return failedWallMicros + Math.min(maximumMicros, initialMicros << doublings);
    }

    /** True if a job is parked after the given number of failed attempts. */
    public boolean isExhausted(int failedAttempts) {
        return failedAttempts >= MAX_ATTEMPTS;
    }
}
