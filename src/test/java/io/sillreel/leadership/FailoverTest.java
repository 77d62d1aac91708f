package io.sillreel.leadership;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import io.sillreel.http.HttpRequest;
import io.sillreel.http.Json;
import io.sillreel.sim.SimCluster;
import io.sillreel.sim.SimNetwork.Fate;
import io.sillreel.sim.SimNetwork.Rule;
import io.sillreel.sim.TaskSteps;
import java.util.List;
import org.junit.jupiter.api.Test;

class FailoverTest {
    private final SimCluster world = new SimCluster(1);

    @Test
    void aJobRunsAndEveryControllerTellsItsEnd() {
        world.seconds(2);
        assertThat(world.submit(0, SimCluster.job("job-000001", 6)).status()).isEqualTo(201);
        world.seconds(30);
        for (int node = 0; node < 3; node++) {
            assertThat(world.stage(node, "job-000001")).isEqualTo("done");
        }
        assertThat(world.starts()).isEqualTo(6);
        assertThat(world.broken()).isEmpty();
    }

    /** Guards the vote after a crash of all against the crowd that waits for it; an outage keeps nobody out. */
    @Test
    void thePublicIsLetInOnceItIsKnownWhoLeads() {
        assertThat(world.leader()).isEqualTo(-1);
        assertThat(world.isOpen(0)).isFalse();
        world.until(() -> world.isOpen(0) && world.isOpen(1) && world.isOpen(2));
        assertThat(world.leader()).isNotEqualTo(-1);
        world.state().outage(true);
        world.restart(0);
        world.seconds(1);
        assertThat(world.isOpen(0)).isTrue();
    }

    /** Guards a term against everything that is late: controllers that take 30 ms over each message still hold it. */
    @Test
    void slowControllersKeepTheirTermThroughACrashOfAll() {
        for (int node = 0; node < 3; node++) {
            world.slow(node, 30_000);
        }
        world.seconds(3);
        world.submit(0, SimCluster.job("job-000001", 12));
        world.untilStarted(12, 20_000_000);
        for (int node = 0; node < 3; node++) {
            world.restart(node);
            world.slow(node, 30_000);
        }
        world.until(() -> world.leader() >= 0);
        int before = world.term();
        world.seconds(40);
        assertThat(world.term() - before).as("terms that ended without need").isLessThanOrEqualTo(1);
        world.seconds(60);
        assertThat(world.stage(1, "job-000001")).isEqualTo("done");
        assertThat(world.broken()).isEmpty();
    }

    @Test
    void theLeaderDiesBetweenStoringTheReleaseAndLaunching() {
        world.seconds(2);
        int leader = world.leader();
        world.submit((leader + 1) % 3, SimCluster.job("job-000001", 4));
        world.until(() -> world.state().value("run/job-000001") != null);
        world.kill(leader);
        assertThat(world.starts()).isZero();
        world.seconds(60);
        assertThat(world.leader()).isNotEqualTo(leader);
        assertThat(world.stage((leader + 1) % 3, "job-000001")).isEqualTo("done");
        assertThat(world.broken()).isEmpty();
    }

    @Test
    void theLeaderDiesWhileTasksRunAndTheyAreNotStartedAgain() {
        world.seconds(2);
        world.submit(0, SimCluster.job("job-000001", 4));
        world.untilStarted(4, 10_000_000);
        int leader = world.leader();
        world.kill(leader);
        world.seconds(40);
        assertThat(world.stage((leader + 1) % 3, "job-000001")).isEqualTo("done");
        assertThat(world.starts()).isEqualTo(4);
        assertThat(world.broken()).isEmpty();
    }

    /** Guards the wait for machines that are not heard: their tasks may live for as long as their leases. */
    @Test
    void tasksOnAMachineThatTheNewLeaderCannotHearAreNotStartedElsewhere() {
        world.seconds(2);
        world.submit(0, SimCluster.job("job-000001", 8));
        String machine = TaskSteps.leaveTasksOnOneMachine(world, 8);
        int leader = world.leader();
        world.kill(leader);
        world.network().add((from, to, request) -> from.equals(machine) || to.startsWith(machine) ? Fate.LOSE : null);
        world.seconds(80);
        assertThat(world.stage((leader + 1) % 3, "job-000001")).isEqualTo("done");
        assertThat(world.starts()).isGreaterThan(8);
        assertThat(world.broken()).isEmpty();
    }

    @Test
    void aLeaderThatIsRestartedAtOnceTakesItsOwnLeaseOver() {
        world.seconds(2);
        world.submit(0, SimCluster.job("job-000001", 8));
        world.until(() -> world.starts() >= 3);
        int leader = world.leader();
        long term = world.state().value("term").path("term").asLong();
        world.restart(leader);
        world.seconds(1);
        assertThat(world.leader()).isEqualTo(leader);
        assertThat(world.state().value("term").path("term").asLong()).isEqualTo(term + 1);
        world.seconds(40);
        assertThat(world.stage(leader, "job-000001")).isEqualTo("done");
        assertThat(world.broken()).isEmpty();
    }

