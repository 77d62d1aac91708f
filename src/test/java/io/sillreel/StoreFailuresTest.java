package io.sillreel;

import static io.sillreel.FailureScenario.assertNoViolations;
import static io.sillreel.FailureScenario.assertStageOnRunningNodes;
import static io.sillreel.FailureScenario.failOver;
import static io.sillreel.FailureScenario.machineNames;
import static io.sillreel.FailureScenario.startCluster;
import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sillreel.sim.FailureInjector;
import io.sillreel.sim.SimCluster;
import io.sillreel.sim.SimNetwork.Action;
import io.sillreel.sim.SimNetwork.Rule;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Late, lost and reordered reads and writes of the state service: the responses to users, and the tasks that ran. */
class StoreFailuresTest {
    private static final long SECOND = 1_000_000;

    /** Guards against stale responses from caches: no node returns an older status, however soon it is polled. */
    @Test
    void statusReadsAreMonotonicAcrossNodes() {
        SimCluster cluster = startCluster(4);
        Random random = new Random(4);
        for (int i = 1; i <= 40; i++) {
            String uid = "job-%06d".formatted(i);
            int node = random.nextInt(3);
            ObjectNode job = SimCluster.job(uid, 1 + i % 2);
            cluster.submit(node, job);
            pollAndResubmitRepeatedly(cluster, uid, job);
            if (i % 4 == 0) {
                cluster.cancelAsync(random.nextInt(3), uid);
                pollAndResubmitRepeatedly(cluster, uid, job);
            } else if (i % 4 == 1) {
                int starts = cluster.startCount();
                cluster.runUntil(() -> cluster.startCount() > starts);
                cluster.runSeconds(2.95);
                pollAndResubmitRepeatedly(cluster, uid, job);
                cluster.cancelAsync(random.nextInt(3), uid);
                pollAndResubmitRepeatedly(cluster, uid, job);
            }
        }
        cluster.runSeconds(60);
        assertNoViolations(cluster);
    }

    private static void pollAndResubmitRepeatedly(SimCluster cluster, String uid, ObjectNode job) {
        for (int round = 0; round < 12; round++) {
            for (int node = 0; node < cluster.nodes(); node++) {
                cluster.pollAsync(node, uid);
                if (round % 4 == 1) {
                    cluster.submitAsync(node, job);
                }
            }
            cluster.runSeconds(0.002 + 0.01 * (round % 3));
        }
    }

    /** Guards responses that depend on a write whose own response is lost, while other nodes read the written value. */
    @Test
    void allNodesAgreeOnWritesWithLostResponses() {
        for (String content : List.of("\"plan/", "\"withdraw/", "\"run/", "\"set\"")) {
            SimCluster cluster = startCluster(5);
            Rule lostResponses = cluster.network()
                    .addRule(FailureInjector.transactions(content, Action.DROP_RESPONSE, 0.7, new Random(5)));
            for (int i = 1; i <= 8; i++) {
                String uid = "job-%06d".formatted(i);
                ObjectNode job = SimCluster.job(uid, 2);
                cluster.submitAsync(i % 3, job);
                pollAndResubmitRepeatedly(cluster, uid, job);
                if (i % 2 == 0) {
                    cluster.cancelAsync(i % 3, uid);
                    pollAndResubmitRepeatedly(cluster, uid, job);
                }
                cluster.runSeconds(2);
            }
            cluster.network().removeRule(lostResponses);
            cluster.runSeconds(40);
            for (int i = 1; i <= 8; i += 2) {
                assertStageOnRunningNodes(cluster, "job-%06d".formatted(i), "done");
            }
            assertNoViolations(cluster);
        }
    }

    /** Guards polls against transactions that get no response while all other requests do. */
    @Test
    void answersPollsWhileTransactionsGetNoResponse() {
        SimCluster cluster = startCluster(15);
        cluster.submit(0, SimCluster.job("job-000001", 2));
        cluster.runUntilStarted(2, 60 * SECOND);
        cluster.network()
                .addRule((from, to, request) -> request.route().equals("/txn") ? Action.DELAY_AND_DROP_RESPONSE : null);
        for (int i = 0; i < 12; i++) {
            assertThat(cluster.poll(i % 3, "job-000001").status()).isEqualTo(200);
            assertThat(cluster.poll(i % 3, "job-000009").status()).isEqualTo(404);
        }
        assertNoViolations(cluster);
    }

