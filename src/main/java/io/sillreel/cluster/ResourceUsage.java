package io.sillreel.cluster;

import java.util.Collection;

/** What the live tasks of a machine take, counted when it is asked for after something has changed. */
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

    /** A task came, ended or went. */
    void invalidate() {
        isCurrent = false;
    }

    /** Processors that live tasks take, or more than there are where that isn't known. */
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
                // What it takes isn't known here, so it counts as everything.
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
