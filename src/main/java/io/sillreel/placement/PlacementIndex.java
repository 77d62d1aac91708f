package io.sillreel.placement;

import io.sillreel.cloud.MachineType;
import io.sillreel.cluster.ImageCache.Image;
import io.sillreel.cluster.Machine;
import io.sillreel.cluster.PlacementConstraints;
import io.sillreel.pipeline.JobSpec;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeMap;

/**
 * The machines with free room, grouped by what they offer. Thousands of idle machines are a few groups, so the places
 * for a job are found without a look at every machine, in the order that a sort of all of them would give.
 */
final class PlacementIndex {
    private static final double EPSILON = 1e-6;
    /** Fetches that differ by less are taken as equally long. */
    private static final long FETCH_STEP_MICROS = 2_000_000;

    private static final double MIN_FETCH_RATE = 0.01;

    /** What machines offer that are interchangeable but for their names and images. */
    private record Offer(String type, String zone, boolean spot, double cpus, double ramGb, double gpus) {
        static Offer of(FreeCapacity space) {
            Machine machine = space.machine;
            return new Offer(
                    machine.type().name(), machine.zone(), machine.isSpot(), space.cpus, space.ramGb, space.gpus);
        }

        // Written out: the compiler would leave it to be linked at run time, which costs a takeover milliseconds.
        @Override
        public boolean equals(Object other) {
            return other instanceof Offer offer
                    && offer.type.equals(type)
                    && offer.zone.equals(zone)
                    && offer.spot == spot
                    && offer.cpus == cpus
                    && offer.ramGb == ramGb
                    && offer.gpus == gpus;
        }

        @Override
        public int hashCode() {
            int room = Double.hashCode(cpus) + 31 * Double.hashCode(ramGb) + 7 * Double.hashCode(gpus);
            return 31 * (31 * type.hashCode() + zone.hashCode()) + room + (spot ? 1 : 0);
        }
    }

    /** Machines with the same offer by name, and of those the ones that have an image, once somebody has asked. */
    private static final class Group {
        final Offer offer;
        final MachineType type;
        final TreeMap<String, FreeCapacity> spaces = new TreeMap<>();
        final Map<Image, TreeMap<String, FreeCapacity>> holders = new HashMap<>();

        Group(Offer offer, MachineType type) {
            this.offer = offer;
            this.type = type;
        }

        void add(FreeCapacity space) {
            spaces.put(space.machine.name(), space);
            holders.forEach((image, having) -> addHolder(image, having, space));
        }

        void remove(FreeCapacity space) {
            spaces.remove(space.machine.name());
            holders.values().forEach(having -> having.remove(space.machine.name()));
        }

        TreeMap<String, FreeCapacity> having(Image image) {
            return holders.computeIfAbsent(image, asked -> {
                TreeMap<String, FreeCapacity> having = new TreeMap<>();
                spaces.values().forEach(space -> addHolder(asked, having, space));
                return having;
            });
        }

        private static void addHolder(Image image, Map<String, FreeCapacity> having, FreeCapacity space) {
            if (space.hasImage(image)) {
                having.put(space.machine.name(), space);
            }
        }
    }

    /** Machines of one group that are equally good for a job, in the order of their names. */
    private static final class Run implements Comparable<Run> {
        final Group group;
        final long fetch;
        final int wrongKind;
        final double packing;
        final Iterator<FreeCapacity> machines;
        final Map<String, FreeCapacity> excluded;
        FreeCapacity next;

        Run(
                Group group,
                long fetch,
                int wrongKind,
                double packing,
                Map<String, FreeCapacity> machines,
                Map<String, FreeCapacity> excluded) {
            this.group = group;
            this.fetch = fetch;
            this.wrongKind = wrongKind;
            this.packing = packing;
            this.machines = machines.values().iterator();
            this.excluded = excluded;
        }

        boolean advance() {
            do {
                next = machines.hasNext() ? machines.next() : null;
            } while (next != null && excluded.containsKey(next.machine.name()));
            return next != null;
        }

