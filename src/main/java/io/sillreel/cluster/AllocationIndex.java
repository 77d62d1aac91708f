package io.sillreel.cluster;

import io.sillreel.pipeline.ActiveJob;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/** Where each job's live tasks are and what they take of their teams' limits, kept as tasks come and go. */
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

    /** The job's live tasks. */
    public Set<Allocation> ofJob(ActiveJob job) {
        return byJob.getOrDefault(job, Set.of());
    }

    /** What all live tasks take; to be copied before it is changed. */
    public QuotaUsage usage() {
        return usage;
    }
}
