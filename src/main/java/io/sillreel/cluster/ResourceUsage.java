package io.sillreel.cluster;

import java.util.Collection;

/** What the live tasks of a machine take, counted when it is asked for after something has changed. */
final class ResourceUsage {
    private final Collection<Allocation> allocations;
    private boolean counted;
    private double cpus;
    private double ramGb;
    private double cards;
    private int tasks;

    ResourceUsage(Collection<Allocation> allocations) {
        this.allocations = allocations;
    }

    /** A task came, ended or went. */
    void changed() {
        counted = false;
    }

    /** Processors that live tasks take, or more than there are where that isn't known. */
    double cpus() {
        count();
        return cpus;
    }

    double ramGb() {
        count();
        return ramGb;
    }

    double cards() {
        count();
        return cards;
    }

    int tasks() {
        count();
        return tasks;
    }

    private void count() {
        if (counted) {
            return;
        }
        counted = true;
        cpus = 0;
        ramGb = 0;
        cards = 0;
        tasks = 0;
        for (Allocation allocation : allocations) {
            if (allocation.ended()) {
                continue;
            }
            tasks++;
            if (allocation.job() == null) {
                // What it takes isn't known here, so it counts as everything.
                cpus = Double.MAX_VALUE;
                ramGb = Double.MAX_VALUE;
                cards = Double.MAX_VALUE;
                return;
            }
            cpus += allocation.job().spec().cpus();
            ramGb += allocation.job().spec().ramGb();
            cards += allocation.job().spec().gpus();
        }
    }
}
