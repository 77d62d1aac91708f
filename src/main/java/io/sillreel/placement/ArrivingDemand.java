package io.sillreel.placement;

import io.sillreel.pipeline.JobSpec;
import io.sillreel.pipeline.PriorityClass;
import java.util.EnumMap;
import java.util.Map;

/** Estimates the CPUs that arriving work keeps busy in the long run. Guarded by the cluster lock. */
final class ArrivingDemand {
    private final Map<PriorityClass, DemandEstimator> byPriorityClass = new EnumMap<>(PriorityClass.class);
    /** Demand of jobs that may not use spot machines; it is also included in the demand of their priority classes. */
    private final DemandEstimator onDemandOnly = new DemandEstimator();

    /** @param cpuMicros total work of all tasks of the job, in CPU-microseconds */
    void recordArrival(JobSpec spec, long readyWallMicros, double cpuMicros) {
        byPriorityClass
                .computeIfAbsent(spec.priorityClass(), priorityClass -> new DemandEstimator())
                .recordArrival(readyWallMicros, cpuMicros);
        if (!spec.spotAllowed()) {
            onDemandOnly.recordArrival(readyWallMicros, cpuMicros);
        }
    }

    /** Returns the CPUs that all arriving work keeps busy. */
    double cpus(long wallMicros) {
        return byPriorityClass.values().stream()
                .mapToDouble(estimator -> estimator.cpus(wallMicros))
                .sum();
    }

    /** Returns the CPUs that arriving work of a priority class keeps busy. */
    double cpusOf(PriorityClass priorityClass, long wallMicros) {
        DemandEstimator estimator = byPriorityClass.get(priorityClass);
        return estimator == null ? 0 : estimator.cpus(wallMicros);
    }

    /** Returns the CPUs that arriving work which requires on-demand machines keeps busy. */
    double onDemandOnlyCpus(long wallMicros) {
        return onDemandOnly.cpus(wallMicros);
    }
}