    /** Guards the order of a controller's writes: one without a response may be applied after newer ones. */
    @Test
    void lateWritesDoNotUndoNewerOnes() {
        for (int seed = 1; seed <= 4; seed++) {
            SimCluster cluster = startCluster(seed);
            Rule delayedWrites = cluster.network()
                    .addRule(FailureInjector.transactions(
                            "\"set\"", Action.DELAY_AND_DROP_RESPONSE, 0.3, new Random(seed)));
            List<String> jobs = new ArrayList<>();
            for (int i = 1; i <= 10; i++) {
                String uid = "job-%06d".formatted(i);
                int node = i % 3;
                ObjectNode job = SimCluster.job(uid, 3);
                for (int attempts = 0;
                        attempts < 12 && cluster.submit(node, job).status() / 100 != 2;
                        attempts++) {
                    cluster.runSeconds(1);
                }
                jobs.add(uid);
                if (i % 3 == 0) {
                    cluster.cancelAsync(node, uid);
                }
                cluster.runSeconds(2);
            }
            failOver(cluster);
            cluster.runSeconds(10);
            cluster.network().removeRule(delayedWrites);
            cluster.runSeconds(60);
            for (String uid : jobs) {
                assertThat(cluster.stage(cluster.leader(), uid))
                        .as("seed %d, %s", seed, uid)
                        .isIn("done", "withdrawn");
            }
            assertNoViolations(cluster);
        }
    }

    /**
     * Guards the stored scale-out requests: machines that boot quickly get tasks only once their names are stored,
     * however late that is.
     */
    @Test
    void storesNewMachinesBeforeUseDespiteLateWritesAndFailover() {
        for (int seed = 1; seed <= 5; seed++) {
            SimCluster cluster = startCluster(seed);
            cluster.cloud().setBootMicros(SECOND);
            Random random = new Random(seed);
            Rule delayedWrites = cluster.network()
                    .addRule(FailureInjector.transactions("\"hire/", Action.DELAY_AND_DROP_RESPONSE, 0.6, random));
            cluster.submit(0, SimCluster.job("job-000001", 40));
            cluster.runUntilStarted(4, 12 * SECOND);
            Set<String> partitioned = new HashSet<>(machineNames(cluster).subList(0, 1));
            Rule partition = cluster.network().addRule(FailureInjector.machineTraffic(partitioned, Action.DROP));
            failOver(cluster);
            cluster.runSeconds(5 + random.nextInt(12));
            cluster.network().removeRule(partition);
            cluster.network().removeRule(delayedWrites);
            cluster.runSeconds(90);
            assertThat(cluster.stage(cluster.leader(), "job-000001"))
                    .as("seed %d", seed)
                    .isEqualTo("done");
            assertNoViolations(cluster);
        }
    }

    /**
     * Guards the lowest priority class, and the responses, when demand far exceeds capacity and all messages are slow.
     */
    @Test
    void completesAllJobsUnderOverloadAndHighLatency() {
        SimCluster cluster = startCluster(13);
        cluster.network().setLatencyFactor(60);
        String[] ranks = {"best_effort", "high", "normal", "production"};
        for (int i = 1; i <= 24; i++) {
            String uid = "job-%06d".formatted(i);
            ObjectNode job = SimCluster.job(uid, 12).put("rank", ranks[i % 4]);
            while (cluster.submit(i % 3, job).status() / 100 != 2) {
                cluster.runSeconds(1);
            }
            cluster.runSeconds(0.5);
        }
        cluster.runSeconds(180);
        for (int i = 1; i <= 24; i++) {
            assertThat(cluster.stage(i % 3, "job-%06d".formatted(i))).isEqualTo("done");
        }
        assertNoViolations(cluster);
    }

    /**
     * Guards the final responses: unusual requests about jobs in every state get the HTTP status of the protocol, and
     * change nothing.
     */
    @Test
    void answersUnusualRequestsWithoutSideEffects() {
        SimCluster cluster = startCluster(14);
        cluster.submit(0, SimCluster.job("job-000001", 2));
        cluster.submit(0, SimCluster.job("job-000002", 2));
        ObjectNode incomplete = SimCluster.job("job-000003", 2);
        incomplete.remove("reel");
        for (int node = 0; node < 3; node++) {
            assertThat(cluster.submit(node, SimCluster.job("job-000001", 2)).status())
                    .isEqualTo(200);
            assertThat(cluster.submit(node, incomplete).status()).isEqualTo(400);
            assertThat(cluster.submit(node, SimCluster.job("job-000004", 1).put("vcpus", 64.0))
                            .status())
                    .isEqualTo(422);
            assertThat(cluster.poll(node, "job-000003").status()).isEqualTo(404);
            assertThat(cluster.poll(node, "job-000004").status()).isEqualTo(404);
            assertThat(cluster.cancel(node, "job-000004").status()).isEqualTo(404);
        }
        cluster.cancel(2, "job-000002");
        cluster.runSeconds(30);
        for (int node = 0; node < 3; node++) {
            assertThat(cluster.cancel(node, "job-000001").json().path("stage").asText())
                    .isEqualTo("done");
            assertThat(cluster.submit(node, SimCluster.job("job-000001", 2))
                            .json()
                            .path("stage")
                            .asText())
                    .isEqualTo("done");
            assertThat(cluster.submit(node, SimCluster.job("job-000002", 2))
                            .json()
                            .path("stage")
                            .asText())
                    .isEqualTo("withdrawn");
            assertThat(cluster.poll(node, "job-000003").status()).isEqualTo(404);
        }
        assertNoViolations(cluster);
    }
}
