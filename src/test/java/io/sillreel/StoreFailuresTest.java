package io.sillreel;

import static io.sillreel.FailureScenario.begun;
import static io.sillreel.FailureScenario.everyNodeSays;
import static io.sillreel.FailureScenario.machines;
import static io.sillreel.FailureScenario.nothingBroken;
import static io.sillreel.FailureScenario.succeed;
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

/**
 * Reads and writes of the state service that are late, lost or reordered: what users were told and what workers ran.
 */
class StoreFailuresTest {
    private static final long SECOND = 1_000_000;

    /** Guards what is told against everything remembered: no node says something older, however soon it is asked. */
    @Test
    void whoAsksEverywhereWithinMillisecondsHearsNothingOlder() {
        SimCluster cluster = begun(4);
        Random random = new Random(4);
        for (int i = 1; i <= 40; i++) {
            String uid = "job-%06d".formatted(i);
            int node = random.nextInt(3);
            ObjectNode job = SimCluster.job(uid, 1 + i % 2);
            cluster.submit(node, job);
            lookClosely(cluster, uid, job);
            if (i % 4 == 0) {
                cluster.cancelAsync(random.nextInt(3), uid);
                lookClosely(cluster, uid, job);
            } else if (i % 4 == 1) {
                int starts = cluster.startCount();
                cluster.runUntil(() -> cluster.startCount() > starts);
                cluster.runSeconds(2.95);
                lookClosely(cluster, uid, job);
                cluster.cancelAsync(random.nextInt(3), uid);
                lookClosely(cluster, uid, job);
            }
        }
        cluster.runSeconds(60);
        nothingBroken(cluster);
    }

    private static void lookClosely(SimCluster cluster, String uid, ObjectNode job) {
        for (int look = 0; look < 12; look++) {
            for (int node = 0; node < cluster.nodes(); node++) {
                cluster.pollAsync(node, uid);
                if (look % 4 == 1) {
                    cluster.submitAsync(node, job);
                }
            }
            cluster.runSeconds(0.002 + 0.01 * (look % 3));
        }
    }

    /** Guards every answer that rests on a write whose own answer is lost, while other nodes read what it wrote. */
    @Test
    void whatIsWrittenThoughItsAnswerIsLostIsToldAlikeEverywhere() {
        for (String of : List.of("\"plan/", "\"withdraw/", "\"run/", "\"set\"")) {
            SimCluster cluster = begun(5);
            Rule lost = cluster.network()
                    .addRule(FailureInjector.transactions(of, Action.DROP_RESPONSE, 0.7, new Random(5)));
            for (int i = 1; i <= 8; i++) {
                String uid = "job-%06d".formatted(i);
                ObjectNode job = SimCluster.job(uid, 2);
                cluster.submitAsync(i % 3, job);
                lookClosely(cluster, uid, job);
                if (i % 2 == 0) {
                    cluster.cancelAsync(i % 3, uid);
                    lookClosely(cluster, uid, job);
                }
                cluster.runSeconds(2);
            }
            cluster.network().removeRule(lost);
            cluster.runSeconds(40);
            for (int i = 1; i <= 8; i += 2) {
                everyNodeSays(cluster, "job-%06d".formatted(i), "done");
            }
            nothingBroken(cluster);
        }
    }

    /** Guards polls against transactions that go unanswered while everything else is answered. */
    @Test
    void questionsAreAnsweredThoughTransactionsAreNot() {
        SimCluster cluster = begun(15);
        cluster.submit(0, SimCluster.job("job-000001", 2));
        cluster.runUntilStarted(2, 60 * SECOND);
        cluster.network()
                .addRule((from, to, request) -> request.route().equals("/txn") ? Action.DELAY_AND_DROP_RESPONSE : null);
        for (int i = 0; i < 12; i++) {
            assertThat(cluster.poll(i % 3, "job-000001").status()).isEqualTo(200);
            assertThat(cluster.poll(i % 3, "job-000009").status()).isEqualTo(404);
        }
        nothingBroken(cluster);
    }

