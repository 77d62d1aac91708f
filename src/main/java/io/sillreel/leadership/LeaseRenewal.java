package io.sillreel.leadership;

import io.sillreel.http.EventLoop;
import io.sillreel.statestore.StateStore;
import io.sillreel.statestore.StoreOutcome;

/**
 * Renews the lease of the leader for as long as it is held, three times in its duration and more often after a failure.
 * Runs on the event loop.
 */
final class LeaseRenewal {
    private static final int RENEWALS_PER_LEASE = 3;
    private static final long RETRY_MICROS = 300_000;
    private static final long MIN_INTERVAL_MICROS = 100_000;

    private final StateStore store;
    private final EventLoop eventLoop;
    private final HeldLease lease;
    private final long intervalMicros;
    private final Runnable onExpired;
    private boolean isInProgress;

    /**
     * @param leaseMicros the time after which the state service expires a lease that is not renewed
     * @param onExpired called when the state service no longer knows the lease
     */
    LeaseRenewal(StateStore store, EventLoop eventLoop, HeldLease lease, long leaseMicros, Runnable onExpired) {
        this.store = store;
        this.eventLoop = eventLoop;
        this.lease = lease;
        this.intervalMicros = leaseMicros / RENEWALS_PER_LEASE;
        this.onExpired = onExpired;
    }

    /** Starts to renew a lease that has just been granted. */
    void start() {
        eventLoop.schedule(intervalMicros, this::renew);
    }

    private void renew() {
        if (lease.term() == 0 || isInProgress) {
            return;
        }
        isInProgress = true;
        long leaseId = lease.leaseId();
        long sentMicros = eventLoop.nowMicros();
        eventLoop
                .unexpectedErrors()
                .whenDone(
                        store.renewLease(leaseId),
                        "the renewal of the lease",
                        outcome -> handleOutcome(leaseId, sentMicros, outcome),
                        this::retryAfterError);
    }

    private void retryAfterError() {
        isInProgress = false;
        eventLoop.schedule(RETRY_MICROS, this::renew);
    }

    private void handleOutcome(long leaseId, long sentMicros, StoreOutcome outcome) {
        isInProgress = false;
        if (!lease.isHeld(leaseId)) {
            return;
        }
        if (outcome == StoreOutcome.NOT_FOUND) {
            onExpired.run();
            return;
        }
        if (outcome == StoreOutcome.OK) {
            lease.renewed(sentMicros);
        }
        long delayMicros =
                outcome == StoreOutcome.OK ? intervalMicros - (eventLoop.nowMicros() - sentMicros) : RETRY_MICROS;
        eventLoop.schedule(Math.max(delayMicros, MIN_INTERVAL_MICROS), this::renew);
    }
}
