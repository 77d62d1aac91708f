package io.sillreel.recovery;

import io.sillreel.http.EventLoop;
import io.sillreel.http.HttpClient;
import io.sillreel.leadership.LeaderElection;
import io.sillreel.settings.Settings;
import io.sillreel.statestore.StateStore;

/**
 * Repairs a known loss before a term begins: whoever has acquired leadership writes back what the controllers remember,
 * and only then starts to lead. Used on the event loop only.
 */
final class RebuildCoordinator {
    private static final long RETRY_MICROS = 300_000;

    private final Recovery recovery;
    private final EventLoop eventLoop;
    private final Settings settings;
    private final HttpClient httpClient;
    private final StateStore store;
    private final LeaderElection leadership;
    private final StoreHistory history;
    private final LossState loss;
    private StoreRebuild rebuild;

    RebuildCoordinator(
            Recovery recovery,
            EventLoop eventLoop,
            Settings settings,
            HttpClient httpClient,
            StateStore store,
            LeaderElection leadership,
            StoreHistory history,
            LossState loss) {
        this.recovery = recovery;
        this.eventLoop = eventLoop;
        this.settings = settings;
        this.httpClient = httpClient;
        this.store = store;
        this.leadership = leadership;
        this.history = history;
        this.loss = loss;
    }

    /** The last rebuild that was begun here, or null. */
    StoreRebuild current() {
        return rebuild;
    }

    /** How many keys the last rebuild has written back. */
    int restored() {
        return rebuild == null ? 0 : rebuild.restored();
    }

    /** Ends the rebuild that is under way: the lease is lost, or another loss has become known. */
    void end() {
        if (rebuild != null) {
            rebuild.end();
        }
    }

    /** Reads whether a loss is stored, repairs it if there is one, and then lets the term begin. */
    void beforeTerm(long term, long leaderRevision, Runnable begin) {
        store.get(RecoveryRecord.KEY).thenAccept(read -> {
            if (leadership.heldTerm() != term) {
                return;
            }
            if (!read.isConclusive()) {
                eventLoop.schedule(RETRY_MICROS, () -> beforeTerm(term, leaderRevision, begin));
                return;
            }
            boolean suspendedBefore = loss.isSuspended();
            RecoveryRecord stored = RecoveryRecord.of(read);
            recovery.onRecordRead(stored);
            if (loss.isSuspended() && suspendedBefore) {
                if (!stored.open()) {
                    loss.raiseAbove(stored.generation());
                }
                rebuild(term, leaderRevision, begin);
            } else if (!loss.isSuspended()) {
                begin.run();
            }
            // Else the term was taken without regard to those that may have been lost, and has just been given up.
        });
    }

    private void rebuild(long term, long leaderRevision, Runnable begin) {
        if (leadership.heldTerm() != term) {
            return;
        }
        CollectedMemories memories = new CollectedMemories();
        memories.add(settings.nodeName(), recovery.memory());
        StoreRebuild current = new StoreRebuild(
                new RebuildLease(eventLoop, store, leadership, term, leaderRevision),
                settings,
                history,
                memories,
                new PeerMemoryCollector(httpClient, history, memories),
                recovery.openRecord(),
                () -> {
                    recovery.resume(rebuild.record());
                    begin.run();
                });
        rebuild = current;
        loss.markCollected(loss.generation());
        current.start();
    }
}
