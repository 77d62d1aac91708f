package io.sillreel.overload;

import io.sillreel.http.EventLoop;

/**
 * A token bucket for this controller's share of a rate limit that several controllers use. A rejection by the service
 * shows that the limit was lowered or that other controllers use more of it; the rate is then reduced at once and
 * recovers slowly. Thread-safe; all state is guarded by {@code this}.
 */
public final class RateLimiter {
    private static final double REJECTION_BACKOFF_FACTOR = 0.6;
    private static final double MIN_RATE_FRACTION = 0.05;
    private static final double RATE_FRACTION_RECOVERY_PER_SECOND = 0.02;
    /** Rejections within this window are taken to have one cause and reduce the rate only once. */
    private static final long REJECTION_WINDOW_MICROS = 300_000;

    private final EventLoop eventLoop;
    private final double maxPerSecond;
    private final double maxBurst;
    /** The fraction of the configured rate and burst that is currently used. */
    private double rateFraction = 1;

    private double tokens;
    private long refilledAtMicros;
    private long rejectedAtMicros = Long.MIN_VALUE / 2;

    /**
     * @param perSecond the number of tokens added per second
     * @param burst the capacity of the bucket
     */
    public RateLimiter(EventLoop eventLoop, double perSecond, double burst) {
        this.eventLoop = eventLoop;
        this.maxPerSecond = perSecond;
        this.maxBurst = burst;
        this.tokens = burst;
        this.refilledAtMicros = eventLoop.nowMicros();
    }

    /** Takes the tokens if they are available; an amount above the capacity may overdraw a full bucket. */
    public boolean tryAcquire(double amount) {
        return tryAcquireKeepingReserve(amount, 0);
    }

    /** Takes the tokens if that leaves at least the reserve in the bucket, or if the bucket is full. */
    public synchronized boolean tryAcquireKeepingReserve(double amount, double reserve) {
        refill();
        if (tokens >= Math.min(amount + reserve, burst())) {
            tokens -= amount;
            return true;
        }
        return false;
    }

    /** Takes the tokens even if that overdraws the bucket; for rare requests that must not wait. */
    public synchronized void acquireUnconditionally(double amount) {
        refill();
        tokens -= amount;
    }

    /** Records that the service rejected a request because of its rate: empties the bucket and reduces the rate. */
    public synchronized void onRejected() {
        refill();
        tokens = Math.min(tokens, 0);
        if (eventLoop.nowMicros() - rejectedAtMicros > REJECTION_WINDOW_MICROS) {
            rejectedAtMicros = eventLoop.nowMicros();
            rateFraction = Math.max(MIN_RATE_FRACTION, rateFraction * REJECTION_BACKOFF_FACTOR);
        }
    }

    /** Returns the number of tokens in the bucket; negative if it is overdrawn. */
    public synchronized double availableTokens() {
        refill();
        return tokens;
    }

    /** Returns the current capacity of the bucket. */
    public synchronized double burst() {
        return rateFraction * maxBurst;
    }

    private void refill() {
        long now = eventLoop.nowMicros();
        double seconds = (now - refilledAtMicros) / 1_000_000.0;
        rateFraction = Math.min(1, rateFraction + RATE_FRACTION_RECOVERY_PER_SECOND * seconds);
        tokens = Math.min(burst(), tokens + rateFraction * maxPerSecond * seconds);
        refilledAtMicros = now;
    }
}
