package io.sillreel.recovery;

/**
 * How far the state service is known to have counted. It is strongly consistent and its revision only grows, so an
 * answer that lies below what was known when its request was sent proves that writes have been lost. An answer that is
 * merely late proves nothing: its request was sent before the higher revision was known.
 */
final class StoreHistory {
    /** What was known when a request was sent; an era ends when a loss is noticed. */
    record RequestMark(long lossEpoch, long storeRevision, long wallMicros) {}

    /** What an answer says of the state service. */
    enum Consistency {
        CONSISTENT,
        /** The request was sent before a loss that has been noticed since. */
        OUTDATED,
        /** The state service has lost writes. */
        LOST
    }

    private static final long UNKNOWN = -1;

    private long era;
    private long storeRevision;
    /** The first revision that was seen after the last loss, or {@link #UNKNOWN}. */
    private long returnedAt = UNKNOWN;

    /** The revision that has shown a loss which nobody has acted on yet, or {@link #UNKNOWN}. */
    private long lostLedger = UNKNOWN;

    /** When the request was sent that was answered with the highest revision. */
    private long seenMicros;
    /** The same before the last loss, and the highest revision that was known then. */
    private long lostSeenMicros;

    private long lostKnown;
    /** True if an earlier loss was seen here that has not been made good yet. */
    private boolean witnessed;

    private HighWatermarks highWatermarks = HighWatermarks.NONE;

    /** @param wallMicros the time of day at which the request is sent */
    synchronized RequestMark mark(long wallMicros) {
        return new RequestMark(era, storeRevision, wallMicros);
    }

    /** Judges an answer by the revision that it carries, and remembers the revision unless it shows a loss. */
    synchronized Consistency observeRevision(RequestMark mark, long answerLedger) {
        if (mark.lossEpoch() != era) {
            return Consistency.OUTDATED;
        }
        if (answerLedger < mark.storeRevision()) {
            lostLedger = answerLedger;
            return Consistency.LOST;
        }
        if (returnedAt == UNKNOWN) {
            returnedAt = answerLedger;
        }
        if (answerLedger >= storeRevision) {
            seenMicros = Math.max(seenMicros, mark.wallMicros());
        }
        learn(answerLedger);
        return Consistency.CONSISTENT;
    }

    /** Judges the answer to a write, whose revision lies above every one that was reached before it was sent. */
    synchronized Consistency observeCommit(RequestMark mark, long answerLedger) {
        return observeRevision(mark, answerLedger > mark.storeRevision() ? answerLedger : answerLedger - 1);
    }

    /** Judges an answer that carries the stamp of a key, which is a revision that the service has reached. */
    synchronized Consistency observeKeyRevision(RequestMark mark, long revision) {
        if (mark.lossEpoch() != era) {
            return Consistency.OUTDATED;
        }
        learn(revision);
        return Consistency.CONSISTENT;
    }

    /** The state service has counted at least so far since the last loss. */
    synchronized void learn(long reachedLedger) {
        storeRevision = Math.max(storeRevision, reachedLedger);
    }

    /**
     * Forgets how far the service had counted, since it has counted back; the peaks stay known.
     *
     * @param again true if an earlier loss has not been made good: what was written since then was known before
     */
    synchronized void beginLossEpoch(boolean again) {
        highWatermarks = highWatermarks.withKeyRevision(storeRevision);
        if (again) {
            witnessed |= isWitness();
        } else {
            witnessed = false;
            lostSeenMicros = seenMicros;
            lostKnown = storeRevision;
        }
        era++;
        storeRevision = 0;
        seenMicros = 0;
        returnedAt = lostLedger;
        lostLedger = UNKNOWN;
    }

    /** The first revision that was seen since the last loss, or 0 before one is known. */
    synchronized long returnedAt() {
        return Math.max(0, returnedAt);
    }

    /**
     * A time of day at which the state service had certainly not lost anything yet, or 0 if this controller can't say:
     * it may have known the service only since the loss.
     */
    synchronized long seenBeforeLossMicros() {
        return isWitness() ? lostSeenMicros : 0;
    }

    private boolean isWitness() {
        return witnessed || returnedAt != UNKNOWN && returnedAt < lostKnown;
    }

    /** The highest revision that is known since the last loss. */
    synchronized long storeRevision() {
        return storeRevision;
    }

    /**
     * What was reached before the loss. What this controller knew last counts only if it certainly was: whoever did not
     * notice a loss may have followed the service beyond it.
     */
    synchronized HighWatermarks highWatermarks() {
        return seenBeforeLossMicros() > 0 ? highWatermarks.withStoreRevision(lostKnown) : highWatermarks;
    }

    /** Another controller knows of these. */
    synchronized void learn(HighWatermarks others) {
        highWatermarks = highWatermarks.max(others);
    }
}
