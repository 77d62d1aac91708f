package io.sillreel.heartbeat;

/**
 * Generates the attempt ids of the launches of one term, which never repeat: the term in the high 32 bits, a counter in
 * the low ones. A term that has exhausted the counter must end, since the next id would belong to the following term.
 * Guarded by the lock of the cluster.
 */
public final class AttemptIds {
    private static final int TERM_SHIFT = 32;
    private static final long MAX_COUNT = (1L << TERM_SHIFT) - 1;

    private final long base;
    private long count;

    /** Creates the ids of a term that has launched nothing yet. */
    public AttemptIds(long term) {
        this(term, 0);
    }

    AttemptIds(long term, long used) {
        this.base = term << TERM_SHIFT;
        this.count = used;
    }

    /** Returns the term in which an attempt was launched. */
    public static long termOf(long attempt) {
        return attempt >>> TERM_SHIFT;
    }

    /** True if there is no further id in this term. */
    public boolean isExhausted() {
        return count >= MAX_COUNT;
    }

    /**
     * Returns an id that no launch of any term has had.
     *
     * @throws IllegalStateException if the counter of the term is exhausted
     */
    public long next() {
        if (isExhausted()) {
            throw new IllegalStateException("all attempt ids of the term are used up");
        }
        return base + ++count;
    }
}
