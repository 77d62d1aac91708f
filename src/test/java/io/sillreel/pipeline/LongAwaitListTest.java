package io.sillreel.pipeline;

import static io.sillreel.sim.SimJobs.uid;
import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sillreel.http.HttpResponse;
import io.sillreel.sim.SimCluster;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Jobs that await more others than fit into one value of the state service. */
class LongAwaitListTest {
    private final SimCluster cluster = new SimCluster(31);

    @BeforeEach
    void begin() {
        cluster.runSeconds(2);
    }

    private int accepted(int node, ObjectNode job) {
        HttpResponse response = cluster.submit(node, job);
        for (int tries = 0; tries < 20 && response.status() / 100 != 2; tries++) {
            cluster.runSeconds(1);
            response = cluster.submit(node, job);
        }
        return response.status();
    }

    private void everyNodeSays(String uid, String stage) {
        for (int node = 0; node < cluster.nodes(); node++) {
            if (cluster.isUp(node)) {
                assertThat(cluster.stage(node, uid)).as("%s at %d", uid, node).isEqualTo(stage);
            }
        }
    }

    /** Guards a long list against being lost or forgotten in part: it lies in several values beside the plan. */
    @Test
    void aJobThatAwaitsHundredsStartsOnceAllOfThemAreDone() {
        String[] names = new String[300];
        for (int i = 0; i < names.length; i++) {
            names[i] = uid(i + 1);
            cluster.submitAsync(i % 3, SimCluster.job(names[i], 1));
            cluster.runSeconds(0.05);
        }
        cluster.runSeconds(5);
        ObjectNode large = SimCluster.job(uid(999), 1, names);
        assertThat(accepted(0, large)).isIn(200, 201);
        assertThat(cluster.store().keysWithPrefix("plan-overflow/" + uid(999))).isNotEmpty();
        everyNodeSays(uid(999), "queued");
        // Whoever leads next reads the list again, and so does who is asked for the first time.
        int leader = cluster.leader();
        cluster.restart((leader + 1) % 3);
        cluster.kill(leader);
        cluster.runSeconds(5);
        cluster.restart(leader);
        cluster.runUntil(() -> cluster.known(uid(300)) != null && cluster.leader() >= 0);
        cluster.runSeconds(140);
        everyNodeSays(uid(999), "done");
        assertThat(cluster.store().rejectedForSize()).isZero();
        assertThat(cluster.violations()).isEmpty();
    }

    @Test
    void aCancellationOfOneOfHundredsClosesTheJobThatAwaitsThem() {
        String[] names = new String[200];
        for (int i = 0; i < names.length; i++) {
            names[i] = uid(i + 1);
            cluster.submitAsync(i % 3, SimCluster.job(names[i], 1).put("guess_s", 60.0));
            cluster.runSeconds(0.05);
        }
        cluster.runSeconds(2);
        assertThat(accepted(0, SimCluster.job(uid(999), 1, names))).isIn(200, 201);
        cluster.restart(1);
        cluster.runSeconds(4);
        assertThat(cluster.cancel(2, uid(200)).isOk()).isTrue();
        everyNodeSays(uid(999), "withdrawn");
        cluster.runSeconds(5);
        assertThat(cluster.store().value("withdraw/" + uid(999))).isNotNull();
        assertThat(cluster.violations()).isEmpty();
    }

    /** Guards a list that can't be stored against being accepted and lost. */
    @Test
    void aListThatCanNotBeStoredIsRefused() {
        String[] names = new String[1_000];
        for (int i = 0; i < names.length; i++) {
            names[i] = uid(i + 1);
        }
        HttpResponse response = cluster.submit(0, SimCluster.job(uid(9_999), 1, names));
        assertThat(response.status()).isEqualTo(422);
        assertThat(response.json().path("error").asText()).contains("too large", "awaits 1000 jobs");
        assertThat(cluster.poll(1, uid(9_999)).status()).isEqualTo(404);
        assertThat(cluster.store().keysWithPrefix("plan")).isEmpty();
        assertThat(cluster.store().rejectedForSize()).isZero();
        assertThat(cluster.violations()).isEmpty();
    }
}
