package io.sillreel.fleet;

import io.sillreel.cloud.CloudClient;
import io.sillreel.cluster.ScaleOutRequest;
import io.sillreel.settings.Settings;

/**
 * How many machines may be given up on a suspicion. Parts of the fleet alone would be hundreds of a large one, so what
 * the cloud can replace, and what can be taken for single failures, bound them as well.
 */
public final class FleetThresholds {
    private static final int UNRECONCILED_DIVISOR = 4;
    private static final int FEW_UNRECONCILED_DIVISOR = 100;
    /** Beyond so many it is no longer the last few that are missing, however large the fleet is. */
    private static final int MAX_FEW_UNRECONCILED = 10;

    private static final int LOST_DIVISOR = 50;
    private static final int MIN_LOST = 2;
    /** More that fall silent within a lease have a cause in common, however large the fleet is. */
    private static final int MAX_LOST = 24;

    private static final int UNRESPONSIVE_DIVISOR = 8;
    private static final int MIN_UNRESPONSIVE = 2;
    private static final double MICROS_PER_SECOND = 1_000_000;

    private final int replaceable;

    /** @param replaceable machines that the cloud can take back and rent anew within a worker's lease */
    FleetThresholds(int replaceable) {
        this.replaceable = replaceable;
    }

    /** The thresholds that follow from the rate of the cloud and the lease of the workers. */
    public static FleetThresholds of(Settings settings) {
        double calls = settings.cloud().requestsPerSecond() * settings.workers().leaseMicros() / MICROS_PER_SECOND;
        int rented = ScaleOutRequest.maxMachines(settings.state().values().announcedBytes());
        double callsOfAMachine = 1.0 / CloudClient.MAX_MACHINES_PER_RETURN
                + 1.0 / Math.min(rented, CloudClient.MAX_MACHINES_PER_REQUEST);
        return new FleetThresholds((int) (calls / callsOfAMachine));
    }

    /** How many machines that a new leader has not heard may be given back without waiting for their leases. */
    int maxUnreconciled(int machines) {
        return Math.min(machines / UNRECONCILED_DIVISOR, replaceable);
    }

    /** How many unheard machines are the last few, for which nobody waits much longer than a report. */
    int fewUnreconciled(int machines) {
        return Math.min(machines / FEW_UNRECONCILED_DIVISOR, MAX_FEW_UNRECONCILED);
    }

    /** How many machines may fall silent within a lease, each for a reason of its own. */
    int maxLost(int machines) {
        return Math.max(MIN_LOST, Math.min(machines / LOST_DIVISOR, MAX_LOST));
    }

    /** How many machines may seem to hear nothing before the fault is taken to be on this side. */
    public int maxUnresponsive(int machines) {
        return Math.max(MIN_UNRESPONSIVE, Math.min(machines / UNRESPONSIVE_DIVISOR, replaceable));
    }
}
