package io.sillreel.placement;

import java.util.ArrayList;
import java.util.List;

/**
 * The work of the loads that are served no later than some load. A job with long tasks, or with an estimate that is far
 * too high, can't use more CPUs than its tasks take, so only part of its work is due by an early deadline of another
 * job.
 */
final class DueWork {
    /** Only tasks that take longer than this are limited to what they can use; limits the cost. */
    private static final long MIN_LIMITED_TASK_MICROS = 600_000_000;
    /** The work of further loads with long tasks counts in full. */
    private static final int MAX_LIMITED_LOADS = 100;

    private final List<Load> limitedLoads = new ArrayList<>();
    private double otherCpuMicros;

    void add(Load load) {
        if (load.taskMicros() > MIN_LIMITED_TASK_MICROS && limitedLoads.size() < MAX_LIMITED_LOADS) {
            limitedLoads.add(load);
        } else {
            otherCpuMicros += load.cpuMicros();
        }
    }

    /** Returns the CPU-microseconds that have to be worked, and can be, within the given time. */
    double cpuMicrosWithin(long remainingMicros) {
        double cpuMicros = otherCpuMicros;
        for (Load load : limitedLoads) {
            cpuMicros += Math.min(load.cpuMicros(), load.parallelCpus() * remainingMicros);
        }
        return cpuMicros;
    }
}
