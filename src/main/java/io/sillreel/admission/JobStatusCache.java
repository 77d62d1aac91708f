package io.sillreel.admission;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * LRU cache of job statuses. A cache miss costs three reads of the state service; a hit costs a share of the
 * transaction that compares revisions. Thread-safe.
 */
final class JobStatusCache {
    private static final int INITIAL_CAPACITY = 64;
    private static final float LOAD_FACTOR = 0.75f;

    /** Guarded by {@code this}; in access order. */
    private final Map<String, JobStatus> statuses;

    /** @param maxStatuses the maximum number of cached statuses */
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

    /** Merges the status into the cached one without replacing newer data; only admitted jobs are cached. */
    synchronized void merge(JobStatus status) {
        JobStatus merged = status.mergedWith(get(status.uid()));
        if (merged.isAdmitted()) {
            statuses.put(status.uid(), merged);
        }
    }
}
