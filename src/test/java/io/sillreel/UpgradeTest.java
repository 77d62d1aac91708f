package io.sillreel;

import static io.sillreel.sim.SimJobs.uid;
import static io.sillreel.sim.UpgradeSteps.LEADER_EXPIRY_SECONDS;
import static io.sillreel.sim.UpgradeSteps.NODES;
import static io.sillreel.sim.UpgradeSteps.assertAllJobsFinish;
import static io.sillreel.sim.UpgradeSteps.assertStageOnAllNodes;
import static io.sillreel.sim.UpgradeSteps.failOverTo;
import static io.sillreel.sim.UpgradeSteps.leadWithMixedVersions;
import static io.sillreel.sim.UpgradeSteps.otherVersion;
import static io.sillreel.sim.UpgradeSteps.startPreviousVersion;
import static io.sillreel.sim.UpgradeSteps.submitAsync;
import static io.sillreel.sim.UpgradeSteps.upgradeAll;
import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sillreel.http.HttpRequest;
import io.sillreel.http.HttpResponse;
import io.sillreel.sim.FailureInjector;
import io.sillreel.sim.SimCluster;
import io.sillreel.sim.SimCluster.Version;
import io.sillreel.sim.SimNetwork.Action;
import io.sillreel.sim.SimNetwork.Rule;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Controllers of the current and of the previous version ({@code PreviousVersion}) together, as leaders and as
 * followers, each on the data of the other. The simulated cluster checks the invariants throughout.
 */
class UpgradeTest {
    private static final long SECOND = 1_000_000;

    @ParameterizedTest
    @EnumSource
    void completesAllJobsWithMixedVersions(Version leading) {
        SimCluster cluster = startPreviousVersion(51);
        int leader = leadWithMixedVersions(cluster, leading);
        int follower = (leader + 1) % NODES;
        for (int number = 1; number <= 9; number++) {
            assertThat(cluster.submit(number % NODES, SimCluster.job(uid(number), 4))
                            .status())
                    .isEqualTo(201);
            cluster.runSeconds(0.5);
        }
        assertThat(cluster.cancel(follower, uid(8)).isOk()).isTrue();
        assertThat(cluster.cancel(leader, uid(9)).isOk()).isTrue();
        assertAllJobsFinish(cluster, 9, List.of(uid(8), uid(9)));
        assertThat(cluster.leader()).isEqualTo(leader);
    }

    @Test
    void survivesTenFailoversBetweenVersionsInTwoMinutes() {
        SimCluster cluster = startPreviousVersion(52);
        leadWithMixedVersions(cluster, Version.PREVIOUS);
        cluster.restart((cluster.leader() + 1) % NODES, Version.PREVIOUS);
        Random random = new Random(52);
        List<String> cancelled = new ArrayList<>();
        int jobs = 0;
        for (int change = 0; change < 10; change++) {
            failOverTo(cluster, change % 2 == 0 ? Version.CURRENT : Version.PREVIOUS);
            for (int each = 0; each < 4; each++) {
                submitAsync(cluster, ++jobs, 1 + random.nextInt(6));
                cluster.runSeconds(random.nextDouble() * 3);
                if (random.nextInt(4) == 0) {
                    cancelled.add(uid(jobs));
                    cluster.cancelAsync(random.nextInt(NODES), uid(jobs));
                }
                cluster.pollAsync(random.nextInt(NODES), uid(1 + random.nextInt(jobs)));
            }
        }
        assertAllJobsFinish(cluster, jobs, cancelled);
    }

    /** The delays range from the start of the process to well after the end of the election. */
    @ParameterizedTest
    @ValueSource(doubles = {0.01, 0.05, 0.3, 1, 2, 3, 3.5, 4, 5, 7})
    void survivesRollbackOfControllerDuringElection(double seconds) {
        SimCluster cluster = startPreviousVersion(53);
        for (int number = 1; number <= 6; number++) {
            submitAsync(cluster, number, 5);
        }
        cluster.runUntilStarted(4, 6 * SECOND);
        int leader = cluster.leader();
        cluster.kill(leader);
        int upgraded = (leader + 1) % NODES;
        cluster.restart(upgraded, Version.CURRENT);
        cluster.runSeconds(seconds);
        cluster.restart(upgraded, Version.PREVIOUS);
        cluster.runSeconds(1);
        cluster.restart(leader, Version.CURRENT);
        cluster.runSeconds(20);
        upgradeAll(cluster);
        assertAllJobsFinish(cluster, 6, List.of());
    }

