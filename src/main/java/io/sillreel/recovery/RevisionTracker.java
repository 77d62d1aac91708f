package io.sillreel.recovery;

/**
 * Tracks the highest known revision of the state service. The service is strongly consistent and its revision only
 * grows, so a response with a lower revision than was known when its request was sent proves that writes have been
 * lost. A response that is merely delayed proves nothing: its request was sent before the higher revision was known.
 * Thread-safe; all state is guarded by this.
 */
final class RevisionTracker {
    /** What was known when a request was sent; a loss epoch ends with the detection of a loss. */
    record RequestBaseline(long lossEpoch, long storeRevision, long wallMicros) {}

    /** What a response shows about the state service. */
    enum Consistency {
        CONSISTENT,
        /** The request was sent before the detection of a loss, so the response shows nothing. */
        OUTDATED,
        /** The state service has lost writes. */
        WRITES_LOST
    }

    private static final long UNKNOWN = -1;

    private long lossEpoch;
    private long storeRevision;
    /** The first revision observed after the last loss, or {@link #UNKNOWN}. */
    private long firstRevisionAfterLoss = UNKNOWN;

    /** The revision that revealed a loss for which no loss epoch has begun yet, or {@link #UNKNOWN}. */
    private long regressedRevision = UNKNOWN;

    /** The wall-clock time at which the last request was sent whose response carried the highest revision. */
    private long lastObservedMicros;
    /** The value of lastObservedMicros at the first loss that is not yet repaired, or else at the last loss. */
    private long observedBeforeLossMicros;

    /** The highest revision known at the first loss that is not yet repaired, or else at the last loss. */
    private long revisionBeforeLoss;
    /** True if this controller observed the state service before an earlier loss that has not been repaired yet. */
    private boolean observedBeforeEarlierLoss;

    private HighWatermarks highWatermarks = HighWatermarks.NONE;

    /** @param wallMicros the wall-clock time at which the request is sent */
    synchronized RequestBaseline baseline(long wallMicros) {
        return new RequestBaseline(lossEpoch, storeRevision, wallMicros);
    }

    /** Checks the store revision of a response, and raises the known revision to it unless it shows a loss. */
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

    /** Checks the response to a commit, whose revision must lie above every one known when it was sent. */
    synchronized Consistency observeCommit(RequestBaseline baseline, long observedRevision) {
        return observeRevision(
                baseline, observedRevision > baseline.storeRevision() ? observedRevision : observedRevision - 1);
    }

    /** Takes note of the revision of a key, which the store revision has reached at least. */
    synchronized Consistency observeKeyRevision(RequestBaseline baseline, long revision) {
        if (baseline.lossEpoch() != lossEpoch) {
            return Consistency.OUTDATED;
        }
        raiseTo(revision);
        return Consistency.CONSISTENT;
    }

    /** Raises the known store revision to one that was reached after the last loss. */
    synchronized void raiseTo(long revision) {
        storeRevision = Math.max(storeRevision, revision);
    }

    /**
     * Resets the known revision after the detection of a loss; the high watermarks are kept.
     *
     * @param earlierLossOpen true if an earlier loss has not been repaired yet: what was written since then was already
     *     known before
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

    /** The first revision observed since the last loss, or 0 before one is known. */
    synchronized long firstRevisionAfterLoss() {
        return Math.max(0, firstRevisionAfterLoss);
    }

    /**
     * A wall-clock time at which the state service had certainly not lost any writes yet, or 0 if none is known because
     * this controller may have observed the service only since the loss.
     */
    synchronized long observedBeforeLossMicros() {
        return observedBeforeLoss() ? observedBeforeLossMicros : 0;
    }

    private boolean observedBeforeLoss() {
        return observedBeforeEarlierLoss
                || firstRevisionAfterLoss != UNKNOWN && firstRevisionAfterLoss < revisionBeforeLoss;
    }

    /** The highest known revision since the last loss. */
    synchronized long storeRevision() {
        return storeRevision;
    }

    /**
     * The highest values before the loss. The last revision that this controller knew is included only if the
     * controller certainly observed it before the loss: one that did not notice the loss may have observed later
     * revisions.
     */
    synchronized HighWatermarks highWatermarks() {
        return observedBeforeLossMicros() > 0 ? highWatermarks.withStoreRevision(revisionBeforeLoss) : highWatermarks;
    }

    /** Raises the high watermarks to those of another controller. */
    synchronized void raiseTo(HighWatermarks others) {
        highWatermarks = highWatermarks.max(others);
    }
}
