package io.sillreel.overload;

import io.sillreel.http.EventLoop;

/**
 * A token bucket with one second's worth of burst: this controller's part of a rate that several share. What is refused
 * all the same shows that the rate has been lowered, or that others use more of it; then the part shrinks, and grows
 * back slowly.
 */
public final class RateLimiter {
    private static final double SHRINK = 0.6;
    private static final double MIN_PART = 0.05;
    private static final double REGAINED_PER_SECOND = 0.02;
    /** What is refused within so long is refused for the same reason. */
    private static final long SAME_MICROS = 300_000;

    private final EventLoop loop;
    private final double mostPerSecond;
    private final double mostBurst;
    private double part = 1;
    private double tokens;
    private long atMicros;
    private long refusedMicros = Long.MIN_VALUE / 2;

    /** @param burst how many tokens gather during a pause */
    public RateLimiter(EventLoop loop, double perSecond, double burst) {
        this.loop = loop;
        this.mostPerSecond = perSecond;
        this.mostBurst = burst;
        this.tokens = burst;
        this.atMicros = loop.nowMicros();
    }

    /** Takes the tokens if they are there; a request larger than the bucket may overdraw a full one. */
    public boolean tryTake(double amount) {
        return tryTakeLeaving(amount, 0);
    }

    /** Takes the tokens if so many would be left for others, or if the bucket is full. */
    public synchronized boolean tryTakeLeaving(double amount, double left) {
        refill();
        if (tokens >= Math.min(amount + left, burst())) {
            tokens -= amount;
            return true;
        }
        return false;
    }

    /** Takes the tokens even if they have to be earned first: for the little that can't wait. */
    public synchronized void take(double amount) {
        refill();
        tokens -= amount;
    }

    /** Something was refused for the rate: from now on less is asked for. */
    public synchronized void refused() {
        refill();
        tokens = Math.min(tokens, 0);
        if (loop.nowMicros() - refusedMicros > SAME_MICROS) {
            refusedMicros = loop.nowMicros();
            part = Math.max(MIN_PART, part * SHRINK);
        }
    }

    public synchronized double available() {
        refill();
        return tokens;
    }

    public synchronized double burst() {
        return part * mostBurst;
    }

    private void refill() {
        long now = loop.nowMicros();
        double seconds = (now - atMicros) / 1_000_000.0;
        part = Math.min(1, part + REGAINED_PER_SECOND * seconds);
        tokens = Math.min(burst(), tokens + part * mostPerSecond * seconds);
        atMicros = now;
    }
}