    /** Guards the stored state against writes and heartbeats that were delayed until their sender was gone. */
    @Test
    void ignoresLateMessagesOfPreviousVersionAfterUpgrade() {
        SimCluster cluster = startPreviousVersion(54);
        for (int number = 1; number <= 8; number++) {
            submitAsync(cluster, number, 4);
        }
        cluster.runUntilStarted(6, 4 * SECOND);
        Rule held = cluster.network()
                .addRule((from, to, request) -> from.startsWith("10.0.0.")
                                && (request.route().equals("/txn")
                                                && bodyText(request).contains("\"set\"")
                                        || request.route().equals("/peer/beats"))
                        ? Action.HOLD
                        : null);
        cluster.runSeconds(3);
        for (int node = 0; node < NODES; node++) {
            cluster.kill(node);
        }
        cluster.network().removeRule(held);
        cluster.runSeconds(1);
        for (int node = 0; node < NODES; node++) {
            cluster.restart(node, Version.CURRENT);
        }
        cluster.runUntil(() -> cluster.leader() >= 0);
        cluster.runSeconds(12);
        String cancelled = uid(8);
        cluster.cancel(0, cancelled);
        cluster.network().releaseHeld();
        assertAllJobsFinish(cluster, 8, List.of(cancelled));
    }

    /** A write without a response may have been applied or not; the next leader has to read the state service. */
    @ParameterizedTest
    @EnumSource
    void otherVersionResolvesWritesWithLostResponsesAfterFailover(Version leading) {
        SimCluster cluster = startPreviousVersion(55);
        int leader = leadWithMixedVersions(cluster, leading);
        for (int number = 1; number <= 6; number++) {
            submitAsync(cluster, number, 4);
        }
        cluster.runUntilStarted(5, 3 * SECOND);
        Random random = new Random(55);
        Rule lostResponses =
                cluster.network().addRule(FailureInjector.transactions("\"set\"", Action.DROP_RESPONSE, 0.7, random));
        cluster.runSeconds(4);
        submitAsync(cluster, 7, 2);
        cluster.cancelAsync((leader + 1) % NODES, uid(6));
        cluster.runSeconds(0.2);
        cluster.kill(leader);
        cluster.runSeconds(LEADER_EXPIRY_SECONDS);
        cluster.network().removeRule(lostResponses);
        cluster.runUntil(() -> cluster.leader() >= 0 && cluster.version(cluster.leader()) == otherVersion(leading));
        cluster.restart(leader, Version.CURRENT);
        assertAllJobsFinish(cluster, 7, List.of(uid(6)));
    }

    /**
     * The state service rejects the leader, and then all controllers, while one version leads and the other one
     * confirms cancellations.
     */
    @ParameterizedTest
    @EnumSource
    void endsTasksInTimeWhenOtherVersionCancels(Version leading) {
        SimCluster cluster = startPreviousVersion(56);
        int leader = leadWithMixedVersions(cluster, leading);
        int follower = (leader + 1) % NODES;
        for (int number = 1; number <= 3; number++) {
            submitAsync(cluster, number, 3);
        }
        cluster.runUntilStarted(9, 200 * SECOND);
        assertThat(cluster.cancel(follower, uid(1)).json().path("stage").asText())
                .isEqualTo("withdrawn");
        assertStageOnAllNodes(cluster, uid(1), "withdrawn");
        cluster.runSeconds(3);
        Rule rejection = cluster.network().addRule(FailureInjector.rejectedByStateService(leader));
        cluster.runSeconds(1);
        assertThat(cluster.cancel(follower, uid(2)).json().path("stage").asText())
                .isEqualTo("withdrawn");
        cluster.store().setOutage(true);
        cluster.runSeconds(35);
        cluster.store().setOutage(false);
        cluster.network().removeRule(rejection);
        upgradeAll(cluster);
        cluster.cloud().machines().values().forEach(machine -> machine.setRunMicros(3 * SECOND));
        cluster.runSeconds(200);
        assertStageOnAllNodes(cluster, uid(2), "withdrawn");
        assertAllJobsFinish(cluster, 3, List.of(uid(1), uid(2)));
    }

