package io.sillreel.pipeline;

import static io.sillreel.sim.SimJobs.uid;
import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sillreel.http.HttpResponse;
import io.sillreel.sim.FailureInjector;
import io.sillreel.sim.SimCluster;
import io.sillreel.sim.SimNetwork.Action;
import io.sillreel.sim.SimNetwork.Rule;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Jobs with dependencies, through the public API; {@link SimCluster} detects early starts and orphaned jobs. */
class JobDependencyTest {
    private static final long SECOND = 1_000_000;
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

    private int anyRunningNode() {
        return cluster.isUp(0) ? 0 : 1;
    }

    /** A diamond of four jobs, the last of which also depends directly on the first. */
    @Test
    void startsJobOnlyAfterAllDependenciesAreDone() {
        cluster.submit(0, SimCluster.job(uid(1), 3));
        cluster.submit(1, SimCluster.job(uid(2), 4, uid(1)));
        cluster.submit(2, SimCluster.job(uid(3), 2, uid(1)));
        assertThat(cluster.submit(0, SimCluster.job(uid(4), 2, uid(2), uid(3), uid(1)))
                        .status())
                .isEqualTo(201);
        assertStageOnRunningNodes(uid(4), "queued");
        cluster.runUntilStarted(3, 3 * SECOND);
        assertThat(cluster.store().value("run/" + uid(2))).isNull();
        cluster.runSeconds(60);
        for (int job = 1; job <= 4; job++) {
            assertStageOnRunningNodes(uid(job), "done");
        }
        assertThat(cluster.startCount()).isEqualTo(11);
        assertThat(cluster.violations()).isEmpty();
    }

    /** Guards against validating dependencies by a controller's cached state instead of the state service. */
    @Test
    void validatesDependenciesOfSubmission() {
        cluster.submit(0, SimCluster.job(uid(1), 1));
        assertThat(cluster.submit(1, SimCluster.job(uid(2), 1).putNull("awaits"))
                        .status())
                .isEqualTo(201);
        assertThat(cluster.submit(1, SimCluster.job(uid(3), 1, new String[0])).status())
                .isEqualTo(201);
        List<Consumer<ObjectNode>> invalidEdits = List.of(
                job -> job.put("awaits", uid(1)),
                job -> job.put("awaits", 3),
                job -> job.putObject("awaits"),
                job -> job.putArray("awaits").add(7),
                job -> job.putArray("awaits").add("nonsense"),
                job -> job.putArray("awaits").addNull(),
                job -> job.putArray("awaits").add(uid(1)).add("job-"));
        for (Consumer<ObjectNode> invalidEdit : invalidEdits) {
            ObjectNode job = SimCluster.job(uid(4), 1);
            invalidEdit.accept(job);
            assertThat(cluster.submit(2, job).status()).as(job.toString()).isEqualTo(400);
        }
        assertThat(cluster.submit(2, SimCluster.job(uid(4), 1, uid(1), uid(99))).status())
                .isEqualTo(422);
        assertThat(cluster.submit(2, SimCluster.job(uid(4), 1, uid(4))).status())
                .isEqualTo(422);
        assertThat(cluster.submit(2, SimCluster.job(uid(4), 1, uid(1)).put("vcpus", 64.0))
                        .status())
                .isEqualTo(422);
        assertThat(cluster.poll(0, uid(4)).status()).isEqualTo(404);
        assertThat(cluster.submit(2, SimCluster.job(uid(4), 1, uid(1), uid(1))).status())
                .isEqualTo(201);
        assertThat(cluster.store().value("plan/" + uid(4)).path("job").path("awaits"))
                .hasSize(1);
        cluster.store().setOutage(true);
        assertThat(cluster.submit(2, SimCluster.job(uid(5), 1, uid(99))).status())
                .isEqualTo(503);
        cluster.store().setOutage(false);
        cluster.runSeconds(30);
        // A repeated submission is answered with the job's status, whatever its dependencies are.
        assertThat(cluster.submit(0, SimCluster.job(uid(4), 1, uid(1)))
                        .json()
                        .path("stage")
                        .asText())
                .isEqualTo("done");
        assertThat(cluster.submit(0, SimCluster.job(uid(4), 1, uid(98))).status())
                .isEqualTo(200);
        assertThat(cluster.violations()).isEmpty();
    }

