package io.sillreel.placement;

import io.sillreel.cloud.MachineType;
import io.sillreel.pipeline.JobSpec;
import java.util.Collection;

/**
 * Capacity is planned in CPUs. For tasks that take hardly any, this counts the CPUs that can't be used because the
 * tasks take the memory that belongs to them. Guarded by the cluster lock.
 */
final class CpuEquivalents {
    /** Tasks with fewer CPUs count by their memory. */
    private static final double NEGLIGIBLE_CPUS = 0.01;
    /** Ratio until the machine types are known. */
    private static final double DEFAULT_GB_PER_CPU = 4;

    private double gbPerCpu = DEFAULT_GB_PER_CPU;

    /** Uses the machine type with most memory per CPU as the measure, so that no more is provisioned than is needed. */
    void update(Collection<MachineType> types) {
        gbPerCpu = types.stream()
                .filter(type -> type.cpus() > 0 && type.ramGb() > 0)
                .mapToDouble(type -> type.ramGb() / type.cpus())
                .max()
                .orElse(DEFAULT_GB_PER_CPU);
    }

    /** Returns the CPUs that one task of the job counts as. */
    double ofTask(JobSpec spec) {
        return isNegligible(spec) ? Math.max(spec.cpus(), spec.ramGb() / gbPerCpu) : spec.cpus();
    }

    /** True if the CPUs of the job's tasks don't show how much of a machine they take. */
    static boolean isNegligible(JobSpec spec) {
        return spec.cpus() < NEGLIGIBLE_CPUS;
    }
}
