package io.sillreel.placement;

import io.sillreel.cluster.ImageCache.Image;
import io.sillreel.cluster.Machine;
import io.sillreel.cluster.PlacementConstraints;
import io.sillreel.pipeline.JobSpec;
import java.util.HashSet;
import java.util.Set;

/** What is free on a machine while a plan is made. */
final class FreeCapacity {
    final Machine machine;
    final Set<String> images = new HashSet<>();
    double cpus;
    double ramGb;
    double gpus;

    FreeCapacity(Machine machine) {
        this.machine = machine;
        cpus = machine.freeCpus();
        ramGb = machine.freeRamGb();
        gpus = machine.freeGpus();
    }

    int fittingTasks(JobSpec spec) {
        return PlacementConstraints.fittingTasks(spec, cpus, ramGb, gpus);
    }

    void take(JobSpec spec, int tasks) {
        cpus -= tasks * spec.cpus();
        ramGb -= tasks * spec.ramGb();
        gpus -= tasks * spec.gpus();
        images.add(spec.image());
    }

    boolean hasImage(JobSpec spec) {
        return hasImage(Image.of(spec));
    }

    boolean hasImage(Image image) {
        return images.contains(image.name()) || machine.hasImage(image);
    }
}
