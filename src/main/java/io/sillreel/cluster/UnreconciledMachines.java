package io.sillreel.cluster;

import io.sillreel.cloud.MachineType;
import io.sillreel.pipeline.JobSpec;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Machines on which an earlier leader's tasks may be that no report has shown yet. A takeover begins with the whole
 * fleet in here and asks for every job whether it may be hidden, so they are counted by what they could hold.
 */
final class UnreconciledMachines {
    private record MachineKind(MachineType type, String zone, boolean spot) {
        static MachineKind of(Machine machine) {
            return new MachineKind(machine.type(), machine.zone(), machine.isSpot());
        }

        // Written out: the compiler would leave it to be linked at run time, which costs a takeover milliseconds.
        @Override
        public boolean equals(Object other) {
            return other instanceof MachineKind kind
                    && kind.type == type
                    && kind.zone.equals(zone)
                    && kind.spot == spot;
        }

        @Override
        public int hashCode() {
            return 31 * type.name().hashCode() + zone.hashCode() + (spot ? 1 : 0);
        }
    }

    private final Set<Machine> machines = new LinkedHashSet<>();
    private final Map<MachineKind, Integer> kinds = new HashMap<>();

    Collection<Machine> machines() {
        return Collections.unmodifiableSet(machines);
    }

    boolean isEmpty() {
        return machines.isEmpty();
    }

    void add(Machine machine) {
        if (machines.add(machine)) {
            kinds.merge(MachineKind.of(machine), 1, Integer::sum);
        }
    }

    void remove(Machine machine) {
        if (machines.remove(machine)) {
            kinds.computeIfPresent(MachineKind.of(machine), (kind, count) -> count == 1 ? null : count - 1);
        }
    }

    /** True if one of them could hold tasks of the job. */
    boolean mayHoldTasksOf(JobSpec spec) {
        for (MachineKind kind : kinds.keySet()) {
            if (PlacementConstraints.isEligible(spec, kind.type(), kind.zone(), kind.spot())
                    && PlacementConstraints.fitsEmptyMachine(spec, kind.type())) {
                return true;
            }
        }
        return false;
    }

    /** The processors of all of them. */
    double cpus() {
        double cpus = 0;
        for (Map.Entry<MachineKind, Integer> kind : kinds.entrySet()) {
            cpus += kind.getValue() * kind.getKey().type().cpus();
        }
        return cpus;
    }

    /** The cards of all of them. */
    double gpus() {
        double gpus = 0;
        for (Map.Entry<MachineKind, Integer> kind : kinds.entrySet()) {
            gpus += kind.getValue() * kind.getKey().type().gpus();
        }
        return gpus;
    }
}
