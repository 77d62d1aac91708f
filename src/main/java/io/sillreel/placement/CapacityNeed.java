package io.sillreel.placement;

import io.sillreel.cloud.MachineType;
import io.sillreel.cluster.PlacementConstraints;
import io.sillreel.pipeline.JobSpec;

/**
 * Processors to provision, and which machines may provide them.
 *
 * @param cpus the missing processors
 * @param job the job that has to fit on each machine, or null if any machine serves
 * @param allowsOnDemand true if on-demand machines may be used
 * @param allowsSpot true if spot machines may be used, as far as the job allows them
 */
record CapacityNeed(double cpus, JobSpec job, boolean allowsOnDemand, boolean allowsSpot) {
    boolean allowsType(MachineType type) {
        return job == null || job.allowsMachineType(type.name()) && PlacementConstraints.fitsEmptyMachine(job, type);
    }

    boolean allowsZone(String zone) {
        return job == null || job.allowsZone(zone);
    }

    /** Returns true if spot machines, or else on-demand machines, may be used. */
    boolean allowsKind(boolean isSpot) {
        return isSpot ? allowsSpot && (job == null || job.spotAllowed()) : allowsOnDemand;
    }
}
