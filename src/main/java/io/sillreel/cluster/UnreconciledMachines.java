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
    private record MachineCategory(MachineType type, String zone, boolean spot) {
        static MachineCategory of(Machine machine) {
            return new MachineCategory(machine.type(), machine.zone(), machine.isSpot());
        }

        // Explicit, because linking the generated method at run time would delay a failover by milliseconds.
        @Override
        public boolean equals(Object other) {
            return other instanceof MachineCategory category
                    && category.type == type
                    && category.zone.equals(zone)
                    && category.spot == spot;
        }

        @Override
        public int hashCode() {
            return 31 * type.name().hashCode() + zone.hashCode() + (spot ? 1 : 0);
        }
    }

    private final Set<Machine> machines = new LinkedHashSet<>();
    private final Map<MachineCategory, Integer> categories = new HashMap<>();

    Collection<Machine> machines() {
        return Collections.unmodifiableSet(machines);
    }

    boolean isEmpty() {
        return machines.isEmpty();
    }

    void add(Machine machine) {
        if (machines.add(machine)) {
            categories.merge(MachineCategory.of(machine), 1, Integer::sum);
        }
    }

    void remove(Machine machine) {
        if (machines.remove(machine)) {
            categories.computeIfPresent(
                    MachineCategory.of(machine), (category, count) -> count == 1 ? null : count - 1);
        }
    }

    /** True if an unreconciled machine could hold tasks of the job. */
    boolean mayHoldTasksOf(JobSpec spec) {
        for (MachineCategory category : categories.keySet()) {
            if (PlacementConstraints.isEligible(spec, category.type(), category.zone(), category.spot())
                    && PlacementConstraints.fitsEmptyMachine(spec, category.type())) {
                return true;
            }
        }
        return false;
    }

    /** Returns the CPUs of all unreconciled machines. */
    double cpus() {
        double cpus = 0;
        for (Map.Entry<MachineCategory, Integer> category : categories.entrySet()) {
            cpus += category.getValue() * category.getKey().type().cpus();
        }
        return cpus;
    }

    /** Returns the GPUs of all unreconciled machines. */
    double gpus() {
        double gpus = 0;
        for (Map.Entry<MachineCategory, Integer> category : categories.entrySet()) {
            gpus += category.getValue() * category.getKey().type().gpus();
        }
        return gpus;
    }
}