    /** Guards against rejecting a dependency just admitted by another controller whose response was lost. */
    @Test
    void acceptsDependencyJustAdmittedByAnotherController() {
        for (int i = 1; i <= 20; i++) {
            String dependency = uid(2 * i);
            cluster.submitAsync(i % 3, SimCluster.job(dependency, 1));
            cluster.runUntil(() -> cluster.store().value("plan/" + dependency) != null);
            assertThat(cluster.submit((i + 1) % 3, SimCluster.job(uid(2 * i + 1), 1, dependency))
                            .status())
                    .isEqualTo(201);
        }
        cluster.runSeconds(60);
        assertStageOnRunningNodes(uid(41), "done");
        assertThat(cluster.violations()).isEmpty();
    }

    /** Guards status reads: dependents of a cancelled job are cancelled even before their cancellation is stored. */
    @Test
    void reportsTransitiveDependentsAsCancelledOnEveryController() {
        cluster.submit(0, SimCluster.job(uid(1), 4).put("guess_s", 60.0));
        cluster.submit(1, SimCluster.job(uid(2), 2, uid(1)));
        cluster.submit(2, SimCluster.job(uid(3), 2, uid(2)));
        cluster.submit(0, SimCluster.job(uid(4), 2, uid(3)));
        cluster.submit(0, SimCluster.job(uid(5), 2).put("guess_s", 60.0));
        cluster.runUntilStarted(6, 600 * SECOND);
        int leader = cluster.leader();
        // Without a leader for the next seconds, no cascading cancellations are stored.
        cluster.kill(leader);
        int follower = (leader + 1) % 3;
        assertThat(cluster.cancel(follower, uid(1)).json().path("stage").asText())
                .isEqualTo("withdrawn");
        for (int job = 2; job <= 4; job++) {
            assertThat(cluster.store().value("withdraw/" + uid(job))).isNull();
            assertStageOnRunningNodes(uid(job), "withdrawn");
            assertThat(cluster.cancel(follower, uid(job)).json().path("stage").asText())
                    .isEqualTo("withdrawn");
        }
        // A new job that depends on one of them is admitted and cancelled along with them.
        HttpResponse lateSubmission = cluster.submit(follower, SimCluster.job(uid(6), 1, uid(4)));
        assertThat(lateSubmission.status()).isEqualTo(201);
        assertThat(lateSubmission.json().path("stage").asText()).isEqualTo("withdrawn");
        assertStageOnRunningNodes(uid(6), "withdrawn");
        cluster.runSeconds(15);
        for (int job = 1; job <= 4; job++) {
            assertThat(cluster.store().value("withdraw/" + uid(job)))
                    .as(uid(job))
                    .isNotNull();
        }
        assertThat(cluster.stage(follower, uid(5))).isIn("queued", "running");
        assertThat(cluster.violations()).isEmpty();
    }

    /** Guards reported stages when the first, middle or last job of a chain is cancelled at any time. */
    @Test
    void cancelsOnlyTransitiveDependentsAtAnyPointOfChain() {
        for (int interval = 0; interval < 24; interval++) {
            SimCluster sim = new SimCluster(200 + interval);
            sim.runSeconds(2);
            sim.submit(0, SimCluster.job(uid(1), 2));
            sim.submit(1, SimCluster.job(uid(2), 2, uid(1)));
            sim.submit(2, SimCluster.job(uid(3), 2, uid(2)));
            sim.runSeconds(interval * 0.9);
            int cancelledJob = 1 + interval % 3;
            String reported = sim.cancel(interval % 3, uid(cancelledJob))
                    .json()
                    .path("stage")
                    .asText();
            sim.runSeconds(3);
            if (reported.equals("withdrawn")) {
                // The leader has stored the cascading cancellations.
                for (int job = cancelledJob; job <= 3; job++) {
                    assertThat(sim.store().value("withdraw/" + uid(job)))
                            .as("after %d", interval)
                            .isNotNull();
                }
            }
            sim.runSeconds(47);
            for (int job = 1; job <= 3; job++) {
                String expected = reported.equals("withdrawn") && job >= cancelledJob ? "withdrawn" : "done";
                for (int node = 0; node < 3; node++) {
                    assertThat(sim.stage(node, uid(job)))
                            .as("after %d times 0.9 s, %s", interval, uid(job))
                            .isEqualTo(expected);
                }
            }
            assertThat(sim.violations()).isEmpty();
        }
    }

