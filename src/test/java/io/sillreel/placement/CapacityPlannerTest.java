package io.sillreel.placement;

import static org.assertj.core.api.Assertions.assertThat;

import io.sillreel.cluster.Cluster;
import io.sillreel.pipeline.ActiveJob;
import io.sillreel.pipeline.JobSpec;
import io.sillreel.pipeline.JobSpecs;
import io.sillreel.pipeline.NoOpJobListener;
import io.sillreel.pipeline.PriorityClass;
import io.sillreel.settings.Settings.Team;
import io.sillreel.settings.ValueLimits;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class CapacityPlannerTest {
    private static final long WALL_MICROS = 1_000_000_000_000L;
    private static final long LONGEST_ACCEPTED_SECONDS = 1_000_000_000_000L;

    private final Cluster cluster = new Cluster(Map.of("team", new Team("team", 0, 0, 0, 0)));
    private final RuntimeEstimator estimator = new RuntimeEstimator();
    private final CapacityPlanner planner = new CapacityPlanner(
            cluster, new ServiceLevelObjectives(List.of(), estimator), estimator, new PlanningErrors((work, error) -> {
                throw new AssertionError(work, error);
            }));

    private void add(String uid, PriorityClass priorityClass, int tasks, long estimatedSeconds) {
        JobSpec spec = JobSpecs.spec(uid, priorityClass, tasks, JobSpecs.task(1, estimatedSeconds));
        ActiveJob job = new ActiveJob(spec, 1, WALL_MICROS, ValueLimits.fixed(8_192), new NoOpJobListener());
        job.recordWrite().onStored(1);
        cluster.add(job);
        planner.recordArrival(spec, WALL_MICROS);
    }

    /** Guards the fleet against one estimate that is far too high: it wanted more machines than any cloud has. */
    @Test
    void hugeEstimateRequiresNoMoreThanItsTasksCanUse() {
        add("job-000001", PriorityClass.BEST_EFFORT, 20, 20);
        double requiredBefore = planner.requiredCpus(WALL_MICROS);
        add("job-000002", PriorityClass.HIGH, 2, LONGEST_ACCEPTED_SECONDS);
        assertThat(planner.requiredCpus(WALL_MICROS)).isBetween(requiredBefore, requiredBefore + 30);
        assertThat(planner.steadyDemandCpus(WALL_MICROS)).isLessThan(50);
    }
}
