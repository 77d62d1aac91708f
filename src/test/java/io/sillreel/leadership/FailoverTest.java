package io.sillreel.leadership;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import io.sillreel.http.HttpRequest;
import io.sillreel.http.Json;
import io.sillreel.sim.SimCluster;
import io.sillreel.sim.SimNetwork.Action;
import io.sillreel.sim.SimNetwork.Rule;
import io.sillreel.sim.TaskSteps;
import java.util.List;
import org.junit.jupiter.api.Test;

class FailoverTest {
    private final SimCluster cluster = new SimCluster(1);

    @Test
    void aJobRunsAndEveryControllerTellsItsEnd() {
        cluster.runSeconds(2);
        assertThat(cluster.submit(0, SimCluster.job("job-000001", 6)).status()).isEqualTo(201);
        cluster.runSeconds(30);
        for (int node = 0; node < 3; node++) {
            assertThat(cluster.stage(node, "job-000001")).isEqualTo("done");
        }
        assertThat(cluster.startCount()).isEqualTo(6);
        assertThat(cluster.violations()).isEmpty();
    }

    /** Guards the vote after a crash of all against the crowd that waits for it; an outage keeps nobody out. */
    @Test
    void thePublicIsLetInOnceItIsKnownWhoLeads() {
        assertThat(cluster.leader()).isEqualTo(-1);
        assertThat(cluster.isServing(0)).isFalse();
        cluster.runUntil(() -> cluster.isServing(0) && cluster.isServing(1) && cluster.isServing(2));
        assertThat(cluster.leader()).isNotEqualTo(-1);
        cluster.store().setOutage(true);
        cluster.restart(0);
        cluster.runSeconds(1);
        assertThat(cluster.isServing(0)).isTrue();
    }

    /** Guards a term against everything that is late: controllers that take 30 ms over each message still hold it. */
    @Test
    void slowControllersKeepTheirTermThroughACrashOfAll() {
        for (int node = 0; node < 3; node++) {
            cluster.setProcessingMicros(node, 30_000);
        }
        cluster.runSeconds(3);
        cluster.submit(0, SimCluster.job("job-000001", 12));
        cluster.runUntilStarted(12, 20_000_000);
        for (int node = 0; node < 3; node++) {
            cluster.restart(node);
            cluster.setProcessingMicros(node, 30_000);
        }
        cluster.runUntil(() -> cluster.leader() >= 0);
        int before = cluster.term();
        cluster.runSeconds(40);
        assertThat(cluster.term() - before).as("terms that ended without need").isLessThanOrEqualTo(1);
        cluster.runSeconds(60);
        assertThat(cluster.stage(1, "job-000001")).isEqualTo("done");
        assertThat(cluster.violations()).isEmpty();
    }

    @Test
    void theLeaderDiesBetweenStoringTheReleaseAndLaunching() {
        cluster.runSeconds(2);
        int leader = cluster.leader();
        cluster.submit((leader + 1) % 3, SimCluster.job("job-000001", 4));
        cluster.runUntil(() -> cluster.store().value("run/job-000001") != null);
        cluster.kill(leader);
        assertThat(cluster.startCount()).isZero();
        cluster.runSeconds(60);
        assertThat(cluster.leader()).isNotEqualTo(leader);
        assertThat(cluster.stage((leader + 1) % 3, "job-000001")).isEqualTo("done");
        assertThat(cluster.violations()).isEmpty();
    }

    @Test
    void theLeaderDiesWhileTasksRunAndTheyAreNotStartedAgain() {
        cluster.runSeconds(2);
        cluster.submit(0, SimCluster.job("job-000001", 4));
        cluster.runUntilStarted(4, 10_000_000);
        int leader = cluster.leader();
        cluster.kill(leader);
        cluster.runSeconds(40);
        assertThat(cluster.stage((leader + 1) % 3, "job-000001")).isEqualTo("done");
        assertThat(cluster.startCount()).isEqualTo(4);
        assertThat(cluster.violations()).isEmpty();
    }

