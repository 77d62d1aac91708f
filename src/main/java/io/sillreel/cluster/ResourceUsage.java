package io.sillreel.cluster;

import java.util.Collection;

/**
 * The resources that a machine's live tasks take. They are summed up when they are first read after a change. Guarded
 * by the lock of the {@link Cluster}.
 */
final class ResourceUsage {
    private final Collection<Allocation> allocations;
    private boolean isCurrent;
    private double cpus;
    private double ramGb;
    private double gpus;
    private int tasks;

    ResourceUsage(Collection<Allocation> allocations) {
        this.allocations = allocations;
    }

    /** A task was added, has ended or was removed. */
    void invalidate() {
        isCurrent = false;
    }

    /** Returns the CPUs of all live tasks; more than any machine has if a task's job is unknown. */
    double cpus() {
        countIfStale();
        return cpus;
    }

    double ramGb() {
        countIfStale();
        return ramGb;
    }

    double gpus() {
        countIfStale();
        return gpus;
    }

    int tasks() {
        countIfStale();
        return tasks;
    }

    private void countIfStale() {
        if (isCurrent) {
            return;
        }
        isCurrent = true;
        cpus = 0;
        ramGb = 0;
        gpus = 0;
        tasks = 0;
        for (Allocation allocation : allocations) {
            if (allocation.hasEnded()) {
                continue;
            }
            tasks++;
            if (allocation.job() == null) {
                // The resources of an unknown job are not known, so nothing else may be placed beside it.
                cpus = Double.MAX_VALUE;
                ramGb = Double.MAX_VALUE;
                gpus = Double.MAX_VALUE;
                return;
            }
            cpus += allocation.job().spec().cpus();
            ramGb += allocation.job().spec().ramGb();
            gpus += allocation.job().spec().gpus();
        }
    }
}
