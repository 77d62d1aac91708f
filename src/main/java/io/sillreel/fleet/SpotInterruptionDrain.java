package io.sillreel.fleet;

import io.sillreel.cluster.Allocation;
import io.sillreel.cluster.Cluster;
import io.sillreel.cluster.Machine;
import io.sillreel.pipeline.JobSpec;
import io.sillreel.placement.RuntimeEstimator;
import java.util.LinkedHashSet;
import java.util.Set;

/** Stops tasks on machines that the cloud has announced to take back. */
public final class SpotInterruptionDrain {
    /** A task that needs so many times what its machine has left is not worth waiting for. */
    private static final double UNFINISHABLE_FACTOR = 1.5;
    /** What stopping takes besides saving: the way of the command, and of the report of the end. */
    private static final long COMMAND_MICROS = 3_000_000;

    private static final long CHECKPOINT_MARGIN_MICROS = 1_000_000;

    private final Cluster cluster;
    private final RuntimeEstimator runtimeEstimator;

    public SpotInterruptionDrain(Cluster cluster, RuntimeEstimator runtimeEstimator) {
        this.cluster = cluster;
        this.runtimeEstimator = runtimeEstimator;
    }

    /**
     * Returns the machines with stopped tasks. Tasks that can save are stopped while there is time to. The others may
     * yet end by themselves; those that surely won't lose nothing by being stopped at once, and start elsewhere so much
     * sooner.
     */
    public Set<Machine> stopInterruptedTasks(long now) {
        Set<Machine> touched = new LinkedHashSet<>();
        for (Machine machine : cluster.machines()) {
            if (!machine.isInterrupted()) {
                continue;
            }
            long left = machine.interruptionAtMicros() - now;
            for (Allocation allocation : machine.allocations()) {
                if (allocation.job() == null
                        || allocation.hasEnded()
                        || allocation.isUnconfirmed()
                        || allocation.isStopping()) {
                    continue;
                }
                JobSpec spec = allocation.job().spec();
                if (spec.supportsCheckpoints()
                        ? left < 2 * spec.checkpointDurationMicros() + COMMAND_MICROS
                        : remainingMicros(allocation, now) > UNFINISHABLE_FACTOR * left) {
                    allocation.stop(
                            spec.supportsCheckpoints()
                                    ? spec.checkpointDurationMicros() + CHECKPOINT_MARGIN_MICROS
                                    : 0);
                    touched.add(machine);
                }
            }
        }
        return touched;
    }

    private long remainingMicros(Allocation allocation, long now) {
        long ran = allocation.runningSinceMicros() < 0 ? 0 : now - allocation.runningSinceMicros();
        return runtimeEstimator.expectedRuntimeMicros(allocation.job()) - ran;
    }
}
