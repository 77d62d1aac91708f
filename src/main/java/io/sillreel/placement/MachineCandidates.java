package io.sillreel.placement;

import java.util.Iterator;
import java.util.Map;

/**
 * Machines of one group that suit a job equally well, ordered by name. Candidates are compared by their next machine:
 * shortest image pull first, then preferred kind, then better bin packing, then name.
 */
final class MachineCandidates implements Comparable<MachineCandidates> {
    private final MachineGroup group;
    private final long imagePullSteps;
    private final int kindMismatch;
    private final double packingCost;
    private final Iterator<FreeCapacity> machines;
    private final Map<String, FreeCapacity> excluded;
    private FreeCapacity next;

    /**
     * @param imagePullSteps duration of the image pull in coarse steps
     * @param kindMismatch 0 if the job prefers the machine's kind (spot or on-demand), else 1
     * @param packingCost rank for bin packing; lower is better
     * @param machines the candidates by name, in the order of their names
     * @param excluded machines that are not candidates, by name
     */
    MachineCandidates(
            MachineGroup group,
            long imagePullSteps,
            int kindMismatch,
            double packingCost,
            Map<String, FreeCapacity> machines,
            Map<String, FreeCapacity> excluded) {
        this.group = group;
        this.imagePullSteps = imagePullSteps;
        this.kindMismatch = kindMismatch;
        this.packingCost = packingCost;
        this.machines = machines.values().iterator();
        this.excluded = excluded;
    }

    MachineGroup group() {
        return group;
    }

    /** Returns the next machine; valid after {@link #advance()} has returned true. */
    FreeCapacity next() {
        return next;
    }

    /** Moves to the next machine; returns false if there is none. */
    boolean advance() {
        do {
            next = machines.hasNext() ? machines.next() : null;
        } while (next != null && excluded.containsKey(next.machine().name()));
        return next != null;
    }

    @Override
    public int compareTo(MachineCandidates other) {
        int order = Long.compare(imagePullSteps, other.imagePullSteps);
        order = order != 0 ? order : Integer.compare(kindMismatch, other.kindMismatch);
        order = order != 0 ? order : Double.compare(packingCost, other.packingCost);
        return order != 0
                ? order
                : next.machine().name().compareTo(other.next.machine().name());
    }
}
