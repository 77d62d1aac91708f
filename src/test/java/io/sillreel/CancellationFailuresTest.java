package io.sillreel;

import static io.sillreel.FailureScenario.assertNoViolations;
import static io.sillreel.FailureScenario.assertStageOnRunningNodes;
import static io.sillreel.FailureScenario.machineNames;
import static io.sillreel.FailureScenario.otherNode;
import static io.sillreel.FailureScenario.runningTaskCount;
import static io.sillreel.FailureScenario.startCluster;
import static org.assertj.core.api.Assertions.assertThat;

import io.sillreel.sim.FailureInjector;
import io.sillreel.sim.SimCluster;
import io.sillreel.sim.SimNetwork.Action;
import io.sillreel.sim.SimNetwork.Rule;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Cancellations combined with other failures: consistency of the responses to users, and of the tasks that ran. */
class CancellationFailuresTest {
    private static final long SECOND = 1_000_000;
    private static final long LONG_TASK_MICROS = 600 * SECOND;

    /**
     * The state service rejects only the leader, another controller confirms cancellations, and then the service fails
     * for all controllers, for longer than cancel_s, while workers keep sending heartbeats to the former leader. Some
     * machines hang for less than their lease and resume. Guards the bound of the grace period at the former leader, at
     * its successor, and at a successor that the outage hits while it loads the stored state.
     */
    @Test
    void endsCancelledTasksInTimeWhenLeaderIsRejectedBeforeOutage() {
        for (int tenths : new int[] {2, 8, 15, 22, 29, 31, 33, 35, 38, 45}) {
            SimCluster cluster = startCluster(100 + tenths);
            cluster.submit(0, SimCluster.job("job-000001", 6));
            cluster.submit(1, SimCluster.job("job-000002", 6));
            cluster.runUntilStarted(12, LONG_TASK_MICROS);
            int leader = cluster.leader();
            Rule rejection = cluster.network().addRule(FailureInjector.rejectedByStateService(leader));
            // The bound must hold without the notification by the confirming controller, which may get lost as well.
            cluster.network()
                    .addRule((from, to, request) -> request.route().equals("/peer/withdrawn") ? Action.DROP : null);
            cluster.runSeconds(0.05);
            cluster.cancelAsync(otherNode(cluster, leader), "job-000001");
            cluster.runSeconds(0.05);
            cluster.cancelAsync((leader + 2) % 3, "job-000002");
            cluster.cloud().machines().values().stream().limit(2).forEach(worker -> worker.pause(9 * SECOND));
            cluster.runSeconds(tenths / 10.0 - 0.1);
            cluster.store().setOutage(true);
            assertThat(cluster.lastStage("job-000001"))
                    .as("after %d tenths", tenths)
                    .isEqualTo("withdrawn");
            cluster.runSeconds(60);
            cluster.network().removeRule(rejection);
            assertThat(runningTaskCount(cluster)).as("after %d tenths", tenths).isZero();
            cluster.store().setOutage(false);
            cluster.runSeconds(20);
            assertStageOnRunningNodes(cluster, "job-000001", "withdrawn");
            assertStageOnRunningNodes(cluster, "job-000002", "withdrawn");
            assertNoViolations(cluster);
        }
    }

    /**
     * Guards against tasks that run until their leases end although the confirming controller can still notify the
     * leader, which only the state service rejects.
     */
    @Test
    void peersNotifyRejectedLeaderOfCancellations() {
        SimCluster cluster = startCluster(16);
        cluster.submit(0, SimCluster.job("job-000001", 12));
        cluster.runUntilStarted(12, LONG_TASK_MICROS);
        int leader = cluster.leader();
        cluster.network().addRule(FailureInjector.rejectedByStateService(leader));
        cluster.runSeconds(0.2);
        cluster.cancel(otherNode(cluster, leader), "job-000001");
        cluster.store().setOutage(true);
        cluster.runSeconds(2);
        assertThat(runningTaskCount(cluster)).isZero();
        assertThat(cluster.startsAfterCancellation()).isEmpty();
        assertNoViolations(cluster);
    }

    /** Guards against launches while the watch on cancellations is unanswered: the jobs may have been cancelled. */
    @Test
    void leaderWithoutCancellationUpdatesLaunchesNothing() {
        SimCluster cluster = startCluster(17);
        cluster.submit(0, SimCluster.job("job-000001", 300).put("guess_s", 60.0));
        cluster.runUntilStarted(1, LONG_TASK_MICROS);
        // More machines come up only once the known cancellations are too old. No task ends, so there is no write
        // whose conflict would reveal the cancellation.
        cluster.cloud().setBootMicros(8 * SECOND);
        cluster.network()
                .addRule((from, to, request) -> request.route().equals("/peer/withdrawn")
                                || request.path().startsWith("/watch?prefix=withdraw/")
                        ? Action.DROP
                        : null);
        cluster.cancel(otherNode(cluster, cluster.leader()), "job-000001");
        cluster.runSeconds(5.5);
        int starts = cluster.startCount();
        cluster.runSeconds(8);
        cluster.cloud().machines().values().forEach(worker -> worker.setRunMicros(LONG_TASK_MICROS));
        cluster.runSeconds(32);
        assertThat(cluster.startCount()).isEqualTo(starts);
        assertNoViolations(cluster);
    }

