package io.sillreel.placement;

import io.sillreel.cluster.Machine;
import io.sillreel.cluster.PlacementConstraints;
import io.sillreel.pipeline.JobSpec;

/** A sum of CPUs, memory and GPUs; mutable and reusable, so that a loop over machines allocates nothing. */
final class ResourceAmounts {
    private double cpus;
    private double ramGb;
    private double gpus;

    void clear() {
        cpus = 0;
        ramGb = 0;
        gpus = 0;
    }

    /** Sets the amounts to the free resources of the machine. */
    void setToFree(Machine machine) {
        cpus = machine.freeCpus();
        ramGb = machine.freeRamGb();
        gpus = machine.freeGpus();
    }

    /** Adds the resources of one task of the job. */
    void addTask(JobSpec spec) {
        cpus += spec.cpus();
        ramGb += spec.ramGb();
        gpus += spec.gpus();
    }

    int fittingTasks(JobSpec spec) {
        return PlacementConstraints.fittingTasks(spec, cpus, ramGb, gpus);
    }
}
