package io.sillreel.cluster;

import io.sillreel.cloud.MachineType;
import io.sillreel.pipeline.JobSpec;

/** Which machines a job allows, and how many of its tasks fit into given resources. */
public final class PlacementConstraints {
    /** Sums of task resources are inexact; a task that lacks less than this still fits. */
    private static final double EPSILON = 1e-6;

    private PlacementConstraints() {}

    /** True if the job allows the machine, whatever runs on it. */
    public static boolean isEligible(JobSpec spec, Machine machine) {
        return isEligible(spec, machine.type(), machine.zone(), machine.isSpot());
    }

    /** True if the job allows spot or ordinary machines of the type in the zone. */
    public static boolean isEligible(JobSpec spec, MachineType type, String zone, boolean spot) {
        return spec.allowsMachineType(type.name()) && spec.allowsZone(zone) && (spec.spotAllowed() || !spot);
    }

    /** True if a task of the job fits into an empty machine of the type. */
    public static boolean fitsEmptyMachine(JobSpec spec, MachineType type) {
        return fittingTasks(spec, type.cpus(), type.ramGb(), type.gpus()) > 0;
    }

    /** Returns how many tasks of the job fit into the free resources. */
    public static int fittingTasks(JobSpec spec, double cpus, double ramGb, double gpus) {
        return Math.min(
                fittingTasks(cpus, spec.cpus()),
                Math.min(fittingTasks(ramGb, spec.ramGb()), fittingTasks(gpus, spec.gpus())));
    }

    private static int fittingTasks(double free, double perTask) {
        return perTask <= 0 ? Integer.MAX_VALUE : (int) Math.floor(free / perTask + EPSILON);
    }
}
