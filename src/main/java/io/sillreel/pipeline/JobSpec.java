package io.sillreel.pipeline;

import java.util.List;

/**
 * A job array as it was submitted. The accessors below the components spare callers to know how the components are
 * grouped.
 *
 * @param uid the id that the user chose; a repeated submission of it is idempotent
 * @param jobClass jobs of one class run for similar times
 * @param team the team whose quota and fair share the job uses
 * @param tasks the number of tasks, numbered from 0
 * @param dependencies ids of the jobs that have to be done before this one is released
 */
public record JobSpec(
        String uid,
        String jobClass,
        String team,
        Urgency urgency,
        int tasks,
        TaskSpec task,
        PlacementRequirements placement,
        List<String> dependencies) {

    /** The priority class of the job itself. */
    public PriorityClass priorityClass() {
        return urgency.priorityClass();
    }

    /** Time from submission to the job's own deadline; negative without a deadline. */
    public long deadlineMicros() {
        return urgency.deadlineMicros();
    }

    /** Processors that one task occupies. */
    public double cpus() {
        return task.cpus();
    }

    /** Accelerators that one task occupies. */
    public double gpus() {
        return task.gpus();
    }

    /** Memory that one task occupies, in gigabytes. */
    public double ramGb() {
        return task.ramGb();
    }

    /** The name of the container image. */
    public String image() {
        return task.image();
    }

    /** The size of the container image in gigabytes. */
    public double imageGb() {
        return task.imageGb();
    }

    /** The user's estimate of the run time of one task. */
    public long estimatedMicros() {
        return task.estimatedMicros();
    }

    /** True if a task saves its progress when it is stopped with enough notice. */
    public boolean supportsCheckpoints() {
        return task.checkpointing().isSupported();
    }

    /** Time that a task takes to write a checkpoint when it is stopped. */
    public long checkpointDurationMicros() {
        return task.checkpointing().durationMicros();
    }

    /** True if tasks may run on machines of the type of that name. */
    public boolean allowsMachineType(String machineType) {
        return placement.allowsMachineType(machineType);
    }

    /** True if tasks may run in the zone of that name. */
    public boolean allowsZone(String zone) {
        return placement.allowsZone(zone);
    }

    /** The only allowed zone, or null for any. */
    public String zone() {
        return placement.zone();
    }

    /** True if all running tasks have to be in the same zone. */
    public boolean zoneAffinity() {
        return placement.zoneAffinity();
    }

    /** True if the tasks have to be spread over zones; see {@link #maxTasksPerZone}. */
    public boolean zoneAntiAffinity() {
        return placement.zoneAntiAffinity();
    }

    /** True if tasks may run on spot instances. */
    public boolean spotAllowed() {
        return placement.spotAllowed();
    }

    /** The most tasks that may run in one zone at a time. */
    public int maxTasksPerZone() {
        return placement.zoneAntiAffinity() ? (tasks + 1) / 2 : tasks;
    }

    /** The same job with other machine types, null for any, and other dependencies. */
    JobSpec withMachineTypesAndDependencies(List<String> otherMachineTypes, List<String> otherDependencies) {
        return new JobSpec(
                uid,
                jobClass,
                team,
                urgency,
                tasks,
                task,
                placement.withMachineTypes(otherMachineTypes),
                otherDependencies);
    }
}
