package io.sillreel.placement;

import io.sillreel.pipeline.JobSpec;
import io.sillreel.pipeline.PriorityClass;
import java.util.EnumMap;
import java.util.Map;

/** The processors that newly arriving work keeps busy in the long run. Guarded by the lock of the cluster. */
final class ArrivingDemand {
    private final Map<PriorityClass, DemandEstimator> byPriorityClass = new EnumMap<>(PriorityClass.class);
    /** Work that may not run on spot machines; it is part of the demand of its priority class as well. */
    private final DemandEstimator onDemandOnly = new DemandEstimator();

    /** @param cpuMicros the work that the whole job brings, in processor-microseconds */
    void recordArrival(JobSpec spec, long readyWallMicros, double cpuMicros) {
        byPriorityClass
                .computeIfAbsent(spec.priorityClass(), priorityClass -> new DemandEstimator())
                .recordArrival(readyWallMicros, cpuMicros);
        if (!spec.spotAllowed()) {
            onDemandOnly.recordArrival(readyWallMicros, cpuMicros);
        }
    }

    /** Returns the processors that all arriving work keeps busy. */
    double cpus(long wallMicros) {
        return byPriorityClass.values().stream()
                .mapToDouble(estimator -> estimator.cpus(wallMicros))
                .sum();
    }

    /** Returns the processors that arriving work of a priority class keeps busy. */
    double cpusOf(PriorityClass priorityClass, long wallMicros) {
        DemandEstimator estimator = byPriorityClass.get(priorityClass);
        return estimator == null ? 0 : estimator.cpus(wallMicros);
    }

    /** Returns the processors of on-demand machines that work which may use no others keeps busy. */
    double onDemandOnlyCpus(long wallMicros) {
        return onDemandOnly.cpus(wallMicros);
    }
}