    @Test
    void allControllersDieAndWhatWasAcceptedStillRuns() {
        world.seconds(2);
        world.submit(0, SimCluster.job("job-000001", 10));
        world.submit(1, SimCluster.job("job-000002", 3));
        world.seconds(6);
        for (int node = 0; node < 3; node++) {
            world.kill(node);
        }
        world.seconds(3);
        for (int node = 0; node < 3; node++) {
            world.restart(node);
        }
        world.seconds(60);
        assertThat(world.stage(0, "job-000001")).isEqualTo("done");
        assertThat(world.stage(2, "job-000002")).isEqualTo("done");
        assertThat(world.broken()).isEmpty();
    }

    /** Guards the condition on the leader key: without it the late write would undo the successor's. */
    @Test
    void aLateTransactionOfTheOldLeaderFails() {
        world.seconds(2);
        int old = world.leader();
        String host = "10.0.0." + old;
        Rule hold = world.network()
                .add((from, to, request) -> from.equals(host)
                                && request.route().equals("/txn")
                                && new String(request.body(), UTF_8).contains("\"set\":\"run/")
                        ? Fate.HOLD
                        : null);
        world.submit((old + 1) % 3, SimCluster.job("job-000001", 2));
        world.seconds(1);
        world.kill(old);
        world.network().remove(hold);
        world.seconds(30);
        assertThat(world.stage((old + 1) % 3, "job-000001")).isEqualTo("done");
        world.network().release();
        world.seconds(2);
        assertThat(world.state().value("run/job-000001").path("stage").asText()).isEqualTo("done");
        assertThat(world.broken()).isEmpty();
    }

    @Test
    void aLeaderCutFromTheStateServiceStopsLaunchingAndIsSucceeded() {
        world.seconds(2);
        world.submit(0, SimCluster.job("job-000001", 4));
        world.seconds(8);
        int old = world.leader();
        String host = "10.0.0." + old;
        world.network().add((from, to, request) -> from.equals(host) && to.equals("state:1") ? Fate.LOSE : null);
        world.seconds(5);
        assertThat(world.leader()).isNotEqualTo(old);
        int other = (old + 1) % 3;
        assertThat(world.submit(other, SimCluster.job("job-000002", 4)).status())
                .isEqualTo(201);
        world.seconds(40);
        assertThat(world.stage(other, "job-000001")).isEqualTo("done");
        assertThat(world.stage(other, "job-000002")).isEqualTo("done");
        assertThat(world.broken()).isEmpty();
    }

    /** Guards the grace period: tasks outlive an outage of the state service that is longer than a worker's lease. */
    @Test
    void tasksSurviveAnOutageOfTheStateService() {
        world.seconds(2);
        world.submit(0, SimCluster.job("job-000001", 2));
        world.untilStarted(2, 18_000_000);
        world.state().outage(true);
        world.seconds(14);
        assertThat(world.cloud().machines().values())
                .anyMatch(worker -> !worker.running().isEmpty());
        world.state().outage(false);
        world.seconds(15);
        assertThat(world.stage(0, "job-000001")).isEqualTo("done");
        assertThat(world.starts()).isEqualTo(2);
        assertThat(world.broken()).isEmpty();
    }

    /**
     * Guards the grace period's bound: a leader that can't hear of cancellations must let the leases run out in time.
     */
    @Test
    void aLeaderCutFromTheStateServiceDoesNotKeepCancelledTasksAlive() {
        world.seconds(2);
        world.submit(0, SimCluster.job("job-000001", 2));
        world.untilStarted(2, 600_000_000);
        int old = world.leader();
        String host = "10.0.0." + old;
        // The old leader and its workers see nothing of the others.
        world.network()
                .add((from, to, request) -> from.equals(host) && !to.startsWith("host-")
                                || to.startsWith(host) && !from.startsWith("host-")
                                || from.startsWith("host-") && !to.startsWith(host)
                                || to.startsWith("host-") && !from.equals(host)
                        ? Fate.LOSE
                        : null);
        world.seconds(4);
        int other = (old + 1) % 3;
        assertThat(world.state().value("withdraw/job-000001")).isNull();
        world.seconds(1);
        world.until(() -> world.cancel(other, "job-000001").isOk());
        world.seconds(40);
        assertThat(world.broken()).isEmpty();
        assertThat(world.cloud().machines().values())
                .allMatch(worker -> worker.running().isEmpty());
    }

    @Test
    void aWorkerCutFromTheLeaderReportsThroughAnotherController() {
        world.seconds(2);
        int leader = world.leader();
        world.network()
                .add((from, to, request) ->
                        from.startsWith("host-") && to.startsWith("10.0.0." + leader) ? Fate.LOSE : null);
        world.submit(leader, SimCluster.job("job-000001", 3));
        world.seconds(60);
        assertThat(world.leader()).isEqualTo(leader);
        assertThat(world.stage(leader, "job-000001")).isEqualTo("done");
        assertThat(world.broken()).isEmpty();
    }

