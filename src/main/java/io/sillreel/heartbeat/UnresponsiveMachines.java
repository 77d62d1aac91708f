package io.sillreel.heartbeat;

import io.sillreel.cluster.Cluster;
import io.sillreel.cluster.Machine;
import io.sillreel.fleet.FleetThresholds;
import io.sillreel.http.HttpResponse;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handles machines whose heartbeats arrive but which execute no commands, because the responses do not reach them.
 * Guarded by the cluster lock.
 */
public final class UnresponsiveMachines {
    private static final Logger LOG = LoggerFactory.getLogger(UnresponsiveMachines.class);

    private final Cluster cluster;
    private final FleetThresholds thresholds;
    private final TermOperations operations;

    /** @param thresholds how many machines may be unresponsive before the network or this controller is at fault */
    public UnresponsiveMachines(Cluster cluster, FleetThresholds thresholds, TermOperations operations) {
        this.cluster = cluster;
        this.thresholds = thresholds;
        this.operations = operations;
    }

    /**
     * True if the machine is unresponsive and few others are. If many machines are unresponsive, this controller or the
     * network is at fault, and replacing the machines would not help.
     */
    boolean isIsolatedUnresponsive(Machine machine) {
        if (!machine.responsiveness().isUnresponsive()) {
            return false;
        }
        int maxUnresponsive = thresholds.maxUnresponsive(cluster.machines().size());
        long unresponsive = cluster.machines().stream()
                .filter(each -> each.responsiveness().isUnresponsive())
                .limit(maxUnresponsive + 1L)
                .count();
        return unresponsive <= maxUnresponsive;
    }

    /**
     * Returns a refusal of the heartbeat, so that the lease of the machine and its tasks expire, and has the machine
     * returned to the cloud: drained if its tasks are known, at once otherwise.
     */
    HttpResponse refuseHeartbeat(Machine machine) {
        if (machine.state() == Machine.State.UP) {
            LOG.info(
                    "machine {} ({}) does not respond to commands",
                    machine.name(),
                    machine.type().name());
            operations.requestScheduling();
            if (machine.isReconciled()) {
                machine.drain();
            } else {
                machine.scheduleReturn();
            }
        }
        return HttpResponse.retryLater(503, "earlier answers did not arrive", 1);
    }
}
