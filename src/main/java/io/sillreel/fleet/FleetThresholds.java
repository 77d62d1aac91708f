package io.sillreel.fleet;

import io.sillreel.cloud.CloudClient;
import io.sillreel.cluster.ScaleOutRequest;
import io.sillreel.settings.Settings;

/**
 * Limits on how many machines may be returned or treated as faulty on suspicion alone. Each limit is a fraction of the
 * fleet. In a large fleet that fraction would be hundreds of machines, so the limits are also capped by the rate at
 * which the cloud can replace machines and by fixed maximums.
 */
public final class FleetThresholds {
    private static final int UNRECONCILED_DIVISOR = 4;
    private static final int SHORT_TIMEOUT_DIVISOR = 100;
    /** The short timeout for unreconciled machines applies up to this count, whatever the size of the fleet. */
    private static final int MAX_SHORT_TIMEOUT = 10;

    private static final int LOST_DIVISOR = 50;
    private static final int MIN_LOST = 2;
    /** More losses within one lease are attributed to a common cause, whatever the size of the fleet. */
    private static final int MAX_LOST = 24;

    private static final int UNRESPONSIVE_DIVISOR = 8;
    private static final int MIN_UNRESPONSIVE = 2;
    private static final double MICROS_PER_SECOND = 1_000_000;

    private final int maxReplaceable;

    /** @param maxReplaceable number of machines that the cloud can take back and replace within one machine lease */
    FleetThresholds(int maxReplaceable) {
        this.maxReplaceable = maxReplaceable;
    }

    /** Returns the thresholds that follow from the cloud's rate limit and the machine lease. */
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

    /** Returns up to how many unreconciled machines the timeout is little longer than a heartbeat interval. */
    int maxUnreconciledForShortTimeout(int machines) {
        return Math.min(machines / SHORT_TIMEOUT_DIVISOR, MAX_SHORT_TIMEOUT);
    }

    /** Returns how many machines may be lost within a lease before a common cause is assumed. */
    int maxLost(int machines) {
        return Math.max(MIN_LOST, Math.min(machines / LOST_DIVISOR, MAX_LOST));
    }

    /** Returns how many machines may be unresponsive before the fault is attributed to this controller. */
    public int maxUnresponsive(int machines) {
        return Math.max(MIN_UNRESPONSIVE, Math.min(machines / UNRESPONSIVE_DIVISOR, maxReplaceable));
    }
}
