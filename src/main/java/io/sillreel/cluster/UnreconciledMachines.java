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
 * The machines that may hold tasks of an earlier term that no heartbeat has shown yet. After a failover this is the
 * whole fleet, and every inherited job is checked against it, so the machines are counted by type, zone and kind.
 * Guarded by the lock of the {@link Cluster}.
 */
final class UnreconciledMachines {
    private record MachineKind(MachineType type, String zone, boolean spot) {
        static MachineKind of(Machine machine) {
            return new MachineKind(machine.type(), machine.zone(), machine.isSpot());
        }

        // Explicit, because linking the generated method at run time would delay a failover by milliseconds.
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

    /** True if an unreconciled machine could hold tasks of the job. */
    boolean mayHoldTasksOf(JobSpec spec) {
        for (MachineKind kind : kinds.keySet()) {
            if (PlacementConstraints.isEligible(spec, kind.type(), kind.zone(), kind.spot())
                    && PlacementConstraints.fitsEmptyMachine(spec, kind.type())) {
                return true;
            }
        }
        return false;
    }

    /** Returns the CPUs of all unreconciled machines. */
    double cpus() {
        double cpus = 0;
        for (Map.Entry<MachineKind, Integer> kind : kinds.entrySet()) {
            cpus += kind.getValue() * kind.getKey().type().cpus();
        }
        return cpus;
    }

    /** Returns the GPUs of all unreconciled machines. */
    double gpus() {
        double gpus = 0;
        for (Map.Entry<MachineKind, Integer> kind : kinds.entrySet()) {
            gpus += kind.getValue() * kind.getKey().type().gpus();
        }
        return gpus;
    }
}
