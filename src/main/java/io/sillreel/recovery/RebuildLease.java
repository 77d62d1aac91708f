package io.sillreel.recovery;

import io.sillreel.http.EventLoop;
import io.sillreel.leadership.LeaderElection;
import io.sillreel.statestore.CommitResult;
import io.sillreel.statestore.StateStore;
import io.sillreel.statestore.StoreOutcome;
import io.sillreel.statestore.Transaction;

/** The leadership term in which lost writes are restored; every write is conditional on the leader key. */
final class RebuildLease {
    private static final long RETRY_MICROS = 50_000;

    private final EventLoop eventLoop;
    private final StateStore store;
    private final LeaderElection leadership;
    private final long term;
    private final long leaderRevision;
    private boolean ended;

    /** @param leaderRevision the revision of the leader key as this controller wrote it */
    RebuildLease(EventLoop eventLoop, StateStore store, LeaderElection leadership, long term, long leaderRevision) {
        this.eventLoop = eventLoop;
        this.store = store;
        this.leadership = leadership;
        this.term = term;
        this.leaderRevision = leaderRevision;
    }

    StateStore store() {
        return store;
    }

    long term() {
        return term;
    }

    /** Ends all work in this term; scheduled actions no longer run. */
    void end() {
        ended = true;
    }

    boolean isEnded() {
        return ended || leadership.heldTerm() != term;
    }

    /** Resigns leadership, so that the next term can lie above all that are known. */
    void resign(String reason) {
        end();
        leadership.resign(reason);
    }

    /** Runs the action after the retry delay, unless the term has ended by then. */
    void retryLater(Runnable action) {
        schedule(RETRY_MICROS, action);
    }

    /** Runs the action after the delay, unless the term has ended by then. */
    void schedule(long micros, Runnable action) {
        eventLoop.schedule(micros, () -> {
            if (!isEnded()) {
                action.run();
            }
        });
    }

    /** A transaction that conflicts if another controller has become the leader. */
    Transaction newTransaction() {
        return new Transaction().requireRevision(LeaderElection.LEADER_KEY, leaderRevision);
    }

    /** True if the term has ended; a commit that conflicts on the leader key ends it. */
    boolean isEndedAfter(CommitResult commit) {
        if (commit.outcome() == StoreOutcome.CONFLICT && commit.failedKeys().contains(LeaderElection.LEADER_KEY)) {
            resign("the leader key has changed");
        }
        return isEnded();
    }
}
