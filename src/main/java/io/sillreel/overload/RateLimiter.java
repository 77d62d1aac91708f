package io.sillreel.overload;

import io.sillreel.http.EventLoop;

/**
 * A token bucket with one second's worth of burst: this controller's part of a rate that several share. What is refused
 * all the same shows that the rate has been lowered, or that others use more of it; then the part shrinks, and grows
 * back slowly.
 */
public final class RateLimiter {
    private static final double SHRINK_FACTOR = 0.6;
    private static final double MIN_SHARE = 0.05;
    private static final double SHARE_RECOVERY_PER_SECOND = 0.02;
    /** What is refused within so long is refused for the same reason. */
    private static final long REJECTION_WINDOW_MICROS = 300_000;

    private final EventLoop eventLoop;
    private final double maxPerSecond;
    private final double maxBurst;
    private double share = 1;
    private double tokens;
    private long refilledAtMicros;
    private long rejectedAtMicros = Long.MIN_VALUE / 2;

    /** @param burst how many tokens gather during a pause */
    public RateLimiter(EventLoop eventLoop, double perSecond, double burst) {
        this.eventLoop = eventLoop;
        this.maxPerSecond = perSecond;
        this.maxBurst = burst;
        this.tokens = burst;
        this.refilledAtMicros = eventLoop.nowMicros();
    }

    /** Takes the tokens if they are there; a request larger than the bucket may overdraw a full one. */
    public boolean tryAcquire(double amount) {
        return tryAcquireLeaving(amount, 0);
    }

    /** Takes the tokens if so many would be left for others, or if the bucket is full. */
    public synchronized boolean tryAcquireLeaving(double amount, double left) {
        refill();
        if (tokens >= Math.min(amount + left, burst())) {
            tokens -= amount;
            return true;
        }
        return false;
    }

    /** Takes the tokens even if they have to be earned first: for the little that can't wait. */
    public synchronized void acquireUnconditionally(double amount) {
        refill();
        tokens -= amount;
    }

    /** Something was refused for the rate: from now on less is asked for. */
    public synchronized void onRejected() {
        refill();
        tokens = Math.min(tokens, 0);
        if (eventLoop.nowMicros() - rejectedAtMicros > REJECTION_WINDOW_MICROS) {
            rejectedAtMicros = eventLoop.nowMicros();
            share = Math.max(MIN_SHARE, share * SHRINK_FACTOR);
        }
    }

    public synchronized double availableTokens() {
        refill();
        return tokens;
    }

    public synchronized double burst() {
        return share * maxBurst;
    }

    private void refill() {
        long now = eventLoop.nowMicros();
        double seconds = (now - refilledAtMicros) / 1_000_000.0;
        share = Math.min(1, share + SHARE_RECOVERY_PER_SECOND * seconds);
        tokens = Math.min(burst(), tokens + share * maxPerSecond * seconds);
        refilledAtMicros = now;
    }
}
