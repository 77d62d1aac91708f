package io.sillreel.placement;

import static org.assertj.core.api.Assertions.assertThat;

import io.sillreel.cloud.MachineType;
import io.sillreel.cloud.MachineType.ImageStorage;
import io.sillreel.cloud.MachineType.Pricing;
import io.sillreel.cluster.AllocationIndex;
import io.sillreel.cluster.Machine;
import io.sillreel.cluster.PlacementConstraints;
import io.sillreel.http.Json;
import io.sillreel.pipeline.JobSpec;
import io.sillreel.pipeline.JobSpecCodec;
import io.sillreel.sim.SimCluster;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.RepetitionInfo;

class PlacementIndexTest {
    private static final List<MachineType> TYPES = List.of(
            new MachineType("c4", 4, 0, 16, new ImageStorage(50, 1), new Pricing(1, 0.5), 1, List.of("a", "b")),
            new MachineType("c8", 8, 0, 32, new ImageStorage(50, 0.2), new Pricing(1, 0.5), 1, List.of("a", "b")));

    private static JobSpec job(Random random, int number) {
        return JobSpecCodec.decode(SimCluster.job("job-" + number, 1 + random.nextInt(12))
                .put("vcpus", 0.5 * (1 + random.nextInt(6)))
                .put("reel", "img-" + random.nextInt(3))
                .put("image_gb", random.nextInt(4))
                .put("loaners", random.nextInt(3) > 0)
                .put("mark_every_s", random.nextInt(2)));
    }

    /** Places as many tasks of a job as fit, and records the machines. */
    private static final class RecordingVisitor implements PlacementIndex.MachineVisitor {
        private final JobSpec spec;
        private final List<String> placements = new ArrayList<>();
        private int remainingTasks;

        RecordingVisitor(JobSpec spec) {
            this.spec = spec;
            this.remainingTasks = spec.tasks();
        }

        @Override
        public boolean isSatisfied() {
            return remainingTasks == 0;
        }

        @Override
        public boolean isZoneExcluded(String zone) {
            return false;
        }

        @Override
        public boolean place(FreeCapacity capacity) {
            int count = Math.min(remainingTasks, capacity.fittingTasks(spec));
            remainingTasks -= count;
            capacity.allocate(spec, count);
            placements.add(capacity.machine().name() + " x " + count);
            return count > 0;
        }
    }

    private static long imagePullStep(FreeCapacity capacity, JobSpec spec) {
        return capacity.hasImage(spec)
                ? 0
                : (long) (spec.imageGb() / capacity.machine().type().pullGbPerSecond()) / 2;
    }

    /** Reference implementation: places the job's tasks in the order of a sort of all machines. */
    private static List<String> placeInSortedOrder(List<FreeCapacity> capacities, JobSpec spec) {
        List<FreeCapacity> fitting = new ArrayList<>(capacities);
        fitting.removeIf(capacity ->
                capacity.fittingTasks(spec) <= 0 || !PlacementConstraints.isEligible(spec, capacity.machine()));
        fitting.sort(Comparator.<FreeCapacity>comparingLong(capacity -> imagePullStep(capacity, spec))
                .thenComparingInt(capacity -> capacity.machine().isSpot() == spec.supportsCheckpoints() ? 0 : 1)
                .thenComparingDouble(capacity -> capacity.hasImage(spec)
                        ? capacity.cpus()
                        : -Math.min(capacity.fittingTasks(spec), spec.tasks()))
                .thenComparing(capacity -> capacity.machine().name()));
        RecordingVisitor visitor = new RecordingVisitor(spec);
        fitting.stream().takeWhile(capacity -> !visitor.isSatisfied()).forEach(visitor::place);
        return visitor.placements;
    }

    @RepeatedTest(20)
    void visitsMachinesInSameOrderAsFullSort(RepetitionInfo repetition) {
        Random random = new Random(repetition.getCurrentRepetition());
        PlacementIndex index = new PlacementIndex(0.5);
        List<FreeCapacity> capacities = new ArrayList<>();
        for (int number = 0; number < 60; number++) {
            MachineType type = TYPES.get(random.nextInt(2));
            Machine machine = new Machine(
                    "host-%03d".formatted(random.nextInt(10) * 100 + number),
                    type,
                    type.zones().get(random.nextInt(2)),
                    random.nextBoolean(),
                    null,
                    0,
                    new AllocationIndex());
            index.add(new FreeCapacity(machine));
            capacities.add(new FreeCapacity(machine));
        }
        for (int number = 0; number < 60; number++) {
            JobSpec spec = job(random, number);
            RecordingVisitor visitor = new RecordingVisitor(spec);
            index.visitMachines(spec, spec.tasks(), false, visitor);
            assertThat(visitor.placements)
                    .as(Json.parse(Json.bytes(JobSpecCodec.encode(spec))).toString())
                    .isEqualTo(placeInSortedOrder(capacities, spec));
        }
    }
}
