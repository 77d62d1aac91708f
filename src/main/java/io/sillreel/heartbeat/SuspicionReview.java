package io.sillreel.heartbeat;

import io.sillreel.cluster.Cluster;
import io.sillreel.cluster.Machine;
import io.sillreel.cluster.MachineHealth;
import io.sillreel.pipeline.ActiveJob;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Ends suspicions that no further failure or success will resolve, because the job has ended or was cancelled, and ends
 * the quarantine of machines that has lasted long enough. Guarded by the cluster lock.
 */
public final class SuspicionReview {
    private static final Logger LOG = LoggerFactory.getLogger(SuspicionReview.class);

    private final Cluster cluster;

    public SuspicionReview(Cluster cluster) {
        this.cluster = cluster;
    }

    /** Reviews all machines. Called about once a second. */
    public void review(long nowMicros) {
        for (Machine machine : cluster.machines()) {
            if (machine.health().isSuspect()) {
                review(machine, nowMicros);
            }
        }
    }

    private void review(Machine machine, long nowMicros) {
        MachineHealth health = machine.health();
        for (String uid : health.suspicions()) {
            ActiveJob job = cluster.job(uid);
            if (job == null || job.isCancelled() || job.isComplete()) {
                LOG.info("machine {} is no longer suspected of failing job {}, which has ended", machine.name(), uid);
                health.clearSuspicion(uid);
            }
        }
        if (health.isQuarantineOver(nowMicros)) {
            LOG.info(
                    "machine {} gets tasks again, it is not known whether it or {} failed",
                    machine.name(),
                    String.join(" and ", health.suspicions()));
            health.startProbation();
            for (String uid : health.suspicions()) {
                cluster.job(uid).failures().allowRetry(machine.name());
            }
        }
    }
}
