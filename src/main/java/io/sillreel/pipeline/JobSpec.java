package io.sillreel.pipeline;

import java.util.List;

/**
 * The specification of a job array as submitted. The additional accessors hide the grouping of the nested components
 * from callers.
 *
 * @param uid the id chosen by the user; a repeated submission with the same id is idempotent
 * @param jobClass a name that groups jobs with similar run times
 * @param team the team whose quota and fair share the job uses
 * @param tasks the number of tasks; task indexes start at 0
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

    /** The job's own priority class, without what it inherits from its dependents. */
    public PriorityClass priorityClass() {
        return urgency.priorityClass();
    }

    /** The job's own deadline relative to its submission; negative without a deadline. */
    public long deadlineMicros() {
        return urgency.deadlineMicros();
    }

    /** CPUs required by one task. */
    public double cpus() {
        return task.cpus();
    }

    /** GPUs required by one task. */
    public double gpus() {
        return task.gpus();
    }

    /** Memory required by one task, in gigabytes. */
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

    /** True if a task that is stopped with enough notice writes a checkpoint. */
    public boolean supportsCheckpoints() {
        return task.checkpointing().isSupported();
    }

    /** Time that a task takes to write a checkpoint when it is stopped. */
    public long checkpointDurationMicros() {
        return task.checkpointing().durationMicros();
    }

    /** How long a task may take to write a checkpoint when it is stopped; 0 if it writes none. */
    public long checkpointGracePeriodMicros() {
        return task.checkpointing().gracePeriodMicros();
    }

    /** True if tasks may run on machines of the named type. */
    public boolean allowsMachineType(String machineType) {
        return placement.allowsMachineType(machineType);
    }

    /** True if tasks may run in the named zone. */
    public boolean allowsZone(String zone) {
        return placement.allowsZone(zone);
    }

    /** The only allowed zone, or null for any. */
    public String zone() {
        return placement.zone();
    }

    /** True if all running tasks have to be in one zone. */
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

    /** The maximum number of tasks that may run in one zone at the same time. */
    public int maxTasksPerZone() {
        return placement.zoneAntiAffinity() ? (tasks + 1) / 2 : tasks;
    }

    /** Returns a copy with other dependencies and other machine types, where null allows any. */
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
