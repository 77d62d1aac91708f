package io.sillreel.pipeline;

import org.agrona.collections.LongHashSet;

/**
 * A set of job ids that takes some sixteen bytes for each: a new leader remembers every job that was ever done, and a
 * set of texts would take ten times as much.
 */
public final class JobIdSet {
    private static final String PREFIX = "job-";
    private static final int DECIMAL = 10;

    /** Ids as numbers; no id is coded as the value that stands for a free place. */
    private final LongHashSet encodedIds = new LongHashSet();

    /** Adds the id; true if it was not in the set. */
    public boolean add(String uid) {
        return encodedIds.add(encode(uid));
    }

    public boolean contains(String uid) {
        return encodedIds.contains(encode(uid));
    }

    public int size() {
        return encodedIds.size();
    }

    /**
     * The digits of the id behind a 1, since ids may begin with zeros: job-07 is not job-7. An id has at most eighteen
     * digits.
     */
    private static long encode(String uid) {
        if (!uid.startsWith(PREFIX)) {
            throw new IllegalArgumentException("not the id of a job: " + uid);
        }
        long code = 1;
        for (int at = PREFIX.length(); at < uid.length(); at++) {
            code = code * DECIMAL + Character.digit(uid.charAt(at), DECIMAL);
        }
        return code;
    }
}
