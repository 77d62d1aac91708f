package io.sillreel.fleet;

import io.sillreel.cloud.CloudClient;
import io.sillreel.cluster.ScaleOutRequest;
import io.sillreel.settings.Settings;

/**
 * How many machines may be returned on a suspicion. The limits are parts of the fleet. For a large fleet such a part
 * would be hundreds of machines, so the rate at which the cloud can replace them, and fixed maximums, bound it too.
 */
public final class FleetThresholds {
    private static final int UNRECONCILED_DIVISOR = 4;
    private static final int SHORT_TIMEOUT_DIVISOR = 100;
    /** The most unreconciled machines that count as the last few, however large the fleet is. */
    private static final int MAX_SHORT_TIMEOUT = 10;

    private static final int LOST_DIVISOR = 50;
    private static final int MIN_LOST = 2;
    /** If more machines are lost within one lease they have a common cause, however large the fleet is. */
    private static final int MAX_LOST = 24;

    private static final int UNRESPONSIVE_DIVISOR = 8;
    private static final int MIN_UNRESPONSIVE = 2;
    private static final double MICROS_PER_SECOND = 1_000_000;

    private final int maxReplaceable;

    /** @param maxReplaceable how many machines the cloud can take back and replace within a machine's lease */
    FleetThresholds(int maxReplaceable) {
        this.maxReplaceable = maxReplaceable;
    }

    /** Returns the thresholds for the rate limit of the cloud and the lease of the machines. */
    public static FleetThresholds of(Settings settings) {
        double requestsPerLease =
                settings.cloud().requestsPerSecond() * settings.workers().leaseMicros() / MICROS_PER_SECOND;
        int machinesPerRequest =
                ScaleOutRequest.maxMachines(settings.state().values().announcedBytes());
        double requestsPerMachine = 1.0 / CloudClient.MAX_MACHINES_PER_RETURN
                + 1.0 / Math.min(machinesPerRequest, CloudClient.MAX_MACHINES_PER_REQUEST);
        return new FleetThresholds((int) (requestsPerLease / requestsPerMachine));
    }

    /** Returns how many unreconciled machines a new leader may return before their leases expire. */
    int maxUnreconciled(int machines) {
        return Math.min(machines / UNRECONCILED_DIVISOR, maxReplaceable);
    }

    /** Returns how many unreconciled machines are the last few, which are waited for little longer than a heartbeat. */
    int maxUnreconciledForShortTimeout(int machines) {
        return Math.min(machines / SHORT_TIMEOUT_DIVISOR, MAX_SHORT_TIMEOUT);
    }

    /** Returns how many machines may be lost within a lease before a common cause is assumed. */
    int maxLost(int machines) {
        return Math.max(MIN_LOST, Math.min(machines / LOST_DIVISOR, MAX_LOST));
    }

    /** Returns how many machines may be unresponsive before the fault is assumed to be on this side. */
    public int maxUnresponsive(int machines) {
        return Math.max(MIN_UNRESPONSIVE, Math.min(machines / UNRESPONSIVE_DIVISOR, maxReplaceable));
    }
}
