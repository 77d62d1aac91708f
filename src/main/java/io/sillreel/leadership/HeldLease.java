package io.sillreel.leadership;

import io.sillreel.http.EventLoop;

/**
 * The lease in the state service under which this controller leads its term. All state is guarded by this object's
 * monitor. Times are readings of the event loop's steady clock, in microseconds.
 */
final class HeldLease {
    /** Steady clocks drift apart by up to 0.05%; the margin is twice that. */
    private static final long DRIFT_DIVISOR = 1_000;
    /** The maximum delay of a timer of the event loop. */
    private static final long TIMER_MARGIN_MICROS = 50_000;

    private final EventLoop eventLoop;
    private final long durationMicros;
    private long leaseId;
    private long term;
    private long confirmedMicros;

    /** @param durationMicros the time after which the state service expires a lease that is not renewed */
    HeldLease(EventLoop eventLoop, long durationMicros) {
        this.eventLoop = eventLoop;
        this.durationMicros = durationMicros;
    }

    /** @param sentMicros when the lease was requested; its duration in the state service starts no earlier */
    synchronized void acquired(long newLeaseId, long newTerm, long sentMicros) {
        leaseId = newLeaseId;
        term = newTerm;
        confirmedMicros = sentMicros;
    }

    /** Records a successful renewal whose request was sent at the given time. */
    synchronized void renewed(long sentMicros) {
        confirmedMicros = Math.max(confirmedMicros, sentMicros);
    }

    /** Releases the lease and returns the term that was held, or 0 if there was none. */
    synchronized long release() {
        long releasedTerm = term;
        term = 0;
        leaseId = 0;
        return releasedTerm;
    }

    /** The term held, or 0. */
    synchronized long term() {
        return term;
    }

    /** The id of the lease in the state service, or 0. */
    synchronized long leaseId() {
        return leaseId;
    }

    /** True if the lease with this id is held. */
    synchronized boolean isHeld(long id) {
        return term > 0 && leaseId == id;
    }

    /** When the last request that granted or renewed the lease was sent. */
    synchronized long confirmedMicros() {
        return confirmedMicros;
    }

    /** True while the lease certainly has not expired, even by the clock of the state service. */
    synchronized boolean isValid() {
        return term > 0
                && eventLoop.nowMicros()
                        < confirmedMicros + durationMicros - durationMicros / DRIFT_DIVISOR - TIMER_MARGIN_MICROS;
    }
}
