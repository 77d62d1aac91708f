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
    private final SimCluster cluster = new SimCluster(1);

    @Test
    void everyControllerReportsACompletedJobAsDone() {
        cluster.seconds(2);
        assertThat(cluster.submit(0, SimCluster.job("job-000001", 6)).status()).isEqualTo(201);
        cluster.seconds(30);
        for (int node = 0; node < 3; node++) {
            assertThat(cluster.stage(node, "job-000001")).isEqualTo("done");
        }
        assertThat(cluster.starts()).isEqualTo(6);
        assertThat(cluster.broken()).isEmpty();
    }

    /**
     * The public port opens only after the election, which waiting agents and users would slow down after a restart of
     * all controllers. An outage of the state store must not keep it closed.
     */
    @Test
    void opensThePublicPortOnceTheLeaderIsKnown() {
        assertThat(cluster.leader()).isEqualTo(-1);
        assertThat(cluster.isOpen(0)).isFalse();
        cluster.until(() -> cluster.isOpen(0) && cluster.isOpen(1) && cluster.isOpen(2));
        assertThat(cluster.leader()).isNotEqualTo(-1);
        cluster.state().outage(true);
        cluster.restart(0);
        cluster.seconds(1);
        assertThat(cluster.isOpen(0)).isTrue();
    }

    /** Controllers that need 30 ms for each message must still renew the lease in time. */
    @Test
    void slowControllersKeepLeadershipAfterAFullRestart() {
        for (int node = 0; node < 3; node++) {
            cluster.slow(node, 30_000);
        }
        cluster.seconds(3);
        cluster.submit(0, SimCluster.job("job-000001", 12));
        cluster.untilStarted(12, 20_000_000);
        for (int node = 0; node < 3; node++) {
            cluster.restart(node);
            cluster.slow(node, 30_000);
        }
        cluster.until(() -> cluster.leader() >= 0);
        int termBefore = cluster.term();
        cluster.seconds(40);
        assertThat(cluster.term() - termBefore)
                .as("unnecessary changes of term")
                .isLessThanOrEqualTo(1);
        cluster.seconds(60);
        assertThat(cluster.stage(1, "job-000001")).isEqualTo("done");
        assertThat(cluster.broken()).isEmpty();
    }

    @Test
    void newLeaderLaunchesAJobReleasedBeforeTheLeaderCrashed() {
        cluster.seconds(2);
        int leader = cluster.leader();
        cluster.submit((leader + 1) % 3, SimCluster.job("job-000001", 4));
        cluster.until(() -> cluster.state().value("run/job-000001") != null);
        cluster.kill(leader);
        assertThat(cluster.starts()).isZero();
        cluster.seconds(60);
        assertThat(cluster.leader()).isNotEqualTo(leader);
        assertThat(cluster.stage((leader + 1) % 3, "job-000001")).isEqualTo("done");
        assertThat(cluster.broken()).isEmpty();
    }

    @Test
    void runningTasksAreNotRestartedAfterALeaderCrash() {
        cluster.seconds(2);
        cluster.submit(0, SimCluster.job("job-000001", 4));
        cluster.untilStarted(4, 10_000_000);
        int leader = cluster.leader();
        cluster.kill(leader);
        cluster.seconds(40);
        assertThat(cluster.stage((leader + 1) % 3, "job-000001")).isEqualTo("done");
        assertThat(cluster.starts()).isEqualTo(4);
        assertThat(cluster.broken()).isEmpty();
    }

    /** A machine that the new leader can't reach may keep its tasks running until its lease expires. */
    @Test
    void tasksOfAnUnreachableMachineAreNotRestartedBeforeItsLeaseExpires() {
        cluster.seconds(2);
        cluster.submit(0, SimCluster.job("job-000001", 8));
        String machine = TaskSteps.leaveTasksOnOneMachine(cluster, 8);
        int leader = cluster.leader();
        cluster.kill(leader);
        cluster.network().add((from, to, request) -> from.equals(machine) || to.startsWith(machine) ? Fate.LOSE : null);
        cluster.seconds(80);
        assertThat(cluster.stage((leader + 1) % 3, "job-000001")).isEqualTo("done");
        assertThat(cluster.starts()).isGreaterThan(8);
        assertThat(cluster.broken()).isEmpty();
    }

    @Test
    void restartedLeaderIsReelectedWithoutWaitingForItsLeaseToExpire() {
        cluster.seconds(2);
        cluster.submit(0, SimCluster.job("job-000001", 8));
        cluster.until(() -> cluster.starts() >= 3);
        int leader = cluster.leader();
        long term = cluster.state().value("term").path("term").asLong();
        cluster.restart(leader);
        cluster.seconds(1);
        assertThat(cluster.leader()).isEqualTo(leader);
        assertThat(cluster.state().value("term").path("term").asLong()).isEqualTo(term + 1);
        cluster.seconds(40);
        assertThat(cluster.stage(leader, "job-000001")).isEqualTo("done");
        assertThat(cluster.broken()).isEmpty();
    }

    @Test
    void acceptedJobsCompleteAfterAllControllersCrash() {
        cluster.seconds(2);
        cluster.submit(0, SimCluster.job("job-000001", 10));
        cluster.submit(1, SimCluster.job("job-000002", 3));
        cluster.seconds(6);
        for (int node = 0; node < 3; node++) {
            cluster.kill(node);
        }
        cluster.seconds(3);
        for (int node = 0; node < 3; node++) {
            cluster.restart(node);
        }
        cluster.seconds(60);
        assertThat(cluster.stage(0, "job-000001")).isEqualTo("done");
        assertThat(cluster.stage(2, "job-000002")).isEqualTo("done");
        assertThat(cluster.broken()).isEmpty();
    }

    /** Without the condition on the leader key, the late write would overwrite that of the successor. */
    @Test
    void lateTransactionOfAFormerLeaderIsRejected() {
        cluster.seconds(2);
        int formerLeader = cluster.leader();
        String host = "10.0.0." + formerLeader;
        Rule holdRule = cluster.network()
                .add((from, to, request) -> from.equals(host)
                                && request.route().equals("/txn")
                                && new String(request.body(), UTF_8).contains("\"set\":\"run/")
                        ? Fate.HOLD
                        : null);
        cluster.submit((formerLeader + 1) % 3, SimCluster.job("job-000001", 2));
        cluster.seconds(1);
        cluster.kill(formerLeader);
        cluster.network().remove(holdRule);
        cluster.seconds(30);
        assertThat(cluster.stage((formerLeader + 1) % 3, "job-000001")).isEqualTo("done");
        cluster.network().release();
        cluster.seconds(2);
        assertThat(cluster.state().value("run/job-000001").path("stage").asText())
                .isEqualTo("done");
        assertThat(cluster.broken()).isEmpty();
    }

    @Test
    void leaderPartitionedFromTheStateStoreIsReplaced() {
        cluster.seconds(2);
        cluster.submit(0, SimCluster.job("job-000001", 4));
        cluster.seconds(8);
        int formerLeader = cluster.leader();
        String host = "10.0.0." + formerLeader;
        cluster.network().add((from, to, request) -> from.equals(host) && to.equals("state:1") ? Fate.LOSE : null);
        cluster.seconds(5);
        assertThat(cluster.leader()).isNotEqualTo(formerLeader);
        int other = (formerLeader + 1) % 3;
        assertThat(cluster.submit(other, SimCluster.job("job-000002", 4)).status())
                .isEqualTo(201);
        cluster.seconds(40);
        assertThat(cluster.stage(other, "job-000001")).isEqualTo("done");
        assertThat(cluster.stage(other, "job-000002")).isEqualTo("done");
        assertThat(cluster.broken()).isEmpty();
    }

    /** Tests the grace period: tasks survive a state store outage that is longer than the lease of a machine. */
    @Test
    void runningTasksSurviveAStateStoreOutage() {
        cluster.seconds(2);
        cluster.submit(0, SimCluster.job("job-000001", 2));
        cluster.untilStarted(2, 18_000_000);
        cluster.state().outage(true);
        cluster.seconds(14);
        assertThat(cluster.cloud().machines().values())
                .anyMatch(machine -> !machine.running().isEmpty());
        cluster.state().outage(false);
        cluster.seconds(15);
        assertThat(cluster.stage(0, "job-000001")).isEqualTo("done");
        assertThat(cluster.starts()).isEqualTo(2);
        assertThat(cluster.broken()).isEmpty();
    }

    /**
     * Tests the end of the grace period: a leader that can't learn of cancellations must let the leases of machines
     * expire in time.
     */
    @Test
    void leaderPartitionedFromTheStateStoreDoesNotKeepCancelledTasksAlive() {
        cluster.seconds(2);
        cluster.submit(0, SimCluster.job("job-000001", 2));
        cluster.untilStarted(2, 600_000_000);
        int formerLeader = cluster.leader();
        String host = "10.0.0." + formerLeader;
        // The former leader and the machines are partitioned from everything else.
        cluster.network()
                .add((from, to, request) -> from.equals(host) && !to.startsWith("host-")
                                || to.startsWith(host) && !from.startsWith("host-")
                                || from.startsWith("host-") && !to.startsWith(host)
                                || to.startsWith("host-") && !from.equals(host)
                        ? Fate.LOSE
                        : null);
        cluster.seconds(4);
        int other = (formerLeader + 1) % 3;
        assertThat(cluster.state().value("withdraw/job-000001")).isNull();
        cluster.seconds(1);
        cluster.until(() -> cluster.cancel(other, "job-000001").isOk());
        cluster.seconds(40);
        assertThat(cluster.broken()).isEmpty();
        assertThat(cluster.cloud().machines().values())
                .allMatch(machine -> machine.running().isEmpty());
    }

    @Test
    void agentPartitionedFromTheLeaderReportsThroughAFollower() {
        cluster.seconds(2);
        int leader = cluster.leader();
        cluster.network()
                .add((from, to, request) ->
                        from.startsWith("host-") && to.startsWith("10.0.0." + leader) ? Fate.LOSE : null);
        cluster.submit(leader, SimCluster.job("job-000001", 3));
        cluster.seconds(60);
        assertThat(cluster.leader()).isEqualTo(leader);
        assertThat(cluster.stage(leader, "job-000001")).isEqualTo("done");
        assertThat(cluster.broken()).isEmpty();
    }

    @Test
    void compactedWatchEndsTheTerm() {
        cluster.seconds(2);
        long term = cluster.state().value("term").path("term").asLong();
        cluster.state().compact();
        cluster.seconds(12);
        assertThat(cluster.state().value("term").path("term").asLong()).isGreaterThan(term);
        cluster.submit(0, SimCluster.job("job-000001", 1));
        cluster.seconds(30);
        assertThat(cluster.stage(1, "job-000001")).isEqualTo("done");
    }

    @Test
    void heartbeatWithANewerFencingTokenIsRejected() {
        cluster.seconds(2);
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
        assertThat(cluster.ask(leader, HttpRequest.post("/agent/beat", heartbeat))
                        .status())
                .isEqualTo(503);
        cluster.seconds(10);
        assertThat(cluster.leader()).isNotNegative();
    }

    /** Guards against a new leader that waits for machines whose leases had expired before the crash. */
    @Test
    void failoverDoesNotWaitForMachinesWithExpiredLeases() {
        cluster.seconds(2);
        cluster.submit(0, SimCluster.job("job-000001", 900));
        cluster.untilStarted(30, 6_000_000);
        List<String> names = List.copyOf(cluster.cloud().machines().keySet());
        List<String> silent = names.subList(0, names.size() / 2);
        assertThat(silent).hasSizeGreaterThan(2);
        cluster.network()
                .add((from, to, request) ->
                        silent.contains(from) || silent.stream().anyMatch(to::startsWith) ? Fate.LOSE : null);
        cluster.seconds(16);
        int leader = cluster.leader();
        cluster.kill(leader);
        cluster.until(() -> cluster.leader() >= 0 && cluster.leader() != leader);
        int startsBefore = cluster.starts();
        cluster.seconds(10);
        assertThat(cluster.starts()).isGreaterThan(startsBefore);
        assertThat(cluster.broken()).isEmpty();
    }

    /**
     * Guards against a leader that is paused, for example by the operating system, and acts on outdated state when it
     * resumes, after another controller has been elected.
     */
    @Test
    void pausedLeaderYieldsToItsSuccessorWhenItResumes() {
        cluster.seconds(2);
        cluster.submit(0, SimCluster.job("job-000001", 8));
        cluster.untilStarted(8, 30_000_000);
        cluster.cloud().machines().values().forEach(machine -> machine.runMicros(3_000_000));
        int leader = cluster.leader();
        cluster.freeze(leader, 10_000_000);
        cluster.until(() -> cluster.leader() >= 0 && cluster.leader() != leader);
        int successor = cluster.leader();
        cluster.submit(successor, SimCluster.job("job-000002", 4));
        cluster.seconds(20);
        assertThat(cluster.leader()).isEqualTo(successor);
        assertThat(cluster.stage(leader, "job-000002")).isEqualTo("done");
        cluster.seconds(30);
        assertThat(cluster.stage(leader, "job-000001")).isEqualTo("done");
        assertThat(cluster.starts()).isEqualTo(12);
        assertThat(cluster.broken()).isEmpty();
    }

    /** Guards against heartbeats that a paused follower relays to the leader only when it resumes. */
    @Test
    void outdatedHeartbeatsOfAResumedFollowerHaveNoEffect() {
        cluster.seconds(2);
        cluster.submit(0, SimCluster.job("job-000001", 40));
        cluster.untilStarted(16, 4_000_000);
        int leader = cluster.leader();
        int follower = (leader + 1) % 3;
        assertThat(cluster.cloud().machines().values()).anyMatch(machine -> machine.node() == follower);
        cluster.freeze(follower, 14_000_000);
        cluster.seconds(60);
        assertThat(cluster.leader()).isEqualTo(leader);
        assertThat(cluster.stage(follower, "job-000001")).isEqualTo("done");
        assertThat(cluster.starts()).isEqualTo(40);
        assertThat(cluster.broken()).isEmpty();
    }

    /**
     * Guards against a candidate that is paused between its lease request and its claim: the other controller must be
     * elected without a long wait.
     */
    @Test
    void candidatePausedDuringAnElectionDoesNotBlockIt() {
        for (int halfSeconds = 4; halfSeconds <= 8; halfSeconds++) {
            SimCluster candidateCluster = new SimCluster(30 + halfSeconds);
            candidateCluster.seconds(2);
            candidateCluster.submit(0, SimCluster.job("job-000001", 8));
            candidateCluster.until(() -> candidateCluster.starts() >= 8);
            int leader = candidateCluster.leader();
            candidateCluster.kill(leader);
            candidateCluster.seconds(halfSeconds / 2.0);
            candidateCluster.freeze((leader + 1) % 3, 15_000_000);
            candidateCluster.seconds(10);
            assertThat(candidateCluster.leader())
                    .as("after %d half seconds", halfSeconds)
                    .isEqualTo((leader + 2) % 3);
            candidateCluster.seconds(60);
            assertThat(candidateCluster.stage((leader + 1) % 3, "job-000001")).isEqualTo("done");
            assertThat(candidateCluster.broken()).isEmpty();
        }
    }
}
