package io.sillreel.admission;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The job statuses that were used last, least recently used first out. A status that is not cached costs three reads of
 * the store, a cached one a share of a comparing transaction. Thread-safe.
 */
final class JobStatusCache {
    private static final int INITIAL_CAPACITY = 64;
    private static final float LOAD_FACTOR = 0.75f;

    /** Guarded by {@code this}; in the order of access. */
    private final Map<String, JobStatus> statuses;

    /** @param maxStatuses number of statuses that are kept */
    JobStatusCache(int maxStatuses) {
        this.statuses = new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<String, JobStatus> eldest) {
                return size() > maxStatuses;
            }
        };
    }

    /** Returns the cached status, or {@link JobStatus#unknown} if there is none. */
    synchronized JobStatus get(String uid) {
        JobStatus status = statuses.get(uid);
        return status == null ? JobStatus.unknown(uid) : status;
    }

    /** Merges the status into the cached one; nothing newer is overwritten, and only accepted jobs are kept. */
    synchronized void merge(JobStatus status) {
        JobStatus merged = status.mergedWith(get(status.uid()));
        if (merged.isAccepted()) {
            statuses.put(status.uid(), merged);
        }
    }
}
