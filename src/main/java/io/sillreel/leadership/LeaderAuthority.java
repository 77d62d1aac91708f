package io.sillreel.leadership;

import io.sillreel.http.EventLoop;
import io.sillreel.settings.Settings.WorkerTimes;

/**
 * Decides which actions this controller may take in its term. This depends on when the lease of the leader key was last
 * confirmed, and on the time up to which all confirmed cancellations are known. Runs on the event loop; times are
 * microseconds of the steady clock.
 */
final class LeaderAuthority {
    /** Launches require that the set of known cancellations is no older than this. */
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

    /** The stored state has been loaded. */
    void stateLoaded() {
        stateLoaded = true;
    }

    /** The term has ended on this controller. */
    void close() {
        closed = true;
    }

    boolean isClosed() {
        return closed;
    }

    /** True while the term lasts and its stored state is loaded. */
    boolean isServing() {
        return stateLoaded && !closed;
    }

    /** True while tasks may be launched and machines requested or returned. */
    boolean mayLaunchOrScale() {
        return isServing()
                && election.isLeaseValid()
                && election.heldTerm() == term
                && eventLoop.nowMicros() - changes.cancellationsKnownUntilMicros() < MAX_CANCELLATIONS_AGE_MICROS;
    }

    /** True while responses to heartbeats may extend the leases of machines, which keep their tasks running. */
    boolean mayExtendMachineLeases() {
        long confirmedMicros = Math.min(election.leaseConfirmedMicros(), changes.cancellationsKnownUntilMicros());
        return eventLoop.nowMicros() < confirmedMicros + gracePeriodMicros();
    }

    /**
     * How long heartbeats are still answered after the last confirmation. A cancellation that this leader does not know
     * of was confirmed to its user after that confirmation. If a machine is answered at the very end of the grace
     * period, its tasks end one machine lease later, which is within the time allowed for a cancellation.
     */
    private long gracePeriodMicros() {
        return Math.max(0, workerTimes.cancelMicros() - workerTimes.leaseMicros() - GRACE_MARGIN_MICROS);
    }

    /** How long the previous leader may still answer heartbeats, with a margin for clock drift and late timers. */
    long predecessorGraceMicros() {
        return gracePeriodMicros() + GRACE_MARGIN_MICROS / 3;
    }
}
