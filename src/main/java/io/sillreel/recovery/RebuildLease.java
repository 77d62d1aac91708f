package io.sillreel.recovery;

import io.sillreel.http.EventLoop;
import io.sillreel.leadership.LeaderElection;
import io.sillreel.statestore.CommitResult;
import io.sillreel.statestore.StateStore;
import io.sillreel.statestore.StoreOutcome;
import io.sillreel.statestore.Transaction;

/** The term of the lease under which writes are put back: every write is conditional on it. */
final class RebuildLease {
    private static final long RETRY_MICROS = 50_000;

    private final EventLoop eventLoop;
    private final StateStore store;
    private final LeaderElection leadership;
    private final long term;
    private final long leaderRevision;
    private boolean ended;

    /** @param leaderStamp the stamp under which this controller became the leader */
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

    /** Nothing is done under it any more. */
    void end() {
        ended = true;
    }

    boolean isEnded() {
        return ended || leadership.heldTerm() != term;
    }

    /** Gives the lease up, so that a term can begin that is high enough. */
    void resign(String reason) {
        end();
        leadership.resign(reason);
    }

    /** Does it a moment later, unless the term is over by then. */
    void retryLater(Runnable action) {
        schedule(RETRY_MICROS, action);
    }

    /** Does it after so long, unless the term is over by then. */
    void schedule(long micros, Runnable action) {
        eventLoop.schedule(micros, () -> {
            if (!isEnded()) {
                action.run();
            }
        });
    }

    /** A transaction that fails once another controller leads. */
    Transaction newTransaction() {
        return new Transaction().requireRevision(LeaderElection.LEADER_KEY, leaderRevision);
    }

    /** True if there is nothing left to do; a commit that shows another leader ends the term. */
    boolean isEndedAfter(CommitResult commit) {
        if (commit.outcome() == StoreOutcome.CONFLICT && commit.failedKeys().contains(LeaderElection.LEADER_KEY)) {
            resign("the leader key has changed");
        }
        return isEnded();
    }
}
