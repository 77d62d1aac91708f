package io.sillreel.recovery;

/**
 * The highest values that were reached before a loss.
 *
 * @param ledger the revision up to which something may have been lost
 * @param stampedLedger the revision up to which stamps have been given, by writes after the loss too
 * @param term the highest term that a worker, an attempt or a controller has shown
 */
record HighWatermarks(long ledger, long stampedLedger, long term) {
    static final HighWatermarks NONE = new HighWatermarks(0, 0, 0);

    /** The higher of each. */
    HighWatermarks with(HighWatermarks other) {
        return new HighWatermarks(
                Math.max(ledger, other.ledger),
                Math.max(stampedLedger, other.stampedLedger),
                Math.max(term, other.term));
    }

    /** The same with a revision that was reached before the loss. */
    HighWatermarks withLedger(long reached) {
        return with(new HighWatermarks(reached, reached, 0));
    }

    /** The same with a revision up to which stamps have been given. */
    HighWatermarks withStamps(long reached) {
        return with(new HighWatermarks(0, reached, 0));
    }

    /** The same with a term that has been shown. */
    HighWatermarks withTerm(long shown) {
        return with(new HighWatermarks(0, 0, shown));
    }
}
