package io.sillreel;

import static io.sillreel.FailureScenario.begun;
import static io.sillreel.FailureScenario.everyNodeSays;
import static io.sillreel.FailureScenario.machines;
import static io.sillreel.FailureScenario.nothingBroken;
import static io.sillreel.FailureScenario.other;
import static io.sillreel.FailureScenario.running;
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

/** Cancellations that meet another failure: what users were told and what workers ran. */
class CancellationFailuresTest {
    private static final long SECOND = 1_000_000;
    private static final long FOR_LONG = 600 * SECOND;

    /**
     * The gap: the state service refuses the leader alone, another controller confirms cancellations, then the service
     * is out for all, for longer than cancel_s, while the workers go on reporting to the old leader. Some of the
     * machines hang within their leases and go on. Guards the bound of the grace period at the old leader, at a
     * successor, and at one that the outage meets while it reads what is stored.
     */
    @Test
    void whatIsCancelledWhileTheLeaderAloneIsRefusedIsGoneInTimeThroughAnOutage() {
        for (int tenths : new int[] {2, 8, 15, 22, 29, 31, 33, 35, 38, 45}) {
            SimCluster cluster = begun(100 + tenths);
            cluster.submit(0, SimCluster.job("job-000001", 6));
            cluster.submit(1, SimCluster.job("job-000002", 6));
            cluster.runUntilStarted(12, FOR_LONG);
            int leader = cluster.leader();
            Rule refused = cluster.network().addRule(FailureInjector.rejectedByStateService(leader));
            // It must hold without the word of the controller that confirms, which may get lost as well.
            cluster.network()
                    .addRule((from, to, request) -> request.route().equals("/peer/withdrawn") ? Action.DROP : null);
            cluster.runSeconds(0.05);
            cluster.cancelAsync(other(cluster, leader), "job-000001");
            cluster.runSeconds(0.05);
            cluster.cancelAsync((leader + 2) % 3, "job-000002");
            cluster.cloud().machines().values().stream().limit(2).forEach(worker -> worker.pause(9 * SECOND));
            cluster.runSeconds(tenths / 10.0 - 0.1);
            cluster.store().setOutage(true);
            assertThat(cluster.known("job-000001"))
                    .as("after %d tenths", tenths)
                    .isEqualTo("withdrawn");
            cluster.runSeconds(60);
            cluster.network().removeRule(refused);
            assertThat(running(cluster)).as("after %d tenths", tenths).isZero();
            cluster.store().setOutage(false);
            cluster.runSeconds(20);
            everyNodeSays(cluster, "job-000001", "withdrawn");
            everyNodeSays(cluster, "job-000002", "withdrawn");
            nothingBroken(cluster);
        }
    }

    /**
     * Guards tasks against their leases when their leader, refused alone, can still be told by the one that confirmed.
     */
    @Test
    void aLeaderThatIsRefusedAloneIsToldOfCancellations() {
        SimCluster cluster = begun(16);
        cluster.submit(0, SimCluster.job("job-000001", 12));
        cluster.runUntilStarted(12, FOR_LONG);
        int leader = cluster.leader();
        cluster.network().addRule(FailureInjector.rejectedByStateService(leader));
        cluster.runSeconds(0.2);
        cluster.cancel(other(cluster, leader), "job-000001");
        cluster.store().setOutage(true);
        cluster.runSeconds(2);
        assertThat(running(cluster)).isZero();
        assertThat(cluster.startsAfterCancellation()).isEmpty();
        nothingBroken(cluster);
    }

    /** Guards launches against a watch that is not answered: what was not asked for lately may have been cancelled. */
    @Test
    void aLeaderThatCanNotFollowCancellationsLaunchesNothingAndLetsItsTasksGo() {
        SimCluster cluster = begun(17);
        cluster.submit(0, SimCluster.job("job-000001", 300).put("guess_s", 60.0));
        cluster.runUntilStarted(1, FOR_LONG);
        // More machines come up only when what is known is too old; no task ends, so no write tells of the
        // cancellation.
        cluster.cloud().setBootMicros(8 * SECOND);
        cluster.network()
                .addRule((from, to, request) -> request.route().equals("/peer/withdrawn")
                                || request.path().startsWith("/watch?prefix=withdraw/")
                        ? Action.DROP
                        : null);
        cluster.cancel(other(cluster, cluster.leader()), "job-000001");
        cluster.runSeconds(5.5);
        int starts = cluster.startCount();
        cluster.runSeconds(8);
        cluster.cloud().machines().values().forEach(worker -> worker.setRunMicros(FOR_LONG));
        cluster.runSeconds(32);
        assertThat(cluster.startCount()).isEqualTo(starts);
        nothingBroken(cluster);
    }

    /**
     * Guards the jobs of a leader that keeps its lease and may do nothing with it: it resigns, and another one goes on.
     */
    @Test
    void aLeaderThatAloneCanNotFollowCancellationsIsSucceeded() {
        SimCluster cluster = begun(19);
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
        everyNodeSays(cluster, "job-000001", "done");
        nothingBroken(cluster);
    }

    /**
     * Guards the proof of a leader that is answered again after an outage, and has not heard what was cancelled before
     * it.
     */
    @Test
    void aLeaderThatIsAnsweredAgainLaunchesNothingOfWhatWasCancelledMeanwhile() {
        SimCluster cluster = begun(3);
        int leader = cluster.leader();
        cluster.submit(0, SimCluster.job("job-000001", 90));
        cluster.runUntilStarted(20, 6 * SECOND);
        Rule refused = cluster.network().addRule(FailureInjector.rejectedByStateService(leader));
        cluster.runSeconds(1);
        cluster.cancel(other(cluster, leader), "job-000001");
        cluster.store().setOutage(true);
        cluster.network().removeRule(refused);
        cluster.runSeconds(1);
        cluster.store().setOutage(false);
        int starts = cluster.startCount();
        cluster.runSeconds(30);
        assertThat(cluster.startCount()).isEqualTo(starts);
        assertThat(cluster.startsAfterCancellation()).isEmpty();
        nothingBroken(cluster);
    }

