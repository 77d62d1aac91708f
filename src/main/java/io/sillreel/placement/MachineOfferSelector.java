package io.sillreel.placement;

import io.sillreel.cloud.CloudClient;
import io.sillreel.cloud.MachineType;
import io.sillreel.cluster.Cluster;
import io.sillreel.cluster.Machine;
import io.sillreel.cluster.PlacementConstraints;
import io.sillreel.pipeline.JobSpec;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Chooses which kind of machine to rent, and where: the cheapest that the cloud is not known to lack. */
final class MachineOfferSelector {
    /** What the cloud may have or lack: a kind of machine in a zone. */
    private record Offer(String type, String zone, boolean spot) {
        // Written out: the compiler would leave it to be linked at run time, which costs a takeover milliseconds.
        @Override
        public boolean equals(Object other) {
            return other instanceof Offer offer
                    && offer.type.equals(type)
                    && offer.zone.equals(zone)
                    && offer.spot == spot;
        }

        @Override
        public int hashCode() {
            return 31 * type.hashCode() + zone.hashCode() + (spot ? 1 : 0);
        }
    }

    private static final double SAME_PLACE_WEIGHT = 0.25;

    private final Cluster cluster;
    private final Map<Offer, Long> fullUntil = new HashMap<>();
    /** Processors of spot machines by zone, and of all of them. */
    private final Map<String, Double> spotCpus = new HashMap<>();

    private double allSpotCpus;

    MachineOfferSelector(Cluster cluster) {
        this.cluster = cluster;
    }

    /** The cloud had none, or too few, of the kind; it isn't asked for more until then. */
    void markUnavailable(String type, String zone, boolean spot, long untilMicros) {
        fullUntil.put(new Offer(type, zone, spot), untilMicros);
    }

    /** Looks how the spot machines are spread; done once for several choices, since it is a look at every machine. */
    void refresh() {
        spotCpus.clear();
        allSpotCpus = 0;
        for (Machine machine : cluster.machines()) {
            if (machine.isSpot()) {
                allSpotCpus += machine.type().cpus();
                spotCpus.merge(machine.zone(), machine.type().cpus(), Double::sum);
            }
        }
    }

    /**
     * The cheapest offer for so many processors, or null.
     *
     * @param only a job that has to fit, or null
     * @param already what is asked for anyway, and not to be asked for twice
     */
    ScaleOutProposal selectCheapest(
            Collection<MachineType> types,
            double missing,
            JobSpec only,
            boolean ordinaryToo,
            boolean spotToo,
            List<ScaleOutProposal> already,
            long nowMicros) {
        boolean anySpot = spotToo && (only == null || only.spotAllowed());
        ScaleOutProposal best = null;
        double bestCost = Double.MAX_VALUE;
        for (MachineType type : types) {
            if (only != null
                    && (!only.allowsMachineType(type.name()) || !PlacementConstraints.fitsEmptyMachine(only, type))) {
                continue;
            }
            for (String zone : type.zones()) {
                if (only != null && !only.allowsZone(zone)) {
                    continue;
                }
                for (boolean spot : new boolean[] {true, false}) {
                    boolean full = fullUntil.getOrDefault(new Offer(type.name(), zone, spot), 0L) > nowMicros;
                    if (full || !(spot ? anySpot : ordinaryToo) || asked(already, type, zone, spot)) {
                        continue;
                    }
                    double cost = type.priceOf(spot)
                            / Math.min(type.cpus(), missing)
                            * (1 + SAME_PLACE_WEIGHT * share(zone, spot));
                    if (cost < bestCost) {
                        bestCost = cost;
                        int count = (int) Math.max(1, Math.floor(missing / type.cpus()));
                        best = new ScaleOutProposal(
                                type, zone, spot, Math.min(count, CloudClient.MAX_MACHINES_PER_REQUEST));
                    }
                }
            }
        }
        return best;
    }

    private static boolean asked(List<ScaleOutProposal> already, MachineType type, String zone, boolean spot) {
        return already.stream()
                .anyMatch(rentalRequest -> rentalRequest.type() == type
                        && rentalRequest.zone().equals(zone)
                        && rentalRequest.isSpot() == spot);
    }

    /** The part of the spot fleet that one wave in this place could take. */
    private double share(String zone, boolean spot) {
        return spot && allSpotCpus > 0 ? spotCpus.getOrDefault(zone, 0.0) / allSpotCpus : 0;
    }
}
