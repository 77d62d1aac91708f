package io.sillreel.recovery;

import io.sillreel.http.Loop;
import io.sillreel.leadership.Leadership;
import io.sillreel.statestore.StateStore;
import io.sillreel.statestore.StateStore.Commit;
import io.sillreel.statestore.StateStore.Outcome;
import io.sillreel.statestore.StateStore.Txn;

/** The term of the lease under which writes are put back: every write is conditional on it. */
final class RebuildTerm {
    private static final long RETRY_MICROS = 50_000;

    private final Loop loop;
    private final StateStore store;
    private final Leadership leadership;
    private final long term;
    private final long leaderStamp;
    private boolean ended;

    /** @param leaderStamp the stamp under which this controller became the leader */
    RebuildTerm(Loop loop, StateStore store, Leadership leadership, long term, long leaderStamp) {
        this.loop = loop;
        this.store = store;
        this.leadership = leadership;
        this.term = term;
        this.leaderStamp = leaderStamp;
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

    boolean isOver() {
        return ended || leadership.heldTerm() != term;
    }

    /** Gives the lease up, so that a term can begin that is high enough. */
    void resign(String reason) {
        end();
        leadership.resign(reason);
    }

    /** Does it a moment later, unless the term is over by then. */
    void later(Runnable next) {
        after(RETRY_MICROS, next);
    }

    /** Does it after so long, unless the term is over by then. */
    void after(long micros, Runnable next) {
        loop.after(micros, () -> {
            if (!isOver()) {
                next.run();
            }
        });
    }

    /** A transaction that fails once another controller leads. */
    Txn txn() {
        return new Txn().require(Leadership.LEADER_KEY, leaderStamp);
    }

    /** True if there is nothing left to do; a commit that shows another leader ends the term. */
    boolean isOverAfter(Commit commit) {
        if (commit.outcome() == Outcome.CONFLICT && commit.failed().contains(Leadership.LEADER_KEY)) {
            resign("the leader key has changed");
        }
        return isOver();
    }
}
