package io.sillreel.placement;

import io.sillreel.cloud.MachineType;
import io.sillreel.cluster.PlacementConstraints;
import io.sillreel.pipeline.JobSpec;

/**
 * CPUs to provision, and which machines may provide them.
 *
 * @param cpus the number of missing CPUs
 * @param job the job of which a task has to fit on each machine, or null if any machine will do
 * @param allowsOnDemand true if on-demand machines may be used
 * @param allowsSpot true if spot machines may be used, provided that the job allows them too
 */
record CapacityNeed(double cpus, JobSpec job, boolean allowsOnDemand, boolean allowsSpot) {
    boolean allowsType(MachineType type) {
        return job == null || job.allowsMachineType(type.name()) && PlacementConstraints.fitsEmptyMachine(job, type);
    }

    boolean allowsZone(String zone) {
        return job == null || job.allowsZone(zone);
    }

    /** Returns true if machines of the given kind, spot or on-demand, may be used. */
    boolean allowsKind(boolean isSpot) {
        return isSpot ? allowsSpot && (job == null || job.spotAllowed()) : allowsOnDemand;
    }
}
