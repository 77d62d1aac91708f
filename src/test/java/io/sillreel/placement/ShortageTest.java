package io.sillreel.placement;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sillreel.sim.SimCluster;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** A long capacity shortage: twice as much work as the cloud has machines for. */
class ShortageTest {
    private static final int STEPS = 120;
    private static final double STEP_SECONDS = 2.5;

    private final SimCluster cluster = new SimCluster(21);
    private final Random random = new Random(21);
    private final Map<String, Double> submittedAtSeconds = new HashMap<>();
    private final Map<String, String> jobClasses = new HashMap<>();
    private final List<String> unstarted = new ArrayList<>();

    private void submit(int number) {
        String uid = "job-%06d".formatted(number);
        ObjectNode job = switch (random.nextInt(4)) {
            case 0 -> SimCluster.job(uid, 20).put("rank", "high").put("lot", "urgent");
            case 1, 2 -> SimCluster.job(uid, 60).put("lot", "usual");
            // Each task needs a whole machine, while small tasks wait for every CPU that becomes free.
            default ->
                SimCluster.job(uid, 8)
                        .put("rank", "best_effort")
                        .put("lot", "large")
                        .put("vcpus", 4.0)
                        .putNull("due_s");
        };
        if (cluster.submit(number % 3, job).status() == 201) {
            submittedAtSeconds.put(uid, cluster.time().nowMicros() / 1e6);
            jobClasses.put(uid, job.path("lot").asText());
            unstarted.add(uid);
        }
    }

    private void checkStartTimes() {
        for (String uid : List.copyOf(unstarted)) {
            var status = cluster.poll(0, uid).json();
            double waitedSeconds = cluster.time().nowMicros() / 1e6 - submittedAtSeconds.get(uid);
            if (status.path("done").asInt() + status.path("running").asInt() > 0) {
                assertThat(waitedSeconds)
                        .as("%s of %s", uid, jobClasses.get(uid))
                        .isLessThan(240);
                unstarted.remove(uid);
            }
        }
    }

    /** Guards against the starvation of low-priority jobs and large tasks while other jobs keep arriving. */
    @Test
    void startsEveryJobWithinFourMinutesAndCompletesHalfOfEachClass() {
        cluster.runSeconds(2);
        for (int step = 1; step <= STEPS; step++) {
            submit(step);
            cluster.cloud().machines().values().forEach(worker -> worker.setRunMicros(8_000_000));
            cluster.runSeconds(STEP_SECONDS);
            if (step % 5 == 0) {
                checkStartTimes();
            }
        }
        Map<String, Integer> submittedByClass = new HashMap<>();
        Map<String, Integer> doneByClass = new HashMap<>();
        double nowSeconds = cluster.time().nowMicros() / 1e6;
        for (String uid : submittedAtSeconds.keySet()) {
            if (nowSeconds - submittedAtSeconds.get(uid) > 200) {
                submittedByClass.merge(jobClasses.get(uid), 1, Integer::sum);
                doneByClass.merge(jobClasses.get(uid), cluster.stage(0, uid).equals("done") ? 1 : 0, Integer::sum);
            }
        }
        assertThat(submittedByClass).hasSize(3);
        submittedByClass.forEach((jobClass, count) ->
                assertThat(doneByClass.get(jobClass)).as(jobClass).isGreaterThanOrEqualTo((count + 1) / 2));
        for (int round = 0; round < 20; round++) {
            cluster.runSeconds(10);
            checkStartTimes();
        }
        assertThat(unstarted).isEmpty();
        assertThat(cluster.violations()).isEmpty();
    }
}
