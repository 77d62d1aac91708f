package io.sillreel.placement;

import io.sillreel.cloud.MachineType;
import io.sillreel.cluster.ImageCache.Image;
import io.sillreel.cluster.PlacementConstraints;
import io.sillreel.pipeline.JobSpec;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SortedMap;

/**
 * An index of the machines with free capacity, grouped by capacity profile. Thousands of idle machines form a few
 * groups, so the machines for a job are found without iterating over all of them, in the same order as a sort of all
 * machines would give.
 */
final class PlacementIndex {
    private static final double EPSILON_CPUS = 1e-6;
    /** Image pulls whose durations fall into the same interval of this length count as equally long. */
    private static final long IMAGE_PULL_GRANULARITY_MICROS = 2_000_000;

    private static final double MIN_PULL_GB_PER_SECOND = 0.01;
    private static final double MICROS_PER_SECOND = 1_000_000;

    /** Visits machines for a job, the most suitable first. */
    interface MachineVisitor {
        /** Returns true if no more machines are wanted. */
        boolean isSatisfied();

        /** Returns true if no machine of the zone may take a task of the job. */
        boolean isZoneExcluded(String zone);

        /** Places tasks on the machine; returns true if that has changed its free capacity. */
        boolean place(FreeCapacity capacity);
    }

    private final double smallestTaskCpus;
    private final Map<CapacityProfile, MachineGroup> groups = new LinkedHashMap<>();
    private long steps;

    /** @param smallestTaskCpus CPUs of the smallest waiting task; machines with fewer free CPUs are left out */
    PlacementIndex(double smallestTaskCpus) {
        this.smallestTaskCpus = smallestTaskCpus;
    }

    void add(FreeCapacity capacity) {
        if (!capacity.isTaskLimitReached() && capacity.cpus() >= smallestTaskCpus - EPSILON_CPUS) {
            CapacityProfile profile = CapacityProfile.of(capacity);
            groups.computeIfAbsent(
                            profile,
                            missing ->
                                    new MachineGroup(missing, capacity.machine().type()))
                    .add(capacity);
        }
    }

    /** Returns how many groups and machines have been examined. */
    long steps() {
        return steps;
    }

    /**
     * Visits the machines on which tasks of the job fit, ordered by the duration of the image pull, then by preferred
     * kind, then by packing, then by name. Packing prefers, among machines with the image, the fullest one and, among
     * machines without it, the one that takes most tasks.
     *
     * @param wantedTasks number of tasks to place
     */
    void visitMachines(JobSpec spec, int wantedTasks, boolean onlyWithImage, MachineVisitor visitor) {
        PriorityQueue<MachineCandidates> candidates = candidates(spec, wantedTasks, onlyWithImage);
        Map<FreeCapacity, MachineGroup> changed = new LinkedHashMap<>();
        while (!candidates.isEmpty() && !visitor.isSatisfied()) {
            MachineCandidates best = candidates.poll();
            if (visitor.isZoneExcluded(best.group().profile().zone())) {
                continue;
            }
            steps++;
            if (visitor.place(best.next())) {
                changed.put(best.next(), best.group());
            }
            if (best.advance()) {
                candidates.add(best);
            }
        }
        // Regrouping is deferred because the candidates iterate over the groups.
        changed.forEach(this::regroup);
    }

    private void regroup(FreeCapacity capacity, MachineGroup group) {
        group.remove(capacity);
        if (group.isEmpty()) {
            groups.remove(group.profile());
        }
        add(capacity);
    }

    private PriorityQueue<MachineCandidates> candidates(JobSpec spec, int wantedTasks, boolean onlyWithImage) {
        PriorityQueue<MachineCandidates> candidates = new PriorityQueue<>();
        Image image = Image.of(spec);
        for (MachineGroup group : groups.values()) {
            steps++;
            CapacityProfile profile = group.profile();
            int fitting = PlacementConstraints.fittingTasks(spec, profile.cpus(), profile.ramGb(), profile.gpus());
            if (fitting <= 0
                    || !PlacementConstraints.isEligible(spec, group.type(), profile.zone(), profile.isSpot())) {
                continue;
            }
            // A task with checkpoints loses little when a spot machine is interrupted, so on-demand machines are left
            // to tasks without checkpoints.
            int kindMismatch = profile.isSpot() == spec.supportsCheckpoints() ? 0 : 1;
            SortedMap<String, FreeCapacity> withImage = group.machinesWithImage(image);
            if (!withImage.isEmpty()) {
                // The fullest machine comes first, so that other machines become empty and can be returned.
                addIfNotEmpty(
                        candidates, new MachineCandidates(group, 0, kindMismatch, profile.cpus(), withImage, Map.of()));
            }
            if (!onlyWithImage && withImage.size() < group.machines().size()) {
                // The machine that takes most tasks comes first, so that they share one image pull.
                addIfNotEmpty(
                        candidates,
                        new MachineCandidates(
                                group,
                                imagePullMicros(spec, group.type()) / IMAGE_PULL_GRANULARITY_MICROS,
                                kindMismatch,
                                -Math.min(fitting, wantedTasks),
                                group.machines(),
                                withImage));
            }
        }
        return candidates;
    }

    private static void addIfNotEmpty(PriorityQueue<MachineCandidates> queue, MachineCandidates candidates) {
        if (candidates.advance()) {
            queue.add(candidates);
        }
    }

    private static long imagePullMicros(JobSpec spec, MachineType type) {
        double gbPerSecond = Math.max(MIN_PULL_GB_PER_SECOND, type.pullGbPerSecond());
        return Math.round(spec.imageGb() / gbPerSecond * MICROS_PER_SECOND);
    }
}
