package io.sillreel.leadership;

import io.sillreel.cluster.Cluster;
import io.sillreel.fleet.StragglerDetector;
import io.sillreel.heartbeat.SuspicionReview;
import io.sillreel.placement.RuntimeEstimator;

/** Periodically reviews the evidence against the machines of a term. */
final class MachineReview {
    private final Cluster cluster;
    private final SuspicionReview suspicionReview;
    private final StragglerDetector stragglerDetector;

    MachineReview(Cluster cluster, RuntimeEstimator runtimeEstimator) {
        this.cluster = cluster;
        this.suspicionReview = new SuspicionReview(cluster);
        this.stragglerDetector = new StragglerDetector(cluster, runtimeEstimator);
    }

    /** Ends suspicions that nothing else ends, and drains slow machines. Takes the cluster lock. */
    void review(long nowMicros) {
        synchronized (cluster) {
            suspicionReview.review(nowMicros);
            stragglerDetector.drainStragglers(nowMicros);
        }
    }
}
