package io.sillreel.recovery;

import io.sillreel.http.EventLoop;
import io.sillreel.http.HttpClient;
import io.sillreel.leadership.LeaderElection;
import io.sillreel.settings.Settings;
import io.sillreel.statestore.ReadResult;
import io.sillreel.statestore.StateStore;

/**
 * Repairs a known loss before a term begins: a newly elected leader first restores the lost writes from the
 * controllers' change logs. Used on the event loop only.
 */
final class RebuildCoordinator {
    private static final long RETRY_MICROS = 300_000;

    private final Recovery recovery;
    private final EventLoop eventLoop;
    private final Settings settings;
    private final HttpClient httpClient;
    private final StateStore store;
    private final LeaderElection leadership;
    private final RevisionTracker revisions;
    private final LossState loss;
    private StoreRebuild rebuild;

    RebuildCoordinator(
            Recovery recovery,
            EventLoop eventLoop,
            Settings settings,
            HttpClient httpClient,
            StateStore store,
            LeaderElection leadership,
            RevisionTracker revisions,
            LossState loss) {
        this.recovery = recovery;
        this.eventLoop = eventLoop;
        this.settings = settings;
        this.httpClient = httpClient;
        this.store = store;
        this.leadership = leadership;
        this.revisions = revisions;
        this.loss = loss;
    }

    /** The last rebuild that this controller started, or null. */
    StoreRebuild current() {
        return rebuild;
    }

    /** The number of keys that the last rebuild has restored. */
    int restoredCount() {
        return rebuild == null ? 0 : rebuild.restoredCount();
    }

    /** Aborts the rebuild in progress, since leadership or further writes have been lost. */
    void abort() {
        if (rebuild != null) {
            rebuild.abort();
        }
    }

    /** Reads the recovery record, repairs the loss if one is open, and then begins the term. */
    void beforeTerm(long term, long leaderRevision, Runnable beginTerm) {
        eventLoop
                .unexpectedErrors()
                .whenDone(
                        store.get(RecoveryRecord.KEY),
                        "the beginning of a term",
                        read -> beginTerm(term, leaderRevision, beginTerm, read),
                        () -> leadership.resign("the recovery record can't be read"));
    }

    private void beginTerm(long term, long leaderRevision, Runnable beginTerm, ReadResult read) {
        if (leadership.heldTerm() != term) {
            return;
        }
        if (!read.isConclusive()) {
            eventLoop.schedule(RETRY_MICROS, () -> beforeTerm(term, leaderRevision, beginTerm));
            return;
        }
        boolean suspendedBefore = loss.isSuspended();
        RecoveryRecord stored = RecoveryRecord.of(read);
        recovery.onRecordRead(stored);
        if (loss.isSuspended() && suspendedBefore) {
            if (!stored.open()) {
                loss.raiseGenerationAbove(stored.generation());
            }
            startRebuild(term, leaderRevision, beginTerm);
        } else if (!loss.isSuspended()) {
            beginTerm.run();
        }
        // Otherwise the record has just revealed a loss, and this controller has resigned because its term was chosen
        // without regard to terms that may have been lost.
    }

    private void startRebuild(long term, long leaderRevision, Runnable beginTerm) {
        if (leadership.heldTerm() != term) {
            return;
        }
        CollectedSnapshots snapshots = new CollectedSnapshots();
        snapshots.add(settings.nodeName(), recovery.snapshot());
        StoreRebuild newRebuild = new StoreRebuild(
                new RebuildLease(eventLoop, store, leadership, term, leaderRevision),
                settings,
                revisions,
                snapshots,
                new PeerSnapshotCollector(httpClient, revisions, snapshots),
                recovery.openRecord(),
                () -> {
                    recovery.resume(rebuild.record());
                    beginTerm.run();
                });
        rebuild = newRebuild;
        loss.markCollected(loss.generation());
        newRebuild.start();
    }
}
