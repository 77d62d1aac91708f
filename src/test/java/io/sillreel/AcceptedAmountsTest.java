package io.sillreel;

import static io.sillreel.FailureScenario.assertNoViolations;
import static io.sillreel.FailureScenario.failOver;
import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sillreel.sim.SimCluster;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Whatever amounts a job is accepted with, it runs, and so do all other jobs. */
class AcceptedAmountsTest {
    private static final double TEAM_CPU_QUOTA = 6;
    private static final String UNUSUAL = "job-000001";

    private final SimCluster cluster = new SimCluster(5, TEAM_CPU_QUOTA);

    private void assertSoundJobRuns(String uid) {
        int node = cluster.leader();
        assertThat(cluster.submit(node, SimCluster.job(uid, 2)).status()).isEqualTo(201);
        cluster.runSeconds(60);
        assertThat(cluster.stage(node, uid)).isEqualTo("done");
    }

    private void assertRunsBesideOthers(ObjectNode job) {
        cluster.runSeconds(2);
        assertThat(cluster.submit(0, job).status()).isEqualTo(201);
        cluster.runSeconds(2);
        assertSoundJobRuns("job-000002");
        failOver(cluster);
        assertSoundJobRuns("job-000003");
        assertThat(cluster.stage(cluster.leader(), UNUSUAL)).isEqualTo("done");
        assertNoViolations(cluster);
    }

    /** Guards against the division by the CPUs of a task rounded to zero, which ended every plan of all teams. */
    @ParameterizedTest
    @ValueSource(doubles = {4.9e-324, 5.551115123125783e-17, 1e-10, 1e-9, 1e-6, 0.0015})
    void jobWithTinyCpusStopsNoOtherJob(double cpus) {
        assertRunsBesideOthers(SimCluster.job(UNUSUAL, 3).put("vcpus", cpus));
    }

    /** Guards sound machines against estimates that are none: tasks of two such jobs made their machine a slow one. */
    @ParameterizedTest
    @ValueSource(doubles = {0, 4.9e-324, 1e-6, 0.5})
    void tinyEstimatesCostNoMachine(double estimate) {
        cluster.runSeconds(2);
        cluster.submit(0, SimCluster.job(UNUSUAL, 1).put("guess_s", estimate));
        cluster.submit(0, SimCluster.job("job-000002", 1).put("guess_s", estimate));
        cluster.runUntilStarted(2, 12_000_000);
        assertThat(cluster.cloud().machines()).hasSize(1);
        String machine = cluster.cloud().machines().firstKey();
        cluster.runSeconds(20);
        assertThat(cluster.stage(0, UNUSUAL)).isEqualTo("done");
        assertThat(cluster.stage(0, "job-000002")).isEqualTo("done");
        assertThat(cluster.cloud().machines()).containsKey(machine);
    }

    /** Guards against overflowing sums of estimated times, and against divisions by amounts rounded to zero. */
    @ParameterizedTest
    @CsvSource({
        "ram_gb, 0",
        "ram_gb, 4.9e-324",
        "ram_gb, 16",
        "image_gb, 0",
        "image_gb, 4.9e-324",
        "image_gb, 1e12",
        "guess_s, 0",
        "guess_s, 4.9e-324",
        "guess_s, 1e12",
        "mark_every_s, 4.9e-324",
        "mark_every_s, 1e12",
        "stash_s, 4.9e-324",
        "stash_s, 1e12",
        "due_s, 0",
        "due_s, 4.9e-324",
        "due_s, 1e12"
    })
    void jobWithExtremeAmountRunsAndStopsNoOtherJob(String field, double amount) {
        assertRunsBesideOthers(SimCluster.job(UNUSUAL, 3).put(field, amount));
    }
}
