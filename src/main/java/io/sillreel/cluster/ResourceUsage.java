package io.sillreel.cluster;

import java.util.Collection;

/**
 * The resources that a machine's live tasks use. The sums are computed on the first read after a change. Guarded by the
 * lock of the {@link Cluster}.
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

    /** Invalidates the sums after a task was added, has ended or was removed. */
    void invalidate() {
        isCurrent = false;
    }

    /** Returns the CPUs of all live tasks; {@link Double#MAX_VALUE} if the job of one of them is unknown. */
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
                // The resources of a task without a known job are unknown, so nothing else may be placed here.
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
