package io.sillreel.heartbeat;

/**
 * Ids of launches, which never repeat: the term in the high bits, a count below. A term that has used up its count must
 * end, since the next id would be one of the following term.
 */
public final class AttemptIds {
    private static final int TERM_SHIFT = 32;
    private static final long MAX_COUNT = (1L << TERM_SHIFT) - 1;

    private final long base;
    private long count;

    /** The ids of a term that has launched nothing yet. */
    public AttemptIds(long term) {
        this(term, 0);
    }

    AttemptIds(long term, long used) {
        this.base = term << TERM_SHIFT;
        this.count = used;
    }

    /** The term in which an attempt was launched. */
    public static long termOf(long attempt) {
        return attempt >>> TERM_SHIFT;
    }

    /** True if there is no further id in this term. */
    public boolean isExhausted() {
        return count >= MAX_COUNT;
    }

    /** An id that no launch of any term has had. */
    public long next() {
        if (isExhausted()) {
            throw new IllegalStateException("all attempt ids of the term are used up");
        }
        return base + ++count;
    }
}
