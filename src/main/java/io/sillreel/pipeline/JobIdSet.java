package io.sillreel.pipeline;

import java.util.regex.Pattern;
import org.agrona.collections.LongHashSet;

/**
 * A memory-efficient set of job ids, at about sixteen bytes per id. A new leader holds the ids of all jobs that were
 * ever done, and a set of strings would take ten times as much memory. Not thread-safe.
 */
public final class JobIdSet {
    private static final String PREFIX = "job-";
    private static final Pattern JOB_ID = Pattern.compile(PREFIX + "[0-9]{1,18}");
    private static final int DECIMAL = 10;

    /** Encoded ids; no id is encoded as the value with which the hash set marks a free slot. */
    private final LongHashSet encodedIds = new LongHashSet();

    /** True if the text has the form of a job id. */
    public static boolean isJobId(String text) {
        return JOB_ID.matcher(text).matches();
    }

    /** Adds the id; returns true if the set did not contain it. */
    public boolean add(String uid) {
        return encodedIds.add(encode(uid));
    }

    /** True if the set contains the id. */
    public boolean contains(String uid) {
        return encodedIds.contains(encode(uid));
    }

    /** The number of ids. */
    public int size() {
        return encodedIds.size();
    }

    /**
     * Encodes an id as the number formed by a 1 followed by the id's digits. The 1 preserves leading zeros, since
     * job-07 and job-7 are different jobs. An id has at most eighteen digits, so the number fits into a long.
     *
     * @throws IllegalArgumentException if the text is not a job id
     */
    private static long encode(String uid) {
        if (!uid.startsWith(PREFIX)) {
            throw new IllegalArgumentException("invalid job id: " + uid);
        }
        long encoded = 1;
        for (int index = PREFIX.length(); index < uid.length(); index++) {
            encoded = encoded * DECIMAL + Character.digit(uid.charAt(index), DECIMAL);
        }
        return encoded;
    }
}