    @Test
    void changesThatWereMissedEndTheTerm() {
        world.seconds(2);
        long term = world.state().value("term").path("term").asLong();
        world.state().compact();
        world.seconds(12);
        assertThat(world.state().value("term").path("term").asLong()).isGreaterThan(term);
        world.submit(0, SimCluster.job("job-000001", 1));
        world.seconds(30);
        assertThat(world.stage(1, "job-000001")).isEqualTo("done");
    }

    @Test
    void anOldTokenIsNotAnsweredAsIfItWereOurs() {
        world.seconds(2);
        int leader = world.leader();
        var heartbeat = Json.object()
                .put("hopper", "host-000999")
                .put("addr", "x:1")
                .put("build", "c4")
                .put("yard", "a")
                .put("loaners", true)
                .put("shift", 1)
                .put("tally", 1)
                .put("baton", 99);
        heartbeat.putArray("pieces");
        assertThat(world.ask(leader, HttpRequest.post("/agent/beat", heartbeat)).status())
                .isEqualTo(503);
        world.seconds(10);
        assertThat(world.leader()).isNotNegative();
    }

    /** Guards against waiting, after a crash, for machines whose tasks the earlier leader knew to be dead. */
    @Test
    void machinesThatWereSilentBeyondTheirLeasesHoldUpNoTakeover() {
        world.seconds(2);
        world.submit(0, SimCluster.job("job-000001", 900));
        world.untilStarted(30, 6_000_000);
        List<String> names = List.copyOf(world.cloud().machines().keySet());
        List<String> silent = names.subList(0, names.size() / 2);
        assertThat(silent).hasSizeGreaterThan(2);
        world.network()
                .add((from, to, request) ->
                        silent.contains(from) || silent.stream().anyMatch(to::startsWith) ? Fate.LOSE : null);
        world.seconds(16);
        int leader = world.leader();
        world.kill(leader);
        world.until(() -> world.leader() >= 0 && world.leader() != leader);
        int before = world.starts();
        world.seconds(10);
        assertThat(world.starts()).isGreaterThan(before);
        assertThat(world.broken()).isEmpty();
    }

    /**
     * Guards against a leader that stands still, and acts on what it knew when it goes on: another one leads by then.
     */
    @Test
    void aLeaderThatStandsStillYieldsWhenItGoesOn() {
        world.seconds(2);
        world.submit(0, SimCluster.job("job-000001", 8));
        world.untilStarted(8, 30_000_000);
        world.cloud().machines().values().forEach(worker -> worker.runMicros(3_000_000));
        int leader = world.leader();
        world.freeze(leader, 10_000_000);
        world.until(() -> world.leader() >= 0 && world.leader() != leader);
        int next = world.leader();
        world.submit(next, SimCluster.job("job-000002", 4));
        world.seconds(20);
        assertThat(world.leader()).isEqualTo(next);
        assertThat(world.stage(leader, "job-000002")).isEqualTo("done");
        world.seconds(30);
        assertThat(world.stage(leader, "job-000001")).isEqualTo("done");
        assertThat(world.starts()).isEqualTo(12);
        assertThat(world.broken()).isEmpty();
    }

    /** Guards against reports that a follower had in hand when it stood still, and hands on when it goes on. */
    @Test
    void aFollowerThatStandsStillHandsOnNothingThatMatters() {
        world.seconds(2);
        world.submit(0, SimCluster.job("job-000001", 40));
        world.untilStarted(16, 4_000_000);
        int leader = world.leader();
        int follower = (leader + 1) % 3;
        assertThat(world.cloud().machines().values()).anyMatch(worker -> worker.node() == follower);
        world.freeze(follower, 14_000_000);
        world.seconds(60);
        assertThat(world.leader()).isEqualTo(leader);
        assertThat(world.stage(follower, "job-000001")).isEqualTo("done");
        assertThat(world.starts()).isEqualTo(40);
        assertThat(world.broken()).isEmpty();
    }

    /**
     * Guards an election against a candidate that stands still with the lease half taken: nobody waits for it for long.
     */
    @Test
    void aCandidateThatStandsStillInMidElectionHoldsUpNobody() {
        for (int halfSeconds = 4; halfSeconds <= 8; halfSeconds++) {
            SimCluster each = new SimCluster(30 + halfSeconds);
            each.seconds(2);
            each.submit(0, SimCluster.job("job-000001", 8));
            each.until(() -> each.starts() >= 8);
            int leader = each.leader();
            each.kill(leader);
            each.seconds(halfSeconds / 2.0);
            each.freeze((leader + 1) % 3, 15_000_000);
            each.seconds(10);
            assertThat(each.leader()).as("after %d half seconds", halfSeconds).isEqualTo((leader + 2) % 3);
            each.seconds(60);
            assertThat(each.stage((leader + 1) % 3, "job-000001")).isEqualTo("done");
            assertThat(each.broken()).isEmpty();
        }
    }
}
