package io.sillreel.recovery;

/**
 * The highest values that were reached before a loss.
 *
 * @param storeRevision the revision up to which writes may have been lost
 * @param keyRevision the revision up to which keys have been given revisions, including by writes after the loss
 * @param term the highest term observed in a fencing token, an attempt id or a controller's message
 */
record HighWatermarks(long storeRevision, long keyRevision, long term) {
    static final HighWatermarks NONE = new HighWatermarks(0, 0, 0);

    /** The maximum of each value. */
    HighWatermarks max(HighWatermarks other) {
        return new HighWatermarks(
                Math.max(storeRevision, other.storeRevision),
                Math.max(keyRevision, other.keyRevision),
                Math.max(term, other.term));
    }

    /** Raised to a revision that was reached before the loss. */
    HighWatermarks withStoreRevision(long revision) {
        return max(new HighWatermarks(revision, revision, 0));
    }

    /** Raised to a revision up to which keys have been given revisions. */
    HighWatermarks withKeyRevision(long revision) {
        return max(new HighWatermarks(0, revision, 0));
    }

    /** Raised to a term that has been observed. */
    HighWatermarks withTerm(long observedTerm) {
        return max(new HighWatermarks(0, 0, observedTerm));
    }
}
