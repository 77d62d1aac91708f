package io.sillreel.recovery;

/**
 * The highest values that were reached before a loss.
 *
 * @param ledger the revision up to which something may have been lost
 * @param stampedLedger the revision up to which stamps have been given, by writes after the loss too
 * @param term the highest term that a worker, an attempt or a controller has shown
 */
record HighWatermarks(long storeRevision, long keyRevision, long term) {
    static final HighWatermarks NONE = new HighWatermarks(0, 0, 0);

    /** The higher of each. */
    HighWatermarks max(HighWatermarks other) {
        return new HighWatermarks(
                Math.max(storeRevision, other.storeRevision),
                Math.max(keyRevision, other.keyRevision),
                Math.max(term, other.term));
    }

    /** The same with a revision that was reached before the loss. */
    HighWatermarks withStoreRevision(long revision) {
        return max(new HighWatermarks(revision, revision, 0));
    }

    /** The same with a revision up to which stamps have been given. */
    HighWatermarks withKeyRevision(long revision) {
        return max(new HighWatermarks(0, revision, 0));
    }

    /** The same with a term that has been shown. */
    HighWatermarks withTerm(long observedTerm) {
        return max(new HighWatermarks(0, 0, observedTerm));
    }
}
