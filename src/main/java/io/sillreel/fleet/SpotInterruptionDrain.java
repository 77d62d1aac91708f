package io.sillreel.fleet;

import io.sillreel.cluster.Allocation;
import io.sillreel.cluster.Cluster;
import io.sillreel.cluster.Machine;
import io.sillreel.pipeline.JobSpec;
import io.sillreel.placement.RuntimeEstimator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Stops tasks on machines whose interruption the cloud has announced, in time for a checkpoint. All access is under the
 * lock of the cluster.
 */
public final class SpotInterruptionDrain {
    /** A task whose remaining run time is this multiple of the time left cannot be expected to finish. */
    private static final double UNFINISHABLE_RATIO = 1.5;
    /** What stopping takes besides the checkpoint: the command, and the heartbeat that shows the end. */
    private static final long STOP_OVERHEAD_MICROS = 3_000_000;

    /** Added to the usual duration of a checkpoint in the grace period. */
    private static final long CHECKPOINT_MARGIN_MICROS = 1_000_000;

    private final Cluster cluster;
    private final RuntimeEstimator runtimeEstimator;

    public SpotInterruptionDrain(Cluster cluster, RuntimeEstimator runtimeEstimator) {
        this.cluster = cluster;
        this.runtimeEstimator = runtimeEstimator;
    }

    /**
     * Stops tasks and returns their machines. Tasks with checkpoints are stopped while there is time for one. Others
     * may still finish; those that cannot are stopped at once, so that they start elsewhere sooner.
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
