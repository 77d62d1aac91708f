package io.sillreel.heartbeat;

/**
 * Generates the attempt ids of the tasks that one term launches. Ids are never reused: the high 32 bits hold the term,
 * the low 32 bits a counter. A term that has exhausted the counter must end, since the next id would belong to the
 * following term. Guarded by the cluster lock.
 */
public final class AttemptIds {
    private static final int TERM_SHIFT = 32;
    private static final long MAX_COUNT = (1L << TERM_SHIFT) - 1;

    private final long base;
    private long count;

    /** Creates the generator for a term that has not launched any task yet. */
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

    /** True if this term has no unused id left. */
    public boolean isExhausted() {
        return count >= MAX_COUNT;
    }

    /**
     * Returns an id that no launch in any term has used.
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
