package io.sillreel.statestore;

import io.sillreel.http.Loop;

/** A token bucket with one second's worth of burst: this controller's part of a rate that several share. */
public final class Pacer {
    private final Loop loop;
    private final double perSecond;
    private final double burst;
    private double tokens;
    private long atMicros;

    public Pacer(Loop loop, double perSecond, double burst) {
        this.loop = loop;
        this.perSecond = perSecond;
        this.burst = burst;
        this.tokens = burst;
        this.atMicros = loop.nowMicros();
    }

    /** Takes the tokens if they are there; a request larger than the bucket may overdraw a full one. */
    public synchronized boolean tryTake(double amount) {
        refill();
        if (tokens >= Math.min(amount, burst)) {
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

    public synchronized double available() {
        refill();
        return tokens;
    }

    public double burst() {
        return burst;
    }

    private void refill() {
        long now = loop.nowMicros();
        tokens = Math.min(burst, tokens + perSecond * (now - atMicros) / 1_000_000.0);
        atMicros = now;
    }
}
