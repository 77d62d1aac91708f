package io.sillreel.leadership;

import io.sillreel.http.EventLoop;
import io.sillreel.settings.Settings.WorkerTimes;

/**
 * Decides what this controller may do under its term. Two facts count: when the lease of the leader key was confirmed
 * last, and up to when all confirmed cancellations are known. Runs on the event loop; times are microseconds of the
 * steady clock.
 */
final class LeaderAuthority {
    /** Nothing may be launched unless cancellations were asked for this recently. */
    private static final long MAX_CANCELLATIONS_AGE_MICROS = 4_000_000;

    private static final long GRACE_MARGIN_MICROS = 1_500_000;

    private final EventLoop eventLoop;
    private final LeaderElection election;
    private final StoredChangeWatcher changes;
    private final WorkerTimes workerTimes;
    private final long term;
    private boolean stateLoaded;
    private boolean closed;

    LeaderAuthority(
            EventLoop eventLoop,
            LeaderElection election,
            StoredChangeWatcher changes,
            WorkerTimes workerTimes,
            long term) {
        this.eventLoop = eventLoop;
        this.election = election;
        this.changes = changes;
        this.workerTimes = workerTimes;
        this.term = term;
    }

    /** The stored state has been taken over. */
    void stateLoaded() {
        stateLoaded = true;
    }

    /** The term has ended here. */
    void close() {
        closed = true;
    }

    boolean isClosed() {
        return closed;
    }

    /** True while the term lasts and its stored state is known. */
    boolean isServing() {
        return stateLoaded && !closed;
    }

    /** True while tasks may be launched and machines requested or returned. */
    boolean mayAct() {
        return isServing()
                && election.isLeaseValid()
                && election.heldTerm() == term
                && eventLoop.nowMicros() - changes.cancellationsKnownUntilMicros() < MAX_CANCELLATIONS_AGE_MICROS;
    }

    /** True while heartbeats may be answered so that the leases of machines, and with them their tasks, live on. */
    boolean mayExtendMachineLeases() {
        long confirmedMicros = Math.min(election.leaseConfirmedMicros(), changes.cancellationsKnownUntilMicros());
        return eventLoop.nowMicros() < confirmedMicros + gracePeriodMicros();
    }

    /**
     * How long heartbeats are still answered after the last confirmation. A cancellation that this leader can't learn
     * of is confirmed to a user later than that; a task whose machine was answered at the end of the grace period ends
     * one machine lease later, which is within the time that cancellations are allowed.
     */
    private long gracePeriodMicros() {
        return Math.max(0, workerTimes.cancelMicros() - workerTimes.leaseMicros() - GRACE_MARGIN_MICROS);
    }

    /** How long an earlier leader may go on answering heartbeats, with a margin for clocks and late timers. */
    long predecessorGraceMicros() {
        return gracePeriodMicros() + GRACE_MARGIN_MICROS / 3;
    }
}
