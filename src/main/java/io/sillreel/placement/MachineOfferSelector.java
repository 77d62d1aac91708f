package io.sillreel.placement;

import io.sillreel.cloud.CloudClient;
import io.sillreel.cloud.MachineType;
import io.sillreel.cluster.Cluster;
import io.sillreel.cluster.Machine;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Selects the machine type, zone and kind (spot or on-demand) to provision: the cheapest offer that is not marked as
 * unavailable. Guarded by the cluster lock.
 */
final class MachineOfferSelector {
    /** A machine type in a zone, as spot or on-demand: the unit in which the cloud's capacity is tracked. */
    private record Offer(String machineType, String zone, boolean isSpot) {
        // Hand-written: the generated methods of a record are linked at run time, which adds milliseconds to a
        // failover.
        @Override
        public boolean equals(Object other) {
            return other instanceof Offer offer
                    && offer.machineType.equals(machineType)
                    && offer.zone.equals(zone)
                    && offer.isSpot == isSpot;
        }

        @Override
        public int hashCode() {
            return 31 * machineType.hashCode() + zone.hashCode() + (isSpot ? 1 : 0);
        }
    }

    /**
     * Relative price surcharge on a spot machine in a zone that holds the whole spot fleet. One wave of interruptions
     * hits all machines of a zone together, so the surcharge spreads them over zones.
     */
    private static final double CONCENTRATION_WEIGHT = 0.25;

    /** A job that needs fewer CPUs is charged for the whole machine as if it needed this many. */
    private static final double MIN_USABLE_CPUS = 0.001;

    private static final boolean[] SPOT_AND_ON_DEMAND = {true, false};

    private final Cluster cluster;
    /** Offers for which the cloud had no capacity, and when they may be requested again. */
    private final Map<Offer, Long> unavailableUntilMicros = new HashMap<>();

    private final Map<String, Double> spotCpusByZone = new HashMap<>();
    private double totalSpotCpus;

    MachineOfferSelector(Cluster cluster) {
        this.cluster = cluster;
    }

    /**
     * Records that the cloud had insufficient capacity for an offer; it is not selected again before the given time.
     */
    void markUnavailable(String machineType, String zone, boolean isSpot, long untilMicros) {
        unavailableUntilMicros.put(new Offer(machineType, zone, isSpot), untilMicros);
    }

    /**
     * Recomputes the spot CPUs of each zone; called once for several selections, since it iterates over all machines.
     */
    void refreshSpotCapacity() {
        spotCpusByZone.clear();
        totalSpotCpus = 0;
        for (Machine machine : cluster.machines()) {
            if (machine.isSpot()) {
                totalSpotCpus += machine.type().cpus();
                spotCpusByZone.merge(machine.zone(), machine.type().cpus(), Double::sum);
            }
        }
    }

    /**
     * Returns the cheapest available offer that meets the need, or empty if there is none.
     *
     * @param proposed offers that are already proposed in this cycle and are skipped
     */
    Optional<ScaleOutProposal> selectCheapest(
            Collection<MachineType> types, CapacityNeed need, List<ScaleOutProposal> proposed, long nowMicros) {
        ScaleOutProposal best = null;
        double bestCost = Double.MAX_VALUE;
        for (MachineType type : types) {
            if (!need.allowsType(type)) {
                continue;
            }
            for (String zone : type.zones()) {
                for (boolean isSpot : SPOT_AND_ON_DEMAND) {
                    if (!need.allowsZone(zone)
                            || !need.allowsKind(isSpot)
                            || isUnavailable(type, zone, isSpot, nowMicros)
                            || isProposed(proposed, type, zone, isSpot)) {
                        continue;
                    }
                    double cost = cost(type, zone, isSpot, need.cpus());
                    if (cost < bestCost) {
                        bestCost = cost;
                        best = new ScaleOutProposal(type, zone, isSpot, machineCount(type, need.cpus()));
                    }
                }
            }
        }
        return Optional.ofNullable(best);
    }

    private boolean isUnavailable(MachineType type, String zone, boolean isSpot, long nowMicros) {
        return unavailableUntilMicros.getOrDefault(new Offer(type.name(), zone, isSpot), 0L) > nowMicros;
    }

    private static boolean isProposed(List<ScaleOutProposal> proposed, MachineType type, String zone, boolean isSpot) {
        for (ScaleOutProposal proposal : proposed) {
            if (proposal.type() == type && proposal.zone().equals(zone) && proposal.isSpot() == isSpot) {
                return true;
            }
        }
        return false;
    }

    /** Returns the price per usable CPU, weighted by the concentration of the spot machines. */
    private double cost(MachineType type, String zone, boolean isSpot, double missingCpus) {
        double usableCpus = Math.max(MIN_USABLE_CPUS, Math.min(type.cpus(), missingCpus));
        return type.priceOf(isSpot) / usableCpus * (1 + CONCENTRATION_WEIGHT * spotShare(zone, isSpot));
    }

    /** Returns the fraction of the spot fleet that is in the zone; 0 for on-demand machines. */
    private double spotShare(String zone, boolean isSpot) {
        return isSpot && totalSpotCpus > 0 ? spotCpusByZone.getOrDefault(zone, 0.0) / totalSpotCpus : 0;
    }

    private static int machineCount(MachineType type, double missingCpus) {
        if (missingCpus <= type.cpus() || type.cpus() <= 0) {
            return 1;
        }
        return (int) Math.min(CloudClient.MAX_MACHINES_PER_REQUEST, Math.floor(missingCpus / type.cpus()));
    }
}