    /**
     * The leader reaches only its workers while another controller confirms the cancellation, and then the state
     * service fails for all. No controller can notify the leader, so it has to stop answering heartbeats in time.
     */
    @ParameterizedTest
    @EnumSource
    void endsTasksInTimeWhenIsolatedLeaderMissesCancellation(Version leading) {
        SimCluster cluster = startPreviousVersion(62);
        int leader = leadWithMixedVersions(cluster, leading);
        int follower = (leader + 1) % NODES;
        submitAsync(cluster, 1, 4);
        cluster.runUntilStarted(4, 200 * SECOND);
        Rule isolation = cluster.network().addRule(FailureInjector.isolated(leader));
        cluster.runSeconds(1);
        assertThat(cluster.cancel(follower, uid(1)).json().path("stage").asText())
                .isEqualTo("withdrawn");
        cluster.store().setOutage(true);
        cluster.runSeconds(60);
        assertThat(cluster.violations()).isEmpty();
        cluster.store().setOutage(false);
        cluster.network().removeRule(isolation);
        assertAllJobsFinish(cluster, 1, List.of(uid(1)));
    }

    /** The write of the completion is in flight while another controller confirms the cancellation. */
    @ParameterizedTest
    @EnumSource
    void cancellationBeforeCompletionWriteHoldsForBothVersions(Version leading) {
        SimCluster cluster = startPreviousVersion(63);
        int follower = (leadWithMixedVersions(cluster, leading) + 1) % NODES;
        for (int round = 1; round <= 4; round++) {
            boolean[] held = {false};
            Rule holdCompletion = cluster.network().addRule((from, to, request) -> {
                boolean isCompletionWrite =
                        request.route().equals("/txn") && bodyText(request).contains("\"stage\":\"done\"");
                held[0] |= isCompletionWrite;
                return isCompletionWrite ? Action.HOLD : null;
            });
            submitAsync(cluster, round, 1);
            cluster.runUntil(() -> held[0]);
            HttpResponse response = cluster.cancel(follower, uid(round));
            assertThat(response.json().path("stage").asText()).isEqualTo("withdrawn");
            cluster.network().removeRule(holdCompletion);
            cluster.network().releaseHeld();
            cluster.runSeconds(3);
            assertStageOnAllNodes(cluster, uid(round), "withdrawn");
            // Completion and cancellation exclude each other in the stored state, not only in how readers merge it.
            assertThat(cluster.store().value("run/" + uid(round)).path("stage").asText())
                    .isNotEqualTo("done");
        }
        assertThat(cluster.violations()).isEmpty();
    }

    private static String bodyText(HttpRequest request) {
        return new String(request.body(), StandardCharsets.UTF_8);
    }

    /** The announced limits may take effect while the last controllers of the previous version are still running. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 3})
    void losesNothingWhenLimitsDropDuringUpgrade(int upgradedBefore) {
        SimCluster cluster = startPreviousVersion(57 + upgradedBefore);
        int jobs = 0;
        for (int node = 0; node < NODES; node++) {
            if (node == upgradedBefore) {
                cluster.store().setLimits(6, 2 * 1024, 30);
            }
            for (int each = 0; each < 5; each++) {
                submitAsync(cluster, ++jobs, 4);
                cluster.runSeconds(0.3);
            }
            cluster.restart(node, Version.CURRENT);
            cluster.runSeconds(3);
        }
        cluster.store().setLimits(6, 2 * 1024, 30);
        cluster.runSeconds(40);
        assertAllJobsFinish(cluster, jobs, List.of());
    }

    /** A job spec with long names that earlier versions accepted stays acceptable under the new limits. */
    @Test
    void acceptsLargeJobSpecBeforeAndAfterLimitsDrop() {
        SimCluster cluster = startPreviousVersion(64);
        leadWithMixedVersions(cluster, Version.PREVIOUS);
        for (int node = 0; node < NODES; node++) {
            assertThat(cluster.submit(node, jobWithLongNames(uid(1 + node))).status())
                    .isEqualTo(201);
        }
        assertThat(cluster.store().keysWithPrefix("plan-overflow/")).isEmpty();
        upgradeAll(cluster);
        cluster.store().setLimits(6, 2 * 1024, 30);
        for (int node = 0; node < NODES; node++) {
            assertThat(cluster.submit(node, jobWithLongNames(uid(11 + node))).status())
                    .isEqualTo(201);
            assertThat(cluster.submit(node, jobWithLongNames(uid(11 + node))).status())
                    .isEqualTo(200);
        }
        assertThat(cluster.store().keysWithPrefix("plan-overflow/")).isNotEmpty();
        cluster.kill(cluster.leader());
        cluster.runSeconds(10);
        upgradeAll(cluster);
        assertAllJobsFinish(cluster, 13, List.of());
    }

