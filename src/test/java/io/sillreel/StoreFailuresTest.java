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
import io.sillreel.sim.SimNetwork.Fate;
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
        SimCluster world = begun(4);
        Random random = new Random(4);
        for (int i = 1; i <= 40; i++) {
            String uid = "job-%06d".formatted(i);
            int node = random.nextInt(3);
            ObjectNode job = SimCluster.job(uid, 1 + i % 2);
            world.submit(node, job);
            lookClosely(world, uid, job);
            if (i % 4 == 0) {
                world.cancelMeanwhile(random.nextInt(3), uid);
                lookClosely(world, uid, job);
            } else if (i % 4 == 1) {
                int starts = world.starts();
                world.until(() -> world.starts() > starts);
                world.seconds(2.95);
                lookClosely(world, uid, job);
                world.cancelMeanwhile(random.nextInt(3), uid);
                lookClosely(world, uid, job);
            }
        }
        world.seconds(60);
        nothingBroken(world);
    }

    private static void lookClosely(SimCluster world, String uid, ObjectNode job) {
        for (int look = 0; look < 12; look++) {
            for (int node = 0; node < world.nodes(); node++) {
                world.pollMeanwhile(node, uid);
                if (look % 4 == 1) {
                    world.submitMeanwhile(node, job);
                }
            }
            world.seconds(0.002 + 0.01 * (look % 3));
        }
    }

    /** Guards every answer that rests on a write whose own answer is lost, while other nodes read what it wrote. */
    @Test
    void whatIsWrittenThoughItsAnswerIsLostIsToldAlikeEverywhere() {
        for (String of : List.of("\"plan/", "\"withdraw/", "\"run/", "\"set\"")) {
            SimCluster world = begun(5);
            Rule lost = world.network().add(FailureInjector.writes(of, Fate.LOSE_ANSWER, 0.7, new Random(5)));
            for (int i = 1; i <= 8; i++) {
                String uid = "job-%06d".formatted(i);
                ObjectNode job = SimCluster.job(uid, 2);
                world.submitMeanwhile(i % 3, job);
                lookClosely(world, uid, job);
                if (i % 2 == 0) {
                    world.cancelMeanwhile(i % 3, uid);
                    lookClosely(world, uid, job);
                }
                world.seconds(2);
            }
            world.network().remove(lost);
            world.seconds(40);
            for (int i = 1; i <= 8; i += 2) {
                everyNodeSays(world, "job-%06d".formatted(i), "done");
            }
            nothingBroken(world);
        }
    }

    /** Guards polls against transactions that go unanswered while everything else is answered. */
    @Test
    void questionsAreAnsweredThoughTransactionsAreNot() {
        SimCluster world = begun(15);
        world.submit(0, SimCluster.job("job-000001", 2));
        world.untilStarted(2, 60 * SECOND);
        world.network().add((from, to, request) -> request.route().equals("/txn") ? Fate.LATE : null);
        for (int i = 0; i < 12; i++) {
            assertThat(world.poll(i % 3, "job-000001").status()).isEqualTo(200);
            assertThat(world.poll(i % 3, "job-000009").status()).isEqualTo(404);
        }
        nothingBroken(world);
    }

    /** Guards the order of a controller's own writes: what got no answer is carried out after newer ones. */
    @Test
    void writesThatAreCarriedOutAfterNewerOnesUndoNothing() {
        for (int seed = 1; seed <= 4; seed++) {
            SimCluster world = begun(seed);
            Rule late = world.network().add(FailureInjector.writes("\"set\"", Fate.LATE, 0.3, new Random(seed)));
            List<String> jobs = new ArrayList<>();
            for (int i = 1; i <= 10; i++) {
                String uid = "job-%06d".formatted(i);
                int node = i % 3;
                ObjectNode job = SimCluster.job(uid, 3);
                for (int tries = 0; tries < 12 && world.submit(node, job).status() / 100 != 2; tries++) {
                    world.seconds(1);
                }
                jobs.add(uid);
                if (i % 3 == 0) {
                    world.cancelMeanwhile(node, uid);
                }
                world.seconds(2);
            }
            succeed(world);
            world.seconds(10);
            world.network().remove(late);
            world.seconds(60);
            for (String uid : jobs) {
                assertThat(world.stage(world.leader(), uid))
                        .as("seed %d, %s", seed, uid)
                        .isIn("done", "withdrawn");
            }
            nothingBroken(world);
        }
    }

    /**
     * Guards the stored rentals: machines that are up at once get work only once their names are stored, however late
     * that is.
     */
    @Test
    void newMachinesAreStoredBeforeTheyWorkThoughWritesLagAndTheLeaderEnds() {
        for (int seed = 1; seed <= 5; seed++) {
            SimCluster world = begun(seed);
            world.cloud().bootMicros(SECOND);
            Random random = new Random(seed);
            Rule late = world.network().add(FailureInjector.writes("\"hire/", Fate.LATE, 0.6, random));
            world.submit(0, SimCluster.job("job-000001", 40));
            world.untilStarted(4, 12 * SECOND);
            Set<String> cut = new HashSet<>(machines(world).subList(0, 1));
            Rule away = world.network().add(FailureInjector.away(cut, Fate.LOSE));
            succeed(world);
            world.seconds(5 + random.nextInt(12));
            world.network().remove(away);
            world.network().remove(late);
            world.seconds(90);
            assertThat(world.stage(world.leader(), "job-000001"))
                    .as("seed %d", seed)
                    .isEqualTo("done");
            nothingBroken(world);
        }
    }

    /**
     * Guards the lowest rank, and the answers, when there is far more work than room and every message takes its time.
     */
    @Test
    void moreWorkThanRoomOverSlowLinksIsAllServed() {
        SimCluster world = begun(13);
        world.network().slowness(60);
        String[] ranks = {"best_effort", "high", "normal", "production"};
        for (int i = 1; i <= 24; i++) {
            String uid = "job-%06d".formatted(i);
            ObjectNode job = SimCluster.job(uid, 12).put("rank", ranks[i % 4]);
            while (world.submit(i % 3, job).status() / 100 != 2) {
                world.seconds(1);
            }
            world.seconds(0.5);
        }
        world.seconds(180);
        for (int i = 1; i <= 24; i++) {
            assertThat(world.stage(i % 3, "job-%06d".formatted(i))).isEqualTo("done");
        }
        nothingBroken(world);
    }

    /**
     * Guards the final answers: odd requests about jobs in every state get the status of the protocol, and change
     * nothing.
     */
    @Test
    void oddRequestsGetTheirStatusesAndChangeNothing() {
        SimCluster world = begun(14);
        world.submit(0, SimCluster.job("job-000001", 2));
        world.submit(0, SimCluster.job("job-000002", 2));
        ObjectNode lacking = SimCluster.job("job-000003", 2);
        lacking.remove("reel");
        for (int node = 0; node < 3; node++) {
            assertThat(world.submit(node, SimCluster.job("job-000001", 2)).status())
                    .isEqualTo(200);
            assertThat(world.submit(node, lacking).status()).isEqualTo(400);
            assertThat(world.submit(node, SimCluster.job("job-000004", 1).put("vcpus", 64.0))
                            .status())
                    .isEqualTo(422);
            assertThat(world.poll(node, "job-000003").status()).isEqualTo(404);
            assertThat(world.poll(node, "job-000004").status()).isEqualTo(404);
            assertThat(world.cancel(node, "job-000004").status()).isEqualTo(404);
        }
        world.cancel(2, "job-000002");
        world.seconds(30);
        for (int node = 0; node < 3; node++) {
            assertThat(world.cancel(node, "job-000001").json().path("stage").asText())
                    .isEqualTo("done");
            assertThat(world.submit(node, SimCluster.job("job-000001", 2))
                            .json()
                            .path("stage")
                            .asText())
                    .isEqualTo("done");
            assertThat(world.submit(node, SimCluster.job("job-000002", 2))
                            .json()
                            .path("stage")
                            .asText())
                    .isEqualTo("withdrawn");
            assertThat(world.poll(node, "job-000003").status()).isEqualTo(404);
        }
        nothingBroken(world);
    }
}
