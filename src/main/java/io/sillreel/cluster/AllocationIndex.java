package io.sillreel.cluster;

import io.sillreel.pipeline.ActiveJob;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * The live allocations by job, and their quota usage, updated as tasks start and end. Guarded by the lock of the
 * {@link Cluster}.
 */
public final class AllocationIndex {
    private final Map<ActiveJob, Set<Allocation>> byJob = new HashMap<>();
    private final QuotaUsage usage = new QuotaUsage();

    void add(Allocation allocation) {
        byJob.computeIfAbsent(allocation.job(), job -> new LinkedHashSet<>()).add(allocation);
        usage.add(allocation.job().spec(), 1);
    }

    void remove(Allocation allocation) {
        Set<Allocation> allocations = byJob.get(allocation.job());
        allocations.remove(allocation);
        if (allocations.isEmpty()) {
            byJob.remove(allocation.job());
        }
        usage.add(allocation.job().spec(), -1);
    }

    /** Returns the live allocations of the job, in the order in which they were added. */
    public Set<Allocation> ofJob(ActiveJob job) {
        return byJob.getOrDefault(job, Set.of());
    }

    /** Returns the quota usage of all live tasks. Callers must not modify it; see {@link QuotaUsage#copy}. */
    public QuotaUsage usage() {
        return usage;
    }
}
