package io.sillreel.fleet;

import io.sillreel.cluster.Allocation;
import io.sillreel.cluster.Cluster;
import io.sillreel.cluster.Machine;
import io.sillreel.cluster.MachineHealth;
import io.sillreel.placement.RuntimeEstimator;
import java.util.HashSet;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Detects and drains stragglers: machines on which tasks run much longer than expected. Guarded by the cluster lock.
 */
public final class StragglerDetector {
    private static final Logger LOG = LoggerFactory.getLogger(StragglerDetector.class);

    private final Cluster cluster;
    private final RuntimeEstimator runtimeEstimator;

    public StragglerDetector(Cluster cluster, RuntimeEstimator runtimeEstimator) {
        this.cluster = cluster;
        this.runtimeEstimator = runtimeEstimator;
    }

    /** Drains machines on which tasks of several jobs take a multiple of their expected run time. */
    public void drainStragglers(long nowMicros) {
        for (Machine machine : cluster.machines()) {
            if (machine.state() == Machine.State.UP && isStraggler(machine, nowMicros)) {
                LOG.info(
                        "draining machine {} ({}): it is a straggler",
                        machine.name(),
                        machine.type().name());
                machine.drain();
            }
        }
    }

    private boolean isStraggler(Machine machine, long nowMicros) {
        if (machine.health().isSlow()) {
            return true;
        }
        int lateTasks = 0;
        Set<String> lateJobs = new HashSet<>();
        for (Allocation allocation : machine.allocations()) {
            if (isLate(allocation, nowMicros)) {
                lateTasks++;
                lateJobs.add(allocation.uid());
            }
        }
        return lateJobs.size() > 1 && lateTasks > machine.allocations().size() / 2;
    }

    private boolean isLate(Allocation allocation, long nowMicros) {
        if (allocation.job() == null || allocation.hasEnded() || allocation.runningSinceMicros() < 0) {
            return false;
        }
        if (!RuntimeEstimator.hasEstimate(allocation.job().spec())) {
            return false;
        }
        double expectedMicros =
                runtimeEstimator.expectedRuntimeMicros(allocation.job().spec());
        return nowMicros - allocation.runningSinceMicros() > MachineHealth.SLOW_RATIO * expectedMicros;
    }
}
