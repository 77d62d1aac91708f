package io.sillreel.fleet;

import io.sillreel.cluster.Allocation;
import io.sillreel.cluster.Cluster;
import io.sillreel.cluster.Machine;
import io.sillreel.pipeline.JobSpec;
import io.sillreel.placement.RuntimeEstimator;
import java.util.LinkedHashSet;
import java.util.Set;

/** Stops tasks on spot machines with an interruption notice, in time for a checkpoint. Guarded by the cluster lock. */
public final class SpotInterruptionDrain {
    /**
     * A task is not expected to finish if its remaining run time exceeds this multiple of the time until interruption.
     */
    private static final double UNFINISHABLE_RATIO = 1.5;
    /** Overhead of a stop besides the checkpoint: delivery of the command, and the heartbeat that reports the end. */
    private static final long STOP_OVERHEAD_MICROS = 3_000_000;

    /** Margin on the usual checkpoint duration in the grace period of a stop. */
    private static final long CHECKPOINT_MARGIN_MICROS = 1_000_000;

    private final Cluster cluster;
    private final RuntimeEstimator runtimeEstimator;

    public SpotInterruptionDrain(Cluster cluster, RuntimeEstimator runtimeEstimator) {
        this.cluster = cluster;
        this.runtimeEstimator = runtimeEstimator;
    }

    /**
     * Stops the tasks that the interruption would kill and returns the set of affected machines. Tasks with checkpoints
     * are stopped while there is time for a checkpoint. Other tasks keep running if they may finish in time; the rest
     * are stopped at once so that they restart elsewhere sooner.
     */
    public Set<Machine> stopInterruptedTasks(long nowMicros) {
        Set<Machine> affectedMachines = new LinkedHashSet<>();
        for (Machine machine : cluster.machines()) {
            if (!machine.isInterrupted()) {
                continue;
            }
            long timeLeftMicros = machine.interruptionAtMicros() - nowMicros;
            for (Allocation allocation : machine.allocations()) {
                if (isStoppable(allocation) && mustStop(allocation, timeLeftMicros, nowMicros)) {
                    allocation.stop(gracePeriodMicros(allocation.job().spec()));
                    affectedMachines.add(machine);
                }
            }
        }
        return affectedMachines;
    }

    private static boolean isStoppable(Allocation allocation) {
        return allocation.job() != null
                && !allocation.hasEnded()
                && !allocation.isUnconfirmed()
                && !allocation.isStopping();
    }

    private boolean mustStop(Allocation allocation, long timeLeftMicros, long nowMicros) {
        JobSpec spec = allocation.job().spec();
        return spec.supportsCheckpoints()
                ? timeLeftMicros < 2 * spec.checkpointDurationMicros() + STOP_OVERHEAD_MICROS
                : remainingMicros(allocation, nowMicros) > UNFINISHABLE_RATIO * timeLeftMicros;
    }

    private static long gracePeriodMicros(JobSpec spec) {
        return spec.supportsCheckpoints() ? spec.checkpointDurationMicros() + CHECKPOINT_MARGIN_MICROS : 0;
    }

    private long remainingMicros(Allocation allocation, long nowMicros) {
        long elapsed = allocation.runningSinceMicros() < 0 ? 0 : nowMicros - allocation.runningSinceMicros();
        return runtimeEstimator.expectedRuntimeMicros(allocation.job()) - elapsed;
    }
}