    /** Guards the wait for machines that are not heard: their tasks may live for as long as their leases. */
    @Test
    void tasksOnAMachineThatTheNewLeaderCannotHearAreNotStartedElsewhere() {
        cluster.runSeconds(2);
        cluster.submit(0, SimCluster.job("job-000001", 8));
        String machine = TaskSteps.leaveTasksOnOneMachine(cluster, 8);
        int leader = cluster.leader();
        cluster.kill(leader);
        cluster.network()
                .addRule((from, to, request) -> from.equals(machine) || to.startsWith(machine) ? Action.DROP : null);
        cluster.runSeconds(80);
        assertThat(cluster.stage((leader + 1) % 3, "job-000001")).isEqualTo("done");
        assertThat(cluster.startCount()).isGreaterThan(8);
        assertThat(cluster.violations()).isEmpty();
    }

    @Test
    void aLeaderThatIsRestartedAtOnceTakesItsOwnLeaseOver() {
        cluster.runSeconds(2);
        cluster.submit(0, SimCluster.job("job-000001", 8));
        cluster.runUntil(() -> cluster.startCount() >= 3);
        int leader = cluster.leader();
        long term = cluster.store().value("term").path("term").asLong();
        cluster.restart(leader);
        cluster.runSeconds(1);
        assertThat(cluster.leader()).isEqualTo(leader);
        assertThat(cluster.store().value("term").path("term").asLong()).isEqualTo(term + 1);
        cluster.runSeconds(40);
        assertThat(cluster.stage(leader, "job-000001")).isEqualTo("done");
        assertThat(cluster.violations()).isEmpty();
    }

    @Test
    void allControllersDieAndWhatWasAcceptedStillRuns() {
        cluster.runSeconds(2);
        cluster.submit(0, SimCluster.job("job-000001", 10));
        cluster.submit(1, SimCluster.job("job-000002", 3));
        cluster.runSeconds(6);
        for (int node = 0; node < 3; node++) {
            cluster.kill(node);
        }
        cluster.runSeconds(3);
        for (int node = 0; node < 3; node++) {
            cluster.restart(node);
        }
        cluster.runSeconds(60);
        assertThat(cluster.stage(0, "job-000001")).isEqualTo("done");
        assertThat(cluster.stage(2, "job-000002")).isEqualTo("done");
        assertThat(cluster.violations()).isEmpty();
    }

    /** Guards the condition on the leader key: without it the late write would undo the successor's. */
    @Test
    void aLateTransactionOfTheOldLeaderFails() {
        cluster.runSeconds(2);
        int old = cluster.leader();
        String host = "10.0.0." + old;
        Rule hold = cluster.network()
                .addRule((from, to, request) -> from.equals(host)
                                && request.route().equals("/txn")
                                && new String(request.body(), UTF_8).contains("\"set\":\"run/")
                        ? Action.HOLD
                        : null);
        cluster.submit((old + 1) % 3, SimCluster.job("job-000001", 2));
        cluster.runSeconds(1);
        cluster.kill(old);
        cluster.network().removeRule(hold);
        cluster.runSeconds(30);
        assertThat(cluster.stage((old + 1) % 3, "job-000001")).isEqualTo("done");
        cluster.network().releaseHeld();
        cluster.runSeconds(2);
        assertThat(cluster.store().value("run/job-000001").path("stage").asText())
                .isEqualTo("done");
        assertThat(cluster.violations()).isEmpty();
    }

    @Test
    void aLeaderCutFromTheStateServiceStopsLaunchingAndIsSucceeded() {
        cluster.runSeconds(2);
        cluster.submit(0, SimCluster.job("job-000001", 4));
        cluster.runSeconds(8);
        int old = cluster.leader();
        String host = "10.0.0." + old;
        cluster.network()
                .addRule((from, to, request) -> from.equals(host) && to.equals("state:1") ? Action.DROP : null);
        cluster.runSeconds(5);
        assertThat(cluster.leader()).isNotEqualTo(old);
        int other = (old + 1) % 3;
        assertThat(cluster.submit(other, SimCluster.job("job-000002", 4)).status())
                .isEqualTo(201);
        cluster.runSeconds(40);
        assertThat(cluster.stage(other, "job-000001")).isEqualTo("done");
        assertThat(cluster.stage(other, "job-000002")).isEqualTo("done");
        assertThat(cluster.violations()).isEmpty();
    }

