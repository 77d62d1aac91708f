package io.sillreel.recovery;

/**
 * How far the state service is known to have counted. It is strongly consistent and its revision only grows, so an
 * answer that lies below what was known when its request was sent proves that writes have been lost. An answer that is
 * merely late proves nothing: its request was sent before the higher revision was known.
 */
final class RevisionTracker {
    /** What was known when a request was sent; an era ends when a loss is noticed. */
    record RequestBaseline(long lossEpoch, long storeRevision, long wallMicros) {}

    /** What an answer says of the state service. */
    enum Consistency {
        CONSISTENT,
        /** The request was sent before a loss that has been noticed since. */
        OUTDATED,
        /** The state service has lost writes. */
        WRITES_LOST
    }

    private static final long UNKNOWN = -1;

    private long lossEpoch;
    private long storeRevision;
    /** The first revision that was seen after the last loss, or {@link #UNKNOWN}. */
    private long firstRevisionAfterLoss = UNKNOWN;

    /** The revision that has shown a loss which nobody has acted on yet, or {@link #UNKNOWN}. */
    private long regressedRevision = UNKNOWN;

    /** When the request was sent that was answered with the highest revision. */
    private long lastObservedMicros;
    /** The same before the last loss, and the highest revision that was known then. */
    private long observedBeforeLossMicros;

    private long revisionBeforeLoss;
    /** True if an earlier loss was seen here that has not been made good yet. */
    private boolean observedBeforeEarlierLoss;

    private HighWatermarks highWatermarks = HighWatermarks.NONE;

    /** @param wallMicros the time of day at which the request is sent */
    synchronized RequestBaseline baseline(long wallMicros) {
        return new RequestBaseline(lossEpoch, storeRevision, wallMicros);
    }

    /** Judges an answer by the revision that it carries, and remembers the revision unless it shows a loss. */
    synchronized Consistency observeRevision(RequestBaseline baseline, long observedRevision) {
        if (baseline.lossEpoch() != lossEpoch) {
            return Consistency.OUTDATED;
        }
        if (observedRevision < baseline.storeRevision()) {
            regressedRevision = observedRevision;
            return Consistency.WRITES_LOST;
        }
        if (firstRevisionAfterLoss == UNKNOWN) {
            firstRevisionAfterLoss = observedRevision;
        }
        if (observedRevision >= storeRevision) {
            lastObservedMicros = Math.max(lastObservedMicros, baseline.wallMicros());
        }
        raiseTo(observedRevision);
        return Consistency.CONSISTENT;
    }

    /** Judges the answer to a write, whose revision lies above every one that was reached before it was sent. */
    synchronized Consistency observeCommit(RequestBaseline baseline, long observedRevision) {
        return observeRevision(
                baseline, observedRevision > baseline.storeRevision() ? observedRevision : observedRevision - 1);
    }

    /** Judges an answer that carries the stamp of a key, which is a revision that the service has reached. */
    synchronized Consistency observeKeyRevision(RequestBaseline baseline, long revision) {
        if (baseline.lossEpoch() != lossEpoch) {
            return Consistency.OUTDATED;
        }
        raiseTo(revision);
        return Consistency.CONSISTENT;
    }

    /** The state service has counted at least so far since the last loss. */
    synchronized void raiseTo(long revision) {
        storeRevision = Math.max(storeRevision, revision);
    }

    /**
     * Forgets how far the service had counted, since it has counted back; the peaks stay known.
     *
     * @param earlierLossOpen true if an earlier loss has not been made good: what was written since then was known
     *     before
     */
    synchronized void beginLossEpoch(boolean earlierLossOpen) {
        highWatermarks = highWatermarks.withKeyRevision(storeRevision);
        if (earlierLossOpen) {
            observedBeforeEarlierLoss |= observedBeforeLoss();
        } else {
            observedBeforeEarlierLoss = false;
            observedBeforeLossMicros = lastObservedMicros;
            revisionBeforeLoss = storeRevision;
        }
        lossEpoch++;
        storeRevision = 0;
        lastObservedMicros = 0;
        firstRevisionAfterLoss = regressedRevision;
        regressedRevision = UNKNOWN;
    }

    /** The first revision that was seen since the last loss, or 0 before one is known. */
    synchronized long firstRevisionAfterLoss() {
        return Math.max(0, firstRevisionAfterLoss);
    }

    /**
     * A time of day at which the state service had certainly not lost anything yet, or 0 if this controller can't say:
     * it may have known the service only since the loss.
     */
    synchronized long observedBeforeLossMicros() {
        return observedBeforeLoss() ? observedBeforeLossMicros : 0;
    }

    private boolean observedBeforeLoss() {
        return observedBeforeEarlierLoss
                || firstRevisionAfterLoss != UNKNOWN && firstRevisionAfterLoss < revisionBeforeLoss;
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
        return observedBeforeLossMicros() > 0 ? highWatermarks.withStoreRevision(revisionBeforeLoss) : highWatermarks;
    }

    /** Another controller knows of these. */
    synchronized void raiseTo(HighWatermarks others) {
        highWatermarks = highWatermarks.max(others);
    }
}