    /**
     * Guards the jobs of a leader that holds its lease but may not launch tasks: it resigns and another controller
     * takes over.
     */
    @Test
    void leaderWithoutCancellationUpdatesResigns() {
        SimCluster cluster = startCluster(19);
        cluster.submit(0, SimCluster.job("job-000001", 60));
        cluster.runUntilStarted(8, 5 * SECOND);
        int cancellationsUnknown = cluster.leader();
        cluster.network()
                .addRule((from, to, request) -> from.equals(FailureInjector.host(cancellationsUnknown))
                                && request.path().startsWith("/watch?prefix=withdraw/")
                        ? Action.DROP
                        : null);
        cluster.runUntil(() -> cluster.leader() >= 0 && cluster.leader() != cancellationsUnknown);
        cluster.runSeconds(60);
        assertStageOnRunningNodes(cluster, "job-000001", "done");
        assertNoViolations(cluster);
    }

    /**
     * Guards against launches by a leader that reaches the state service again after an outage and has not yet learned
     * of the cancellations before it.
     */
    @Test
    void launchesNoTaskCancelledBeforeOutageOnceStateServiceIsBack() {
        SimCluster cluster = startCluster(3);
        int leader = cluster.leader();
        cluster.submit(0, SimCluster.job("job-000001", 90));
        cluster.runUntilStarted(20, 6 * SECOND);
        Rule rejection = cluster.network().addRule(FailureInjector.rejectedByStateService(leader));
        cluster.runSeconds(1);
        cluster.cancel(otherNode(cluster, leader), "job-000001");
        cluster.store().setOutage(true);
        cluster.network().removeRule(rejection);
        cluster.runSeconds(1);
        cluster.store().setOutage(false);
        int starts = cluster.startCount();
        cluster.runSeconds(30);
        assertThat(cluster.startCount()).isEqualTo(starts);
        assertThat(cluster.startsAfterCancellation()).isEmpty();
        assertNoViolations(cluster);
    }

    /**
     * Guards the team limit: cancelled tasks that may still run on partitioned or hanging machines count towards it.
     */
    @Test
    void countsUnreachableCancelledTasksTowardsLimitAcrossFailover() {
        for (int seed = 1; seed <= 6; seed++) {
            SimCluster cluster = startCluster(seed, 10);
            cluster.submit(
                    0, SimCluster.job("job-000001", 10).put("guess_s", 60.0).put("due_s", 90.0));
            cluster.runUntilStarted(10, LONG_TASK_MICROS);
            Random random = new Random(seed);
            Set<String> partitioned = new HashSet<>(machineNames(cluster).subList(0, 1 + seed % 2));
            cluster.network()
                    .addRule(FailureInjector.machineTraffic(
                            partitioned, random.nextBoolean() ? Action.HOLD : Action.DROP));
            cluster.cloud().machines().values().stream().skip(2).limit(1).forEach(worker -> worker.pause(10 * SECOND));
            int leader = cluster.leader();
            cluster.runSeconds(random.nextDouble() * 2);
            boolean cancelFirst = random.nextBoolean();
            if (cancelFirst) {
                cluster.cancel(otherNode(cluster, leader), "job-000001");
            }
            cluster.kill(leader);
            cluster.submit(otherNode(cluster, leader), SimCluster.job("job-000002", 10));
            if (!cancelFirst) {
                cluster.cancel(otherNode(cluster, leader), "job-000001");
            }
            cluster.cloud().machines().values().forEach(worker -> worker.setRunMicros(8 * SECOND));
            cluster.runSeconds(15);
            cluster.network().releaseHeld();
            cluster.runSeconds(75);
            assertThat(cluster.stage(otherNode(cluster, leader), "job-000002"))
                    .as("seed %d", seed)
                    .isEqualTo("done");
            assertNoViolations(cluster);
        }
    }

