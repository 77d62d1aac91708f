package io.sillreel.cluster;

import io.sillreel.cloud.MachineType;
import io.sillreel.pipeline.JobSpec;

/** Determines which machines a job allows, and how many of its tasks fit into given resources. */
public final class PlacementConstraints {
    /**
     * Tolerance for rounding errors in sums of task resources, as a fraction of a task. Machines refuse tasks that
     * exceed their resources by more.
     */
    private static final double EPSILON = 1e-9;
    /** Less than this is free only by a rounding error. */
    private static final double MIN_FREE = 1e-9;

    private PlacementConstraints() {}

    /** True if the job allows the machine, regardless of its free resources. */
    public static boolean isEligible(JobSpec spec, Machine machine) {
        return isEligible(spec, machine.type(), machine.zone(), machine.isSpot());
    }

    /** True if the job allows machines of the type in the zone, spot or on-demand. */
    public static boolean isEligible(JobSpec spec, MachineType type, String zone, boolean spot) {
        return spec.allowsMachineType(type.name()) && spec.allowsZone(zone) && (spec.spotAllowed() || !spot);
    }

    /** True if a task of the job fits into an empty machine of the type. */
    public static boolean fitsEmptyMachine(JobSpec spec, MachineType type) {
        return fittingTasks(spec, type.cpus(), type.ramGb(), type.gpus()) > 0;
    }

    /** Returns how many tasks of the job fit into the free resources; at least 0. */
    public static int fittingTasks(JobSpec spec, double cpus, double ramGb, double gpus) {
        return Math.min(
                fittingTasks(cpus, spec.cpus()),
                Math.min(fittingTasks(ramGb, spec.ramGb()), fittingTasks(gpus, spec.gpus())));
    }

    private static int fittingTasks(double free, double perTask) {
        if (perTask <= 0) {
            return Integer.MAX_VALUE;
        }
        return free < MIN_FREE ? 0 : (int) Math.floor(free / perTask + EPSILON);
    }
}
