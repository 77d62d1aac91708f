package io.sillreel.placement;

import io.sillreel.pipeline.PriorityClass;

/**
 * The unfinished work of one job.
 *
 * @param cpuMicros the work in CPU-microseconds
 * @param parallelCpus the CPUs that the work keeps busy if all unfinished tasks run at once
 * @param taskMicros how long one task occupies its CPUs
 * @param remainingMicros time within which the work should be done
 * @param reservedCpus CPUs reserved for arriving work of higher priority classes
 */
record Load(
        PriorityClass priorityClass,
        double cpuMicros,
        double parallelCpus,
        long taskMicros,
        long remainingMicros,
        double reservedCpus) {}
