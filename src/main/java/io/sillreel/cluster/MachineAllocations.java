package io.sillreel.cluster;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The allocations of one machine, and the resources of the live ones. Guarded by the lock of the {@link Cluster}. */
final class MachineAllocations {
    private final Map<String, Allocation> allocations = new LinkedHashMap<>();
    private final ResourceUsage usage = new ResourceUsage(allocations.values());

    private static String key(String uid, int index, long attempt) {
        return uid + "/" + index + "#" + attempt;
    }

    /** Returns a view of all allocations, in the order in which they were added. */
    Collection<Allocation> all() {
        return allocations.values();
    }

    int size() {
        return allocations.size();
    }

    /** Returns the allocation of the task's attempt, or null if the machine has none. */
    Allocation find(String uid, int index, long attempt) {
        return allocations.get(key(uid, index, attempt));
    }

    void add(Allocation allocation) {
        allocations.put(key(allocation.uid(), allocation.taskIndex(), allocation.attempt()), allocation);
        usage.invalidate();
    }

    void remove(Allocation allocation) {
        allocations.remove(key(allocation.uid(), allocation.taskIndex(), allocation.attempt()));
        usage.invalidate();
    }

    /** Removes all allocations and returns them. */
    List<Allocation> clear() {
        List<Allocation> removed = new ArrayList<>(allocations.values());
        allocations.clear();
        usage.invalidate();
        return removed;
    }

    /** Returns the resource usage of the live tasks. */
    ResourceUsage usage() {
        return usage;
    }

    /** True if there is a live task, or one whose completion is not stored yet. */
    boolean hasUnfinishedWork() {
        for (Allocation allocation : allocations.values()) {
            if (!allocation.hasEnded() || allocation.hasUnstoredCompletion()) {
                return true;
            }
        }
        return false;
    }
}
