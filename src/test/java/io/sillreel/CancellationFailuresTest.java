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
import io.sillreel.sim.SimNetwork.Fate;
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
            SimCluster world = begun(100 + tenths);
            world.submit(0, SimCluster.job("job-000001", 6));
            world.submit(1, SimCluster.job("job-000002", 6));
            world.untilStarted(12, FOR_LONG);
            int leader = world.leader();
            Rule refused = world.network().add(FailureInjector.refused(leader));
            // It must hold without the word of the controller that confirms, which may get lost as well.
            world.network().add((from, to, request) -> request.route().equals("/peer/withdrawn") ? Fate.LOSE : null);
            world.seconds(0.05);
            world.cancelMeanwhile(other(world, leader), "job-000001");
            world.seconds(0.05);
            world.cancelMeanwhile((leader + 2) % 3, "job-000002");
            world.cloud().machines().values().stream().limit(2).forEach(worker -> worker.hang(9 * SECOND));
            world.seconds(tenths / 10.0 - 0.1);
            world.state().outage(true);
            assertThat(world.told("job-000001")).as("after %d tenths", tenths).isEqualTo("withdrawn");
            world.seconds(60);
            world.network().remove(refused);
            assertThat(running(world)).as("after %d tenths", tenths).isZero();
            world.state().outage(false);
            world.seconds(20);
            everyNodeSays(world, "job-000001", "withdrawn");
            everyNodeSays(world, "job-000002", "withdrawn");
            nothingBroken(world);
        }
    }

    /**
     * Guards tasks against their leases when their leader, refused alone, can still be told by the one that confirmed.
     */
    @Test
    void aLeaderThatIsRefusedAloneIsToldOfCancellations() {
        SimCluster world = begun(16);
        world.submit(0, SimCluster.job("job-000001", 12));
        world.untilStarted(12, FOR_LONG);
        int leader = world.leader();
        world.network().add(FailureInjector.refused(leader));
        world.seconds(0.2);
        world.cancel(other(world, leader), "job-000001");
        world.state().outage(true);
        world.seconds(2);
        assertThat(running(world)).isZero();
        assertThat(world.startsOfCancelled()).isEmpty();
        nothingBroken(world);
    }

    /** Guards launches against a watch that is not answered: what was not asked for lately may have been cancelled. */
    @Test
    void aLeaderThatCanNotFollowCancellationsLaunchesNothingAndLetsItsTasksGo() {
        SimCluster world = begun(17);
        world.submit(0, SimCluster.job("job-000001", 300).put("guess_s", 60.0));
        world.untilStarted(1, FOR_LONG);
        // More machines come up only when what is known is too old; no task ends, so no write tells of the
        // cancellation.
        world.cloud().bootMicros(8 * SECOND);
        world.network()
                .add((from, to, request) -> request.route().equals("/peer/withdrawn")
                                || request.path().startsWith("/watch?prefix=withdraw/")
                        ? Fate.LOSE
                        : null);
        world.cancel(other(world, world.leader()), "job-000001");
        world.seconds(5.5);
        int starts = world.starts();
        world.seconds(8);
        world.cloud().machines().values().forEach(worker -> worker.runMicros(FOR_LONG));
        world.seconds(32);
        assertThat(world.starts()).isEqualTo(starts);
        nothingBroken(world);
    }

    /**
     * Guards the jobs of a leader that keeps its lease and may do nothing with it: it resigns, and another one goes on.
     */
    @Test
    void aLeaderThatAloneCanNotFollowCancellationsIsSucceeded() {
        SimCluster world = begun(19);
        world.submit(0, SimCluster.job("job-000001", 60));
        world.untilStarted(8, 5 * SECOND);
        int cancellationsUnknown = world.leader();
        world.network()
                .add((from, to, request) -> from.equals(FailureInjector.host(cancellationsUnknown))
                                && request.path().startsWith("/watch?prefix=withdraw/")
                        ? Fate.LOSE
                        : null);
        world.until(() -> world.leader() >= 0 && world.leader() != cancellationsUnknown);
        world.seconds(60);
        everyNodeSays(world, "job-000001", "done");
        nothingBroken(world);
    }

    /**
     * Guards the proof of a leader that is answered again after an outage, and has not heard what was cancelled before
     * it.
     */
    @Test
    void aLeaderThatIsAnsweredAgainLaunchesNothingOfWhatWasCancelledMeanwhile() {
        SimCluster world = begun(3);
        int leader = world.leader();
        world.submit(0, SimCluster.job("job-000001", 90));
        world.untilStarted(20, 6 * SECOND);
        Rule refused = world.network().add(FailureInjector.refused(leader));
        world.seconds(1);
        world.cancel(other(world, leader), "job-000001");
        world.state().outage(true);
        world.network().remove(refused);
        world.seconds(1);
        world.state().outage(false);
        int starts = world.starts();
        world.seconds(30);
        assertThat(world.starts()).isEqualTo(starts);
        assertThat(world.startsOfCancelled()).isEmpty();
        nothingBroken(world);
    }

    /**
     * Guards the count of tasks that can't be seen: cancelled ones on machines that are cut off or hang use the limit
     * too.
     */
    @Test
    void theLimitHoldsWhileCancelledTasksCanNotBeReachedAndTheLeaderChanges() {
        for (int seed = 1; seed <= 6; seed++) {
            SimCluster world = begun(seed, 10);
            world.submit(
                    0, SimCluster.job("job-000001", 10).put("guess_s", 60.0).put("due_s", 90.0));
            world.untilStarted(10, FOR_LONG);
            Random random = new Random(seed);
            Set<String> cut = new HashSet<>(machines(world).subList(0, 1 + seed % 2));
            world.network().add(FailureInjector.away(cut, random.nextBoolean() ? Fate.HOLD : Fate.LOSE));
            world.cloud().machines().values().stream().skip(2).limit(1).forEach(worker -> worker.hang(10 * SECOND));
            int leader = world.leader();
            world.seconds(random.nextDouble() * 2);
            boolean before = random.nextBoolean();
            if (before) {
                world.cancel(other(world, leader), "job-000001");
            }
            world.kill(leader);
            world.submit(other(world, leader), SimCluster.job("job-000002", 10));
            if (!before) {
                world.cancel(other(world, leader), "job-000001");
            }
            world.cloud().machines().values().forEach(worker -> worker.runMicros(8 * SECOND));
            world.seconds(15);
            world.network().release();
            world.seconds(75);
            assertThat(world.stage(other(world, leader), "job-000002"))
                    .as("seed %d", seed)
                    .isEqualTo("done");
            nothingBroken(world);
        }
    }

    /**
     * Guards the leader's writer against a cancellation that is heard of before the answer to the write of the job's
     * own release: that answer found the job cancelled, threw, and nothing was ever written again.
     */
    @Test
    void aCancellationThatOvertakesTheAnswerToAReleaseStopsNoWrites() {
        SimCluster world = begun(18);
        Rule slow = world.network().add(FailureInjector.writes("\"run/", Fate.SLOW_ANSWER, 1, new Random(18)));
        for (int i = 1; i <= 12; i++) {
            String uid = "job-%06d".formatted(i);
            world.submit(i % 3, SimCluster.job(uid, 2));
            if (i % 2 == 0) {
                world.until(() -> world.state().value("run/" + uid) != null);
                world.cancel(i % 3, uid);
            }
        }
        world.network().remove(slow);
        world.seconds(40);
        for (int i = 1; i <= 12; i++) {
            everyNodeSays(world, "job-%06d".formatted(i), i % 2 == 0 ? "withdrawn" : "done");
        }
        nothingBroken(world);
    }

    /** Guards the hand-over: a successor that reads lists while jobs are cancelled misses none. */
    @Test
    void whatIsCancelledWhileTheWorkChangesHandsStops() {
        for (int seed = 1; seed <= 3; seed++) {
            SimCluster world = begun(seed);
            for (int i = 1; i <= 20; i++) {
                world.submit(i % 3, SimCluster.job("job-%06d".formatted(i), 4));
            }
            world.untilStarted(60, FOR_LONG);
            int leader = world.leader();
            world.kill(leader);
            for (int i = 1; i <= 20; i++) {
                world.cancelMeanwhile((leader + 1 + i % 2) % 3, "job-%06d".formatted(i));
                world.seconds(0.17 + 0.03 * seed);
                if (i == 10 && seed == 2) {
                    world.restart(leader);
                }
            }
            world.seconds(10);
            for (int i = 1; i <= 20; i++) {
                String uid = "job-%06d".formatted(i);
                if (!"withdrawn".equals(world.told(uid))) {
                    world.cancel(other(world, leader), uid);
                }
            }
            world.seconds(15);
            assertThat(running(world)).as("seed %d", seed).isZero();
            nothingBroken(world);
        }
    }

    /** Guards the rate of small jobs: each is stored, run and ended, a quarter cancelled, and none is left behind. */
    @Test
    void manySmallJobsAreServedAndCancelledAtOnce() {
        SimCluster world = begun(6);
        Random random = new Random(6);
        Set<String> cancelled = new HashSet<>();
        for (int i = 1; i <= 480; i++) {
            String uid = "job-%06d".formatted(i);
            world.submitMeanwhile(random.nextInt(3), SimCluster.job(uid, 1));
            world.seconds(0.25);
            if (i > 4 && random.nextInt(4) == 0) {
                String earlier = "job-%06d".formatted(i - random.nextInt(4));
                world.cancelMeanwhile(random.nextInt(3), earlier);
                cancelled.add(earlier);
            }
        }
        world.seconds(20);
        for (int i = 1; i <= 480; i++) {
            String uid = "job-%06d".formatted(i);
            assertThat(world.stage(i % 3, uid))
                    .as(uid)
                    .isIn(cancelled.contains(uid) ? List.of("done", "withdrawn") : List.of("done"));
        }
        nothingBroken(world);
    }

    /**
     * Guards workers and users of a leader that hears neither state service nor peers, while jobs are cancelled
     * elsewhere.
     */
    @Test
    void whatIsCancelledThroughANewLeaderStopsThoughWorkersStillReachTheOldOne() {
        SimCluster world = begun(7);
        world.submit(0, SimCluster.job("job-000001", 8));
        world.submit(0, SimCluster.job("job-000002", 8));
        world.untilStarted(16, 40 * SECOND);
        int old = world.leader();
        Rule isolated = world.network().add(FailureInjector.isolated(old));
        world.until(() -> world.leader() >= 0 && world.leader() != old);
        world.cancel(world.leader(), "job-000001");
        for (int i = 0; i < 30; i++) {
            world.pollMeanwhile(old, "job-000001");
            world.cancelMeanwhile(old, "job-000002");
            world.seconds(1);
        }
        assertThat(world.cloud().machines().values())
                .noneMatch(worker -> worker.running().stream().anyMatch(task -> task.startsWith("job-000001/")));
        world.network().remove(isolated);
        world.seconds(40);
        everyNodeSays(world, "job-000001", "withdrawn");
        nothingBroken(world);
    }
}
