package io.sillreel.placement;

import io.sillreel.cluster.Machine;

/** Properties by which free machines are grouped: type, zone, kind and free resources, but not name or images. */
record CapacityProfile(String machineType, String zone, boolean isSpot, double cpus, double ramGb, double gpus) {
    static CapacityProfile of(FreeCapacity capacity) {
        Machine machine = capacity.machine();
        return new CapacityProfile(
                machine.type().name(),
                machine.zone(),
                machine.isSpot(),
                capacity.cpus(),
                capacity.ramGb(),
                capacity.gpus());
    }

    // Hand-written: the generated methods of a record are linked at run time, which adds milliseconds to a failover.
    @Override
    public boolean equals(Object other) {
        return other instanceof CapacityProfile profile
                && profile.machineType.equals(machineType)
                && profile.zone.equals(zone)
                && profile.isSpot == isSpot
                && profile.cpus == cpus
                && profile.ramGb == ramGb
                && profile.gpus == gpus;
    }

    @Override
    public int hashCode() {
        int resources = Double.hashCode(cpus) + 31 * Double.hashCode(ramGb) + 7 * Double.hashCode(gpus);
        return 31 * (31 * machineType.hashCode() + zone.hashCode()) + resources + (isSpot ? 1 : 0);
    }
}