        @Override
        public int compareTo(Run other) {
            int order = Long.compare(fetch, other.fetch);
            order = order != 0 ? order : Integer.compare(wrongKind, other.wrongKind);
            order = order != 0 ? order : Double.compare(packing, other.packing);
            return order != 0 ? order : next.machine.name().compareTo(other.next.machine.name());
        }
    }

    /** Takes the places for a job one after the other, the best first. */
    interface Taker {
        /** True if no more places are wanted. */
        boolean isSatisfied();

        /** True if no machine of the zone may take a task of the job. */
        boolean isZoneExcluded(String zone);

        /** Takes what is to be taken of the place; true if it took anything. */
        boolean take(FreeCapacity space);
    }

    private final double leastCpus;
    private final Map<Offer, Group> groups = new LinkedHashMap<>();
    private long steps;

    /** @param leastCpus what the smallest waiting task needs: machines with less room are left out */
    PlacementIndex(double leastCpus) {
        this.leastCpus = leastCpus;
    }

    void add(FreeCapacity space) {
        if (space.cpus >= leastCpus - EPSILON) {
            Offer offer = Offer.of(space);
            groups.computeIfAbsent(offer, each -> new Group(each, space.machine.type()))
                    .add(space);
        }
    }

    /** Groups and machines that were looked at so far. */
    long steps() {
        return steps;
    }

    /**
     * Offers the places that fit the job to the taker: first where its image is, or is soonest, then by kind, then the
     * fullest place that has the image or the emptiest that has not, then by name.
     *
     * @param wanted how many tasks there are to place
     */
    void offer(JobSpec spec, int wanted, boolean onlyWithImage, Taker taker) {
        PriorityQueue<Run> runs = runs(spec, wanted, onlyWithImage);
        Map<FreeCapacity, Group> taken = new LinkedHashMap<>();
        while (!runs.isEmpty() && !taker.isSatisfied()) {
            Run best = runs.poll();
            if (taker.isZoneExcluded(best.group.offer.zone())) {
                continue;
            }
            steps++;
            if (taker.take(best.next)) {
                taken.put(best.next, best.group);
            }
            if (best.advance()) {
                runs.add(best);
            }
        }
        taken.forEach(this::move);
    }

    /** What was taken of a machine has changed what it offers. */
    private void move(FreeCapacity space, Group from) {
        from.remove(space);
        if (from.spaces.isEmpty()) {
            groups.remove(from.offer);
        }
        add(space);
    }

    private PriorityQueue<Run> runs(JobSpec spec, int wanted, boolean onlyWithImage) {
        PriorityQueue<Run> runs = new PriorityQueue<>();
        Image image = Image.of(spec);
        for (Group group : groups.values()) {
            steps++;
            Offer offer = group.offer;
            int room = PlacementConstraints.fittingTasks(spec, offer.cpus(), offer.ramGb(), offer.gpus());
            if (room <= 0 || !PlacementConstraints.isEligible(spec, group.type, offer.zone(), offer.spot())) {
                continue;
            }
            // What saves its progress loses little when a spot machine is taken, so the others get the ordinary ones.
            int wrongKind = offer.spot() == spec.supportsCheckpoints() ? 0 : 1;
            TreeMap<String, FreeCapacity> having = group.having(image);
            if (!having.isEmpty()) {
                // Where the image is, the fullest place first, so that others empty.
                addRun(runs, new Run(group, 0, wrongKind, offer.cpus(), having, Map.of()));
            }
            if (!onlyWithImage && having.size() < group.spaces.size()) {
                // Where it isn't, one fetch for many tasks.
                long fetch = fetchMicros(spec, group.type) / FETCH_STEP_MICROS;
                addRun(runs, new Run(group, fetch, wrongKind, -Math.min(room, wanted), group.spaces, having));
            }
        }
        return runs;
    }

    private static void addRun(PriorityQueue<Run> runs, Run run) {
        if (run.advance()) {
            runs.add(run);
        }
    }

    private static long fetchMicros(JobSpec spec, MachineType type) {
        return Math.round(spec.imageGb() / Math.max(MIN_FETCH_RATE, type.pullGbPerSecond()) * 1_000_000);
    }
}