    /** Guards the order of writes: the release of a job is never stored before the completion of its dependencies. */
    @Test
    void completesChainDespiteFailoversDuplicateHeartbeatsAndLostResponses() {
        for (int seed = 1; seed <= 5; seed++) {
            SimCluster sim = new SimCluster(300 + seed);
            sim.runSeconds(2);
            for (int job = 1; job <= 8; job++) {
                sim.submit(job % 3, job == 1 ? SimCluster.job(uid(1), 3) : SimCluster.job(uid(job), 3, uid(job - 1)));
            }
            int lossOffset = seed;
            Rule rule = sim.network()
                    .addRule((from, to, request) -> request.route().equals("/txn")
                                    && new String(request.body(), java.nio.charset.StandardCharsets.UTF_8)
                                            .contains("\"run/")
                                    && (from.hashCode() + request.body().length + lossOffset) % 3 == 0
                            ? Action.DROP_RESPONSE
                            : null);
            sim.network()
                    .addRule((from, to, request) -> request.route().equals("/agent/beat") ? Action.DUPLICATE : null);
            for (int failover = 0; failover < 4; failover++) {
                sim.runSeconds(7 + seed);
                int leader = sim.leader();
                if (leader >= 0) {
                    sim.kill(leader);
                    sim.runSeconds(4);
                    sim.restart(leader);
                }
            }
            sim.network().removeRule(rule);
            sim.runSeconds(150);
            for (int job = 1; job <= 8; job++) {
                assertThat(sim.stage(0, uid(job)))
                        .as("seed %d, %s", seed, uid(job))
                        .isEqualTo("done");
            }
            assertThat(sim.violations()).isEmpty();
        }
    }

    /** Guards dependencies that were done before the current term and before the controllers started. */
    @Test
    void releasesJobWhoseDependenciesWereDoneInEarlierTerm() {
        cluster.submit(0, SimCluster.job(uid(1), 1));
        cluster.submit(0, SimCluster.job(uid(2), 1));
        cluster.runSeconds(25);
        assertStageOnRunningNodes(uid(1), "done");
        cluster.submit(1, SimCluster.job(uid(3), 1, uid(1), uid(2)));
        for (int node = 0; node < 3; node++) {
            cluster.restart(node);
        }
        cluster.runSeconds(5);
        assertThat(cluster.submit(2, SimCluster.job(uid(4), 1, uid(1), uid(3))).status())
                .isEqualTo(201);
        cluster.runSeconds(40);
        assertStageOnRunningNodes(uid(3), "done");
        assertStageOnRunningNodes(uid(4), "done");
        assertThat(cluster.violations()).isEmpty();
    }

    /** Guards paged reads: a page may show a job but not its dependency, which was admitted between two pages. */
    @Test
    void doesNotReleaseJobWhoseDependencyWasMissedByPagedRead() {
        cluster.cloud().setOutage(true);
        for (int job = 1; job <= 220; job++) {
            cluster.submitAsync(job % 3, SimCluster.job(uid(job), 1));
            cluster.runSeconds(0.05);
        }
        cluster.runSeconds(10);
        int leader = cluster.leader();
        boolean[] isReadingSecondPage = {false};
        cluster.network().addRule((from, to, request) -> {
            if (request.path().startsWith("/kv?prefix=plan/&since=") && !isReadingSecondPage[0]) {
                isReadingSecondPage[0] = true;
                cluster.network().setLatencyFactor(250);
            }
            return null;
        });
        cluster.kill(leader);
        cluster.runUntil(() -> isReadingSecondPage[0]);
        // Only the second page is delayed that long; lost watches hide the plans admitted meanwhile for some seconds.
        cluster.network().setLatencyFactor(1);
        Rule lostWatches = cluster.network()
                .addRule((from, to, request) -> request.path().startsWith("/watch?prefix=plan/") ? Action.DROP : null);
        int node = (leader + 1) % 3;
        assertThat(submitUntilAccepted(node, SimCluster.job(uid(0), 1))).isEqualTo(201);
        assertThat(submitUntilAccepted(node, SimCluster.job(uid(999), 1, uid(0))))
                .isEqualTo(201);
        cluster.runSeconds(8);
        cluster.network().removeRule(lostWatches);
        assertThat(cluster.store().value("run/" + uid(999))).isNull();
        cluster.runUntil(() -> cluster.store().value("run/" + uid(0)) != null);
        cluster.runSeconds(5);
        assertThat(cluster.store().value("run/" + uid(999))).isNull();
        cluster.cloud().setOutage(false);
        cluster.runSeconds(60);
        assertStageOnRunningNodes(uid(999), "done");
        assertThat(cluster.violations()).isEmpty();
    }

