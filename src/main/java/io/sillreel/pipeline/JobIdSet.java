package io.sillreel.pipeline;

import org.agrona.collections.LongHashSet;

/**
 * A set of job ids that takes about sixteen bytes for each: a new leader keeps the ids of all jobs that were ever done,
 * and a set of strings would take ten times as much. Not thread-safe.
 */
public final class JobIdSet {
    private static final String PREFIX = "job-";
    private static final int DECIMAL = 10;

    /** Ids as numbers; none is encoded as the value by which the hash set marks a free slot. */
    private final LongHashSet encodedIds = new LongHashSet();

    /** Adds the id; true if it was not in the set. */
    public boolean add(String uid) {
        return encodedIds.add(encode(uid));
    }

    /** True if the id was added. */
    public boolean contains(String uid) {
        return encodedIds.contains(encode(uid));
    }

    /** The number of ids. */
    public int size() {
        return encodedIds.size();
    }

    /**
     * Returns the digits of the id behind a 1, since ids may begin with zeros: job-07 is not job-7. An id has at most
     * eighteen digits, so the number fits.
     *
     * @throws IllegalArgumentException if the text is not the id of a job
     */
    private static long encode(String uid) {
        if (!uid.startsWith(PREFIX)) {
            throw new IllegalArgumentException("not the id of a job: " + uid);
        }
        long encoded = 1;
        for (int index = PREFIX.length(); index < uid.length(); index++) {
            encoded = encoded * DECIMAL + Character.digit(uid.charAt(index), DECIMAL);
        }
        return encoded;
    }
}