    /** Guards the grace period: tasks outlive an outage of the state service that is longer than a worker's lease. */
    @Test
    void tasksSurviveAnOutageOfTheStateService() {
        cluster.runSeconds(2);
        cluster.submit(0, SimCluster.job("job-000001", 2));
        cluster.runUntilStarted(2, 18_000_000);
        cluster.store().setOutage(true);
        cluster.runSeconds(14);
        assertThat(cluster.cloud().machines().values())
                .anyMatch(worker -> !worker.runningTasks().isEmpty());
        cluster.store().setOutage(false);
        cluster.runSeconds(15);
        assertThat(cluster.stage(0, "job-000001")).isEqualTo("done");
        assertThat(cluster.startCount()).isEqualTo(2);
        assertThat(cluster.violations()).isEmpty();
    }

    /**
     * Guards the grace period's bound: a leader that can't hear of cancellations must let the leases run out in time.
     */
    @Test
    void aLeaderCutFromTheStateServiceDoesNotKeepCancelledTasksAlive() {
        cluster.runSeconds(2);
        cluster.submit(0, SimCluster.job("job-000001", 2));
        cluster.runUntilStarted(2, 600_000_000);
        int old = cluster.leader();
        String host = "10.0.0." + old;
        // The old leader and its workers see nothing of the others.
        cluster.network()
                .addRule((from, to, request) -> from.equals(host) && !to.startsWith("host-")
                                || to.startsWith(host) && !from.startsWith("host-")
                                || from.startsWith("host-") && !to.startsWith(host)
                                || to.startsWith("host-") && !from.equals(host)
                        ? Action.DROP
                        : null);
        cluster.runSeconds(4);
        int other = (old + 1) % 3;
        assertThat(cluster.store().value("withdraw/job-000001")).isNull();
        cluster.runSeconds(1);
        cluster.runUntil(() -> cluster.cancel(other, "job-000001").isOk());
        cluster.runSeconds(40);
        assertThat(cluster.violations()).isEmpty();
        assertThat(cluster.cloud().machines().values())
                .allMatch(worker -> worker.runningTasks().isEmpty());
    }

    @Test
    void aWorkerCutFromTheLeaderReportsThroughAnotherController() {
        cluster.runSeconds(2);
        int leader = cluster.leader();
        cluster.network()
                .addRule((from, to, request) ->
                        from.startsWith("host-") && to.startsWith("10.0.0." + leader) ? Action.DROP : null);
        cluster.submit(leader, SimCluster.job("job-000001", 3));
        cluster.runSeconds(60);
        assertThat(cluster.leader()).isEqualTo(leader);
        assertThat(cluster.stage(leader, "job-000001")).isEqualTo("done");
        assertThat(cluster.violations()).isEmpty();
    }

    @Test
    void changesThatWereMissedEndTheTerm() {
        cluster.runSeconds(2);
        long term = cluster.store().value("term").path("term").asLong();
        cluster.store().compact();
        cluster.runSeconds(12);
        assertThat(cluster.store().value("term").path("term").asLong()).isGreaterThan(term);
        cluster.submit(0, SimCluster.job("job-000001", 1));
        cluster.runSeconds(30);
        assertThat(cluster.stage(1, "job-000001")).isEqualTo("done");
    }

    @Test
    void anOldTokenIsNotAnsweredAsIfItWereOurs() {
        cluster.runSeconds(2);
        int leader = cluster.leader();
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
        assertThat(cluster.send(leader, HttpRequest.post("/agent/beat", heartbeat))
                        .status())
                .isEqualTo(503);
        cluster.runSeconds(10);
        assertThat(cluster.leader()).isNotNegative();
    }