    /** Guards the order of a controller's own writes: what got no answer is carried out after newer ones. */
    @Test
    void writesThatAreCarriedOutAfterNewerOnesUndoNothing() {
        for (int seed = 1; seed <= 4; seed++) {
            SimCluster cluster = begun(seed);
            Rule late = cluster.network()
                    .addRule(FailureInjector.transactions(
                            "\"set\"", Action.DELAY_AND_DROP_RESPONSE, 0.3, new Random(seed)));
            List<String> jobs = new ArrayList<>();
            for (int i = 1; i <= 10; i++) {
                String uid = "job-%06d".formatted(i);
                int node = i % 3;
                ObjectNode job = SimCluster.job(uid, 3);
                for (int tries = 0; tries < 12 && cluster.submit(node, job).status() / 100 != 2; tries++) {
                    cluster.runSeconds(1);
                }
                jobs.add(uid);
                if (i % 3 == 0) {
                    cluster.cancelAsync(node, uid);
                }
                cluster.runSeconds(2);
            }
            succeed(cluster);
            cluster.runSeconds(10);
            cluster.network().removeRule(late);
            cluster.runSeconds(60);
            for (String uid : jobs) {
                assertThat(cluster.stage(cluster.leader(), uid))
                        .as("seed %d, %s", seed, uid)
                        .isIn("done", "withdrawn");
            }
            nothingBroken(cluster);
        }
    }

    /**
     * Guards the stored rentals: machines that are up at once get work only once their names are stored, however late
     * that is.
     */
    @Test
    void newMachinesAreStoredBeforeTheyWorkThoughWritesLagAndTheLeaderEnds() {
        for (int seed = 1; seed <= 5; seed++) {
            SimCluster cluster = begun(seed);
            cluster.cloud().setBootMicros(SECOND);
            Random random = new Random(seed);
            Rule late = cluster.network()
                    .addRule(FailureInjector.transactions("\"hire/", Action.DELAY_AND_DROP_RESPONSE, 0.6, random));
            cluster.submit(0, SimCluster.job("job-000001", 40));
            cluster.runUntilStarted(4, 12 * SECOND);
            Set<String> cut = new HashSet<>(machines(cluster).subList(0, 1));
            Rule away = cluster.network().addRule(FailureInjector.machineTraffic(cut, Action.DROP));
            succeed(cluster);
            cluster.runSeconds(5 + random.nextInt(12));
            cluster.network().removeRule(away);
            cluster.network().removeRule(late);
            cluster.runSeconds(90);
            assertThat(cluster.stage(cluster.leader(), "job-000001"))
                    .as("seed %d", seed)
                    .isEqualTo("done");
            nothingBroken(cluster);
        }
    }

    /**
     * Guards the lowest rank, and the answers, when there is far more work than room and every message takes its time.
     */
    @Test
    void moreWorkThanRoomOverSlowLinksIsAllServed() {
        SimCluster cluster = begun(13);
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
        nothingBroken(cluster);
    }

    /**
     * Guards the final answers: odd requests about jobs in every state get the status of the protocol, and change
     * nothing.
     */
    @Test
    void oddRequestsGetTheirStatusesAndChangeNothing() {
        SimCluster cluster = begun(14);
        cluster.submit(0, SimCluster.job("job-000001", 2));
        cluster.submit(0, SimCluster.job("job-000002", 2));
        ObjectNode lacking = SimCluster.job("job-000003", 2);
        lacking.remove("reel");
        for (int node = 0; node < 3; node++) {
            assertThat(cluster.submit(node, SimCluster.job("job-000001", 2)).status())
                    .isEqualTo(200);
            assertThat(cluster.submit(node, lacking).status()).isEqualTo(400);
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
        nothingBroken(cluster);
    }
}
