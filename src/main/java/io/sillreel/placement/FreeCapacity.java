package io.sillreel.placement;

import io.sillreel.cluster.ImageCache.Image;
import io.sillreel.cluster.Machine;
import io.sillreel.cluster.PlacementConstraints;
import io.sillreel.pipeline.JobSpec;
import java.util.HashSet;
import java.util.Set;

/** The free resources of a machine during planning, minus those of tasks that the plan has placed on it. */
final class FreeCapacity {
    private final Machine machine;
    /** Names of the images that will be pulled for tasks placed by the plan. */
    private final Set<String> plannedImages = new HashSet<>();

    private double cpus;
    private double ramGb;
    private double gpus;
    private int taskSlots;

    FreeCapacity(Machine machine) {
        this.machine = machine;
        cpus = machine.freeCpus();
        ramGb = machine.freeRamGb();
        gpus = machine.freeGpus();
        taskSlots = machine.freeTaskSlots();
    }

    Machine machine() {
        return machine;
    }

    double cpus() {
        return cpus;
    }

    /** Returns the free memory in gigabytes. */
    double ramGb() {
        return ramGb;
    }

    double gpus() {
        return gpus;
    }

    /** Returns true if the machine has the maximum number of tasks, or will have it with those that were placed. */
    boolean isTaskLimitReached() {
        return taskSlots == 0;
    }

    int fittingTasks(JobSpec spec) {
        return Math.min(taskSlots, PlacementConstraints.fittingTasks(spec, cpus, ramGb, gpus));
    }

    /** Subtracts the resources of the given number of the job's tasks. */
    void allocate(JobSpec spec, int tasks) {
        cpus -= tasks * spec.cpus();
        ramGb -= tasks * spec.ramGb();
        gpus -= tasks * spec.gpus();
        taskSlots -= tasks;
        plannedImages.add(spec.image());
    }

    boolean hasImage(JobSpec spec) {
        return hasImage(Image.of(spec));
    }

    /** Returns true if the machine has the image, or will pull it for a task that the plan has placed. */
    boolean hasImage(Image image) {
        return plannedImages.contains(image.name()) || machine.hasImage(image);
    }
}