    private static ObjectNode jobWithLongNames(String uid) {
        ObjectNode job = SimCluster.job(uid, 2);
        ArrayNode builds = job.putArray("builds").add("c4");
        for (int number = 0; number < 100; number++) {
            builds.add("a-machine-type-with-a-long-name-that-is-not-there-yet-%03d".formatted(number));
        }
        return job;
    }

    @Test
    void acceptsDependenciesOnJobsOfPreviousVersionAfterUpgrade() {
        SimCluster cluster = startPreviousVersion(61);
        int done = 1;
        int running = 2;
        int cancelled = 3;
        cluster.submit(0, SimCluster.job(uid(done), 2));
        cluster.runUntilStarted(2, SECOND);
        cluster.runUntil(() -> cluster.stage(1, uid(done)).equals("done"));
        cluster.submit(1, SimCluster.job(uid(running), 2));
        cluster.submit(2, SimCluster.job(uid(cancelled), 2));
        cluster.runUntilStarted(5, 30 * SECOND);
        cluster.cancel(1, uid(cancelled));
        upgradeAll(cluster);
        for (int node = 0; node < NODES; node++) {
            int number = 10 + 10 * node;
            ObjectNode withoutDependencies = SimCluster.job(uid(number), 1).putNull("awaits");
            assertThat(cluster.submit(node, withoutDependencies).status()).isEqualTo(201);
            assertThat(cluster.submit(node, SimCluster.job(uid(number + 1), 1, uid(done)))
                            .status())
                    .isEqualTo(201);
            assertThat(cluster.submit(node, SimCluster.job(uid(number + 2), 1, uid(running), uid(done)))
                            .status())
                    .isEqualTo(201);
            HttpResponse dependsOnCancelled =
                    cluster.submit(node, SimCluster.job(uid(number + 3), 1, uid(running), uid(cancelled)));
            assertThat(dependsOnCancelled.status()).isEqualTo(201);
            assertThat(dependsOnCancelled.json().path("stage").asText()).isEqualTo("withdrawn");
            assertThat(cluster.submit(node, SimCluster.job(uid(number + 4), 1, uid(99)))
                            .status())
                    .isEqualTo(422);
            ObjectNode malformed = SimCluster.job(uid(number + 5), 1).put("awaits", uid(done));
            assertThat(cluster.submit(node, malformed).status()).isEqualTo(400);
            // A job that the previous version accepted is not changed by a resubmission with other dependencies.
            assertThat(cluster.submit(node, SimCluster.job(uid(done), 2, uid(99)))
                            .json()
                            .path("stage")
                            .asText())
                    .isEqualTo("done");
        }
        cluster.runSeconds(60);
        for (int number = 10; number <= 30; number += 10) {
            assertStageOnAllNodes(cluster, uid(number), "done");
            assertStageOnAllNodes(cluster, uid(number + 1), "done");
            assertStageOnAllNodes(cluster, uid(number + 2), "done");
            assertStageOnAllNodes(cluster, uid(number + 3), "withdrawn");
        }
        assertThat(cluster.violations()).isEmpty();
    }
}