    /** Guards long chains: dependencies are resolved one by one, and polls of the last job are still answered. */
    @Test
    void cancelsLongChainAfterFailover() {
        cluster.submit(0, SimCluster.job(uid(1), 1));
        cluster.runUntilStarted(1, 600 * SECOND);
        for (int job = 2; job <= 300; job++) {
            assertThat(submitUntilAccepted(job % 3, SimCluster.job(uid(job), 1, uid(job - 1))))
                    .isEqualTo(201);
        }
        cluster.runSeconds(2);
        assertThat(cluster.stage(1, uid(300))).isEqualTo("queued");
        // The new leader reads the jobs in key order and cancels them in topological order.
        cluster.kill(cluster.leader());
        cluster.cancel(anyRunningNode(), uid(1));
        cluster.runSeconds(5);
        assertThat(cluster.stage(anyRunningNode(), uid(300))).isEqualTo("withdrawn");
        cluster.runSeconds(25);
        assertThat(cluster.store().keysWithPrefix("withdraw/")).hasSize(300);
        assertThat(cluster.violations()).isEmpty();
    }

    /**
     * A restarted controller that is polled for the last job of a chain reads all plans in one scan, not one by one.
     */
    @Test
    void answersFirstPollOfLongChainWithFewStoreRequests() {
        cluster.cloud().setOutage(true);
        for (int job = 1; job <= 500; job++) {
            ObjectNode next = job == 1 ? SimCluster.job(uid(1), 1) : SimCluster.job(uid(job), 1, uid(job - 1));
            assertThat(submitUntilAccepted(0, next)).isIn(200, 201);
        }
        int polledNode = cluster.leader() == 1 ? 2 : 1;
        cluster.restart(polledNode);
        cluster.runUntil(() -> cluster.isServing(polledNode));
        cluster.runSeconds(3);
        int[] requests = {0};
        cluster.network().addRule((from, to, request) -> {
            boolean counts = from.equals(FailureInjector.host(polledNode))
                    && to.startsWith("state")
                    && !request.path().contains("grants");
            requests[0] += counts ? 1 : 0;
            return null;
        });
        assertThat(cluster.stage(polledNode, uid(500))).isEqualTo("queued");
        assertThat(requests[0]).isLessThan(60);
        assertThat(cluster.violations()).isEmpty();
    }

    /** Guards jobs with thousands of dependents: the cost per dependent is proportional to its own dependencies. */
    @Test
    void releasesAllDependentsOfOneJob() {
        cluster.submit(0, SimCluster.job(uid(1), 1));
        cluster.runUntilStarted(1, 90 * SECOND);
        for (int job = 2; job <= 400; job++) {
            cluster.submitAsync(job % 3, SimCluster.job(uid(job), 1, uid(1)));
            cluster.runSeconds(0.06);
        }
        cluster.runSeconds(10);
        assertThat(cluster.store().keysWithPrefix("run/")).hasSize(1);
        cluster.cloud().machines().values().forEach(worker -> worker.setRunMicros(SECOND / 2));
        cluster.runSeconds(160);
        int done = 0;
        for (int job = 2; job <= 400; job++) {
            done += cluster.lastStage(uid(job)) != null
                            && cluster.stage(job % 3, uid(job)).equals("done")
                    ? 1
                    : 0;
        }
        assertThat(done).isGreaterThan(380);
        assertThat(cluster.violations()).isEmpty();
    }

    /** Guards against limits lowered without notice: no value exceeds the announced size; 429 only slows writing. */
    @Test
    void losesNoJobWhenStoreLimitsAreLowered() {
        for (int job = 1; job <= 30; job++) {
            cluster.submitAsync(
                    job % 3, job % 3 == 1 ? SimCluster.job(uid(job), 6) : SimCluster.job(uid(job), 6, uid(job - 1)));
            cluster.runSeconds(0.4);
            if (job == 14) {
                cluster.store().setLimits(6, 2 * 1024, 15);
            }
        }
        cluster.runSeconds(200);
        for (int job = 1; job <= 30; job++) {
            assertStageOnRunningNodes(uid(job), "done");
        }
        assertThat(cluster.store().rejectedForSize()).isZero();
        assertThat(cluster.violations()).isEmpty();
    }
}