    /**
     * Guards the count of tasks that can't be seen: cancelled ones on machines that are cut off or hang use the limit
     * too.
     */
    @Test
    void theLimitHoldsWhileCancelledTasksCanNotBeReachedAndTheLeaderChanges() {
        for (int seed = 1; seed <= 6; seed++) {
            SimCluster cluster = begun(seed, 10);
            cluster.submit(
                    0, SimCluster.job("job-000001", 10).put("guess_s", 60.0).put("due_s", 90.0));
            cluster.runUntilStarted(10, FOR_LONG);
            Random random = new Random(seed);
            Set<String> cut = new HashSet<>(machines(cluster).subList(0, 1 + seed % 2));
            cluster.network()
                    .addRule(FailureInjector.machineTraffic(cut, random.nextBoolean() ? Action.HOLD : Action.DROP));
            cluster.cloud().machines().values().stream().skip(2).limit(1).forEach(worker -> worker.pause(10 * SECOND));
            int leader = cluster.leader();
            cluster.runSeconds(random.nextDouble() * 2);
            boolean before = random.nextBoolean();
            if (before) {
                cluster.cancel(other(cluster, leader), "job-000001");
            }
            cluster.kill(leader);
            cluster.submit(other(cluster, leader), SimCluster.job("job-000002", 10));
            if (!before) {
                cluster.cancel(other(cluster, leader), "job-000001");
            }
            cluster.cloud().machines().values().forEach(worker -> worker.setRunMicros(8 * SECOND));
            cluster.runSeconds(15);
            cluster.network().releaseHeld();
            cluster.runSeconds(75);
            assertThat(cluster.stage(other(cluster, leader), "job-000002"))
                    .as("seed %d", seed)
                    .isEqualTo("done");
            nothingBroken(cluster);
        }
    }

    /**
     * Guards the leader's writer against a cancellation that is heard of before the answer to the write of the job's
     * own release: that answer found the job cancelled, threw, and nothing was ever written again.
     */
    @Test
    void aCancellationThatOvertakesTheAnswerToAReleaseStopsNoWrites() {
        SimCluster cluster = begun(18);
        Rule slow = cluster.network()
                .addRule(FailureInjector.transactions("\"run/", Action.DELAY_RESPONSE, 1, new Random(18)));
        for (int i = 1; i <= 12; i++) {
            String uid = "job-%06d".formatted(i);
            cluster.submit(i % 3, SimCluster.job(uid, 2));
            if (i % 2 == 0) {
                cluster.runUntil(() -> cluster.store().value("run/" + uid) != null);
                cluster.cancel(i % 3, uid);
            }
        }
        cluster.network().removeRule(slow);
        cluster.runSeconds(40);
        for (int i = 1; i <= 12; i++) {
            everyNodeSays(cluster, "job-%06d".formatted(i), i % 2 == 0 ? "withdrawn" : "done");
        }
        nothingBroken(cluster);
    }

    /** Guards the hand-over: a successor that reads lists while jobs are cancelled misses none. */
    @Test
    void whatIsCancelledWhileTheWorkChangesHandsStops() {
        for (int seed = 1; seed <= 3; seed++) {
            SimCluster cluster = begun(seed);
            for (int i = 1; i <= 20; i++) {
                cluster.submit(i % 3, SimCluster.job("job-%06d".formatted(i), 4));
            }
            cluster.runUntilStarted(60, FOR_LONG);
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
                if (!"withdrawn".equals(cluster.known(uid))) {
                    cluster.cancel(other(cluster, leader), uid);
                }
            }
            cluster.runSeconds(15);
            assertThat(running(cluster)).as("seed %d", seed).isZero();
            nothingBroken(cluster);
        }
    }

    /** Guards the rate of small jobs: each is stored, run and ended, a quarter cancelled, and none is left behind. */
    @Test
    void manySmallJobsAreServedAndCancelledAtOnce() {
        SimCluster cluster = begun(6);
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
        nothingBroken(cluster);
    }

    /**
     * Guards workers and users of a leader that hears neither state service nor peers, while jobs are cancelled
     * elsewhere.
     */
    @Test
    void whatIsCancelledThroughANewLeaderStopsThoughWorkersStillReachTheOldOne() {
        SimCluster cluster = begun(7);
        cluster.submit(0, SimCluster.job("job-000001", 8));
        cluster.submit(0, SimCluster.job("job-000002", 8));
        cluster.runUntilStarted(16, 40 * SECOND);
        int old = cluster.leader();
        Rule isolated = cluster.network().addRule(FailureInjector.isolated(old));
        cluster.runUntil(() -> cluster.leader() >= 0 && cluster.leader() != old);
        cluster.cancel(cluster.leader(), "job-000001");
        for (int i = 0; i < 30; i++) {
            cluster.pollAsync(old, "job-000001");
            cluster.cancelAsync(old, "job-000002");
            cluster.runSeconds(1);
        }
        assertThat(cluster.cloud().machines().values())
                .noneMatch(worker -> worker.runningTasks().stream().anyMatch(task -> task.startsWith("job-000001/")));
        cluster.network().removeRule(isolated);
        cluster.runSeconds(40);
        everyNodeSays(cluster, "job-000001", "withdrawn");
        nothingBroken(cluster);
    }
}