    /** Guards against waiting, after a crash, for machines whose tasks the earlier leader knew to be dead. */
    @Test
    void machinesThatWereSilentBeyondTheirLeasesHoldUpNoTakeover() {
        cluster.runSeconds(2);
        cluster.submit(0, SimCluster.job("job-000001", 900));
        cluster.runUntilStarted(30, 6_000_000);
        List<String> names = List.copyOf(cluster.cloud().machines().keySet());
        List<String> silent = names.subList(0, names.size() / 2);
        assertThat(silent).hasSizeGreaterThan(2);
        cluster.network()
                .addRule((from, to, request) ->
                        silent.contains(from) || silent.stream().anyMatch(to::startsWith) ? Action.DROP : null);
        cluster.runSeconds(16);
        int leader = cluster.leader();
        cluster.kill(leader);
        cluster.runUntil(() -> cluster.leader() >= 0 && cluster.leader() != leader);
        int before = cluster.startCount();
        cluster.runSeconds(10);
        assertThat(cluster.startCount()).isGreaterThan(before);
        assertThat(cluster.violations()).isEmpty();
    }

    /**
     * Guards against a leader that stands still, and acts on what it knew when it goes on: another one leads by then.
     */
    @Test
    void aLeaderThatStandsStillYieldsWhenItGoesOn() {
        cluster.runSeconds(2);
        cluster.submit(0, SimCluster.job("job-000001", 8));
        cluster.runUntilStarted(8, 30_000_000);
        cluster.cloud().machines().values().forEach(worker -> worker.setRunMicros(3_000_000));
        int leader = cluster.leader();
        cluster.pause(leader, 10_000_000);
        cluster.runUntil(() -> cluster.leader() >= 0 && cluster.leader() != leader);
        int next = cluster.leader();
        cluster.submit(next, SimCluster.job("job-000002", 4));
        cluster.runSeconds(20);
        assertThat(cluster.leader()).isEqualTo(next);
        assertThat(cluster.stage(leader, "job-000002")).isEqualTo("done");
        cluster.runSeconds(30);
        assertThat(cluster.stage(leader, "job-000001")).isEqualTo("done");
        assertThat(cluster.startCount()).isEqualTo(12);
        assertThat(cluster.violations()).isEmpty();
    }

    /** Guards against reports that a follower had in hand when it stood still, and hands on when it goes on. */
    @Test
    void aFollowerThatStandsStillHandsOnNothingThatMatters() {
        cluster.runSeconds(2);
        cluster.submit(0, SimCluster.job("job-000001", 40));
        cluster.runUntilStarted(16, 4_000_000);
        int leader = cluster.leader();
        int follower = (leader + 1) % 3;
        assertThat(cluster.cloud().machines().values()).anyMatch(worker -> worker.node() == follower);
        cluster.pause(follower, 14_000_000);
        cluster.runSeconds(60);
        assertThat(cluster.leader()).isEqualTo(leader);
        assertThat(cluster.stage(follower, "job-000001")).isEqualTo("done");
        assertThat(cluster.startCount()).isEqualTo(40);
        assertThat(cluster.violations()).isEmpty();
    }

    /**
     * Guards an election against a candidate that stands still with the lease half taken: nobody waits for it for long.
     */
    @Test
    void aCandidateThatStandsStillInMidElectionHoldsUpNobody() {
        for (int halfSeconds = 4; halfSeconds <= 8; halfSeconds++) {
            SimCluster each = new SimCluster(30 + halfSeconds);
            each.runSeconds(2);
            each.submit(0, SimCluster.job("job-000001", 8));
            each.runUntil(() -> each.startCount() >= 8);
            int leader = each.leader();
            each.kill(leader);
            each.runSeconds(halfSeconds / 2.0);
            each.pause((leader + 1) % 3, 15_000_000);
            each.runSeconds(10);
            assertThat(each.leader()).as("after %d half seconds", halfSeconds).isEqualTo((leader + 2) % 3);
            each.runSeconds(60);
            assertThat(each.stage((leader + 1) % 3, "job-000001")).isEqualTo("done");
            assertThat(each.violations()).isEmpty();
        }
    }
}
