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
    void everyControllerReportsACompletedJobAsDone() {
        cluster.runSeconds(2);
        assertThat(cluster.submit(0, SimCluster.job("job-000001", 6)).status()).isEqualTo(201);
        cluster.runSeconds(30);
        for (int node = 0; node < 3; node++) {
            assertThat(cluster.stage(node, "job-000001")).isEqualTo("done");
        }
        assertThat(cluster.startCount()).isEqualTo(6);
        assertThat(cluster.violations()).isEmpty();
    }

    /**
     * The public port opens only after the election, which waiting agents and users would slow down after a restart of
     * all controllers. An outage of the state service must not keep it closed.
     */
    @Test
    void opensThePublicPortOnceTheLeaderIsKnown() {
        assertThat(cluster.leader()).isEqualTo(-1);
        assertThat(cluster.isServing(0)).isFalse();
        cluster.runUntil(() -> cluster.isServing(0) && cluster.isServing(1) && cluster.isServing(2));
        assertThat(cluster.leader()).isNotEqualTo(-1);
        cluster.store().setOutage(true);
        cluster.restart(0);
        cluster.runSeconds(1);
        assertThat(cluster.isServing(0)).isTrue();
    }

    /** Controllers that need 30 ms for each message must still renew the lease in time. */
    @Test
    void slowControllersKeepLeadershipAfterAFullRestart() {
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
        int termBefore = cluster.term();
        cluster.runSeconds(40);
        assertThat(cluster.term() - termBefore)
                .as("unnecessary changes of term")
                .isLessThanOrEqualTo(1);
        cluster.runSeconds(60);
        assertThat(cluster.stage(1, "job-000001")).isEqualTo("done");
        assertThat(cluster.violations()).isEmpty();
    }

    @Test
    void newLeaderLaunchesAJobReleasedBeforeTheLeaderCrashed() {
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
    void runningTasksAreNotRestartedAfterALeaderCrash() {
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

    /** A machine that the new leader can't reach may keep its tasks running until its lease expires. */
    @Test
    void tasksOfAnUnreachableMachineAreNotRestartedBeforeItsLeaseExpires() {
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
    void restartedLeaderIsReelectedWithoutWaitingForItsLeaseToExpire() {
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
    void acceptedJobsCompleteAfterAllControllersCrash() {
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

    /** Without the condition on the leader key, the late write would overwrite that of the successor. */
    @Test
    void lateTransactionOfAFormerLeaderIsRejected() {
        cluster.runSeconds(2);
        int formerLeader = cluster.leader();
        String host = "10.0.0." + formerLeader;
        Rule holdRule = cluster.network()
                .addRule((from, to, request) -> from.equals(host)
                                && request.route().equals("/txn")
                                && new String(request.body(), UTF_8).contains("\"set\":\"run/")
                        ? Action.HOLD
                        : null);
        cluster.submit((formerLeader + 1) % 3, SimCluster.job("job-000001", 2));
        cluster.runSeconds(1);
        cluster.kill(formerLeader);
        cluster.network().removeRule(holdRule);
        cluster.runSeconds(30);
        assertThat(cluster.stage((formerLeader + 1) % 3, "job-000001")).isEqualTo("done");
        cluster.network().releaseHeld();
        cluster.runSeconds(2);
        assertThat(cluster.store().value("run/job-000001").path("stage").asText())
                .isEqualTo("done");
        assertThat(cluster.violations()).isEmpty();
    }

    @Test
    void leaderPartitionedFromStateServiceIsReplaced() {
        cluster.runSeconds(2);
        cluster.submit(0, SimCluster.job("job-000001", 4));
        cluster.runSeconds(8);
        int formerLeader = cluster.leader();
        String host = "10.0.0." + formerLeader;
        cluster.network()
                .addRule((from, to, request) -> from.equals(host) && to.equals("state:1") ? Action.DROP : null);
        cluster.runSeconds(5);
        assertThat(cluster.leader()).isNotEqualTo(formerLeader);
        int other = (formerLeader + 1) % 3;
        assertThat(cluster.submit(other, SimCluster.job("job-000002", 4)).status())
                .isEqualTo(201);
        cluster.runSeconds(40);
        assertThat(cluster.stage(other, "job-000001")).isEqualTo("done");
        assertThat(cluster.stage(other, "job-000002")).isEqualTo("done");
        assertThat(cluster.violations()).isEmpty();
    }

    /** Tests the grace period: tasks survive an outage of the state service longer than the lease of a machine. */
    @Test
    void runningTasksSurviveStateServiceOutage() {
        cluster.runSeconds(2);
        cluster.submit(0, SimCluster.job("job-000001", 2));
        cluster.runUntilStarted(2, 18_000_000);
        cluster.store().setOutage(true);
        cluster.runSeconds(14);
        assertThat(cluster.cloud().machines().values())
                .anyMatch(machine -> !machine.runningTasks().isEmpty());
        cluster.store().setOutage(false);
        cluster.runSeconds(15);
        assertThat(cluster.stage(0, "job-000001")).isEqualTo("done");
        assertThat(cluster.startCount()).isEqualTo(2);
        assertThat(cluster.violations()).isEmpty();
    }

    /**
     * Tests the end of the grace period: a leader that can't learn of cancellations must let the leases of machines
     * expire in time.
     */
    @Test
    void leaderPartitionedFromStateServiceDoesNotKeepCancelledTasksAlive() {
        cluster.runSeconds(2);
        cluster.submit(0, SimCluster.job("job-000001", 2));
        cluster.runUntilStarted(2, 600_000_000);
        int formerLeader = cluster.leader();
        String host = "10.0.0." + formerLeader;
        // The former leader and the machines are partitioned from everything else.
        cluster.network()
                .addRule((from, to, request) -> from.equals(host) && !to.startsWith("host-")
                                || to.startsWith(host) && !from.startsWith("host-")
                                || from.startsWith("host-") && !to.startsWith(host)
                                || to.startsWith("host-") && !from.equals(host)
                        ? Action.DROP
                        : null);
        cluster.runSeconds(4);
        int other = (formerLeader + 1) % 3;
        assertThat(cluster.store().value("withdraw/job-000001")).isNull();
        cluster.runSeconds(1);
        cluster.runUntil(() -> cluster.cancel(other, "job-000001").isOk());
        cluster.runSeconds(40);
        assertThat(cluster.violations()).isEmpty();
        assertThat(cluster.cloud().machines().values())
                .allMatch(machine -> machine.runningTasks().isEmpty());
    }

    @Test
    void agentPartitionedFromTheLeaderReportsThroughAFollower() {
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
    void compactedWatchEndsTheTerm() {
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
    void heartbeatWithANewerFencingTokenIsRejected() {
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

    /** Guards against a new leader that waits for machines whose leases had expired before the crash. */
    @Test
    void failoverDoesNotWaitForMachinesWithExpiredLeases() {
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
        int startsBefore = cluster.startCount();
        cluster.runSeconds(10);
        assertThat(cluster.startCount()).isGreaterThan(startsBefore);
        assertThat(cluster.violations()).isEmpty();
    }

    /**
     * Guards against a leader that is paused, for example by the operating system, and acts on outdated state when it
     * resumes, after another controller has been elected.
     */
    @Test
    void pausedLeaderYieldsToItsSuccessorWhenItResumes() {
        cluster.runSeconds(2);
        cluster.submit(0, SimCluster.job("job-000001", 8));
        cluster.runUntilStarted(8, 30_000_000);
        cluster.cloud().machines().values().forEach(machine -> machine.setRunMicros(3_000_000));
        int leader = cluster.leader();
        cluster.pause(leader, 10_000_000);
        cluster.runUntil(() -> cluster.leader() >= 0 && cluster.leader() != leader);
        int successor = cluster.leader();
        cluster.submit(successor, SimCluster.job("job-000002", 4));
        cluster.runSeconds(20);
        assertThat(cluster.leader()).isEqualTo(successor);
        assertThat(cluster.stage(leader, "job-000002")).isEqualTo("done");
        cluster.runSeconds(30);
        assertThat(cluster.stage(leader, "job-000001")).isEqualTo("done");
        assertThat(cluster.startCount()).isEqualTo(12);
        assertThat(cluster.violations()).isEmpty();
    }

    /** Guards against heartbeats that a paused follower relays to the leader only when it resumes. */
    @Test
    void outdatedHeartbeatsOfAResumedFollowerHaveNoEffect() {
        cluster.runSeconds(2);
        cluster.submit(0, SimCluster.job("job-000001", 40));
        cluster.runUntilStarted(16, 4_000_000);
        int leader = cluster.leader();
        int follower = (leader + 1) % 3;
        assertThat(cluster.cloud().machines().values()).anyMatch(machine -> machine.node() == follower);
        cluster.pause(follower, 14_000_000);
        cluster.runSeconds(60);
        assertThat(cluster.leader()).isEqualTo(leader);
        assertThat(cluster.stage(follower, "job-000001")).isEqualTo("done");
        assertThat(cluster.startCount()).isEqualTo(40);
        assertThat(cluster.violations()).isEmpty();
    }

    /**
     * Guards against a candidate that is paused between its lease request and its claim: the other controller must be
     * elected without a long wait.
     */
    @Test
    void candidatePausedDuringAnElectionDoesNotBlockIt() {
        for (int halfSeconds = 4; halfSeconds <= 8; halfSeconds++) {
            SimCluster candidateCluster = new SimCluster(30 + halfSeconds);
            candidateCluster.runSeconds(2);
            candidateCluster.submit(0, SimCluster.job("job-000001", 8));
            candidateCluster.runUntil(() -> candidateCluster.startCount() >= 8);
            int leader = candidateCluster.leader();
            candidateCluster.kill(leader);
            candidateCluster.runSeconds(halfSeconds / 2.0);
            candidateCluster.pause((leader + 1) % 3, 15_000_000);
            candidateCluster.runSeconds(10);
            assertThat(candidateCluster.leader())
                    .as("after %d half seconds", halfSeconds)
                    .isEqualTo((leader + 2) % 3);
            candidateCluster.runSeconds(60);
            assertThat(candidateCluster.stage((leader + 1) % 3, "job-000001")).isEqualTo("done");
            assertThat(candidateCluster.violations()).isEmpty();
        }
    }
}