    /**
     * Guards the write queue of the leader against a cancellation that arrives before the response to the write that
     * releases the job. The handler of that response found the job cancelled and threw, and nothing was written again.
     */
    @Test
    void cancellationBeforeResponseToReleaseWriteKeepsWriterRunning() {
        SimCluster cluster = startCluster(18);
        Rule delayedResponses = cluster.network()
                .addRule(FailureInjector.transactions("\"run/", Action.DELAY_RESPONSE, 1, new Random(18)));
        for (int i = 1; i <= 12; i++) {
            String uid = "job-%06d".formatted(i);
            cluster.submit(i % 3, SimCluster.job(uid, 2));
            if (i % 2 == 0) {
                cluster.runUntil(() -> cluster.store().value("run/" + uid) != null);
                cluster.cancel(i % 3, uid);
            }
        }
        cluster.network().removeRule(delayedResponses);
        cluster.runSeconds(40);
        for (int i = 1; i <= 12; i++) {
            assertStageOnRunningNodes(cluster, "job-%06d".formatted(i), i % 2 == 0 ? "withdrawn" : "done");
        }
        assertNoViolations(cluster);
    }

    /** Guards against cancellations missed by a new leader that lists the stored jobs while they are cancelled. */
    @Test
    void stopsJobsCancelledDuringFailover() {
        for (int seed = 1; seed <= 3; seed++) {
            SimCluster cluster = startCluster(seed);
            for (int i = 1; i <= 20; i++) {
                cluster.submit(i % 3, SimCluster.job("job-%06d".formatted(i), 4));
            }
            cluster.runUntilStarted(60, LONG_TASK_MICROS);
            int leader = cluster.leader();
            cluster.kill(leader);
            for (int i = 1; i <= 20; i++) {
                cluster.cancelAsync((leader + 1 + i % 2) % 3, "job-%06d".formatted(i));
                cluster.runSeconds(0.17 + 0.03 * seed);
                if (i == 10 && seed == 2) {
                    cluster.restart(leader);
                }
            }
            cluster.runSeconds(10);
            for (int i = 1; i <= 20; i++) {
                String uid = "job-%06d".formatted(i);
                if (!"withdrawn".equals(cluster.lastStage(uid))) {
                    cluster.cancel(otherNode(cluster, leader), uid);
                }
            }
            cluster.runSeconds(15);
            assertThat(runningTaskCount(cluster)).as("seed %d", seed).isZero();
            assertNoViolations(cluster);
        }
    }

    /** Guards throughput of small jobs: each is stored, run and completed, a quarter is cancelled, and none is lost. */
    @Test
    void runsAndCancelsSmallJobsAtHighRate() {
        SimCluster cluster = startCluster(6);
        Random random = new Random(6);
        Set<String> cancelled = new HashSet<>();
        for (int i = 1; i <= 480; i++) {
            String uid = "job-%06d".formatted(i);
            cluster.submitAsync(random.nextInt(3), SimCluster.job(uid, 1));
            cluster.runSeconds(0.25);
            if (i > 4 && random.nextInt(4) == 0) {
                String earlier = "job-%06d".formatted(i - random.nextInt(4));
                cluster.cancelAsync(random.nextInt(3), earlier);
                cancelled.add(earlier);
            }
        }
        cluster.runSeconds(20);
        for (int i = 1; i <= 480; i++) {
            String uid = "job-%06d".formatted(i);
            assertThat(cluster.stage(i % 3, uid))
                    .as(uid)
                    .isIn(cancelled.contains(uid) ? List.of("done", "withdrawn") : List.of("done"));
        }
        assertNoViolations(cluster);
    }

    /**
     * Guards workers and users that still reach a leader isolated from the state service and its peers, while jobs are
     * cancelled through other controllers.
     */
    @Test
    void stopsJobsCancelledUnderNewLeaderWhileWorkersReachFormerLeader() {
        SimCluster cluster = startCluster(7);
        cluster.submit(0, SimCluster.job("job-000001", 8));
        cluster.submit(0, SimCluster.job("job-000002", 8));
        cluster.runUntilStarted(16, 40 * SECOND);
        int formerLeader = cluster.leader();
        Rule isolated = cluster.network().addRule(FailureInjector.isolated(formerLeader));
        cluster.runUntil(() -> cluster.leader() >= 0 && cluster.leader() != formerLeader);
        cluster.cancel(cluster.leader(), "job-000001");
        for (int i = 0; i < 30; i++) {
            cluster.pollAsync(formerLeader, "job-000001");
            cluster.cancelAsync(formerLeader, "job-000002");
            cluster.runSeconds(1);
        }
        assertThat(cluster.cloud().machines().values())
                .noneMatch(worker -> worker.runningTasks().stream().anyMatch(task -> task.startsWith("job-000001/")));
        cluster.network().removeRule(isolated);
        cluster.runSeconds(40);
        assertStageOnRunningNodes(cluster, "job-000001", "withdrawn");
        assertNoViolations(cluster);
    }
}
