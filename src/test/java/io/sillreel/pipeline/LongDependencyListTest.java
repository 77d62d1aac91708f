package io.sillreel.pipeline;

import static io.sillreel.sim.SimJobs.uid;
import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sillreel.http.HttpResponse;
import io.sillreel.sim.SimCluster;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Jobs with more dependencies than fit into one value of the state service. */
class LongDependencyListTest {
    private final SimCluster cluster = new SimCluster(31);

    @BeforeEach
    void startCluster() {
        cluster.runSeconds(2);
    }

    private int submitUntilAccepted(int node, ObjectNode job) {
        HttpResponse response = cluster.submit(node, job);
        for (int tries = 0; tries < 20 && response.status() / 100 != 2; tries++) {
            cluster.runSeconds(1);
            response = cluster.submit(node, job);
        }
        return response.status();
    }

    private void assertStageOnRunningNodes(String uid, String stage) {
        for (int node = 0; node < cluster.nodes(); node++) {
            if (cluster.isUp(node)) {
                assertThat(cluster.stage(node, uid)).as("%s at %d", uid, node).isEqualTo(stage);
            }
        }
    }

    /** Guards against losing part of a long dependency list, which is stored in several overflow values of the plan. */
    @Test
    void startsJobWithHundredsOfDependenciesAfterAllAreDone() {
        String[] dependencies = new String[300];
        for (int i = 0; i < dependencies.length; i++) {
            dependencies[i] = uid(i + 1);
            cluster.submitAsync(i % 3, SimCluster.job(dependencies[i], 1));
            cluster.runSeconds(0.05);
        }
        cluster.runSeconds(5);
        ObjectNode large = SimCluster.job(uid(999), 1, dependencies);
        assertThat(submitUntilAccepted(0, large)).isIn(200, 201);
        assertThat(cluster.store().keysWithPrefix("plan-overflow/" + uid(999))).isNotEmpty();
        assertStageOnRunningNodes(uid(999), "queued");
        // The next leader and a restarted controller have to read the list again.
        int leader = cluster.leader();
        cluster.restart((leader + 1) % 3);
        cluster.kill(leader);
        cluster.runSeconds(5);
        cluster.restart(leader);
        cluster.runUntil(() -> cluster.lastStage(uid(300)) != null && cluster.leader() >= 0);
        cluster.runSeconds(140);
        assertStageOnRunningNodes(uid(999), "done");
        assertThat(cluster.store().rejectedForSize()).isZero();
        assertThat(cluster.violations()).isEmpty();
    }

    @Test
    void cancelsJobWhenOneOfHundredsOfDependenciesIsCancelled() {
        String[] dependencies = new String[200];
        for (int i = 0; i < dependencies.length; i++) {
            dependencies[i] = uid(i + 1);
            cluster.submitAsync(i % 3, SimCluster.job(dependencies[i], 1).put("guess_s", 60.0));
            cluster.runSeconds(0.05);
        }
        cluster.runSeconds(2);
        assertThat(submitUntilAccepted(0, SimCluster.job(uid(999), 1, dependencies)))
                .isIn(200, 201);
        cluster.restart(1);
        cluster.runSeconds(4);
        assertThat(cluster.cancel(2, uid(200)).isOk()).isTrue();
        assertStageOnRunningNodes(uid(999), "withdrawn");
        cluster.runSeconds(5);
        assertThat(cluster.store().value("withdraw/" + uid(999))).isNotNull();
        assertThat(cluster.violations()).isEmpty();
    }

    /** Guards against admitting a job whose dependency list can't be stored. */
    @Test
    void rejectsDependencyListTooLargeToStore() {
        String[] dependencies = new String[1_000];
        for (int i = 0; i < dependencies.length; i++) {
            dependencies[i] = uid(i + 1);
        }
        HttpResponse response = cluster.submit(0, SimCluster.job(uid(9_999), 1, dependencies));
        assertThat(response.status()).isEqualTo(422);
        assertThat(response.json().path("error").asText()).contains("too large", "awaits 1000 jobs");
        assertThat(cluster.poll(1, uid(9_999)).status()).isEqualTo(404);
        assertThat(cluster.store().keysWithPrefix("plan")).isEmpty();
        assertThat(cluster.store().rejectedForSize()).isZero();
        assertThat(cluster.violations()).isEmpty();
    }
}
