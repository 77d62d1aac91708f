package io.sillreel;

import static io.sillreel.FailureScenario.assertNoViolations;
import static io.sillreel.FailureScenario.assertStageOnRunningNodes;
import static io.sillreel.FailureScenario.busiestWorker;
import static io.sillreel.FailureScenario.failOver;
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

/** Failovers combined with partitions and silent machines: the responses to users, and the tasks that ran. */
class FailoverFailuresTest {
    private static final long SECOND = 1_000_000;

    /**
     * Guards the first seconds of a term against any number of heartbeats of the previous term, at every controller.
     */
    @Test
    void ignoresHeartbeatsOfFormerTermAtStartOfTerm() {
        for (int seed = 1; seed <= 3; seed++) {
            SimCluster cluster = startCluster(seed);
            cluster.network().addRule(FailureInjector.heartbeats(Action.RECORD, 0.7, new Random(seed)));
            cluster.submit(0, SimCluster.job("job-000001", 30));
            cluster.runUntilStarted(20, 15 * SECOND);
            Set<String> before = new HashSet<>(machineNames(cluster));
            failOver(cluster);
            cluster.runSeconds(10);
            assertThat(machineNames(cluster)).as("seed %d", seed).containsAll(before);
            cluster.runSeconds(60);
            assertStageOnRunningNodes(cluster, "job-000001", "done");
            assertNoViolations(cluster);
        }
    }

    /** Guards the count of completed tasks across a failover, when tasks of one job end at very different times. */
    @Test
    void completesEachTaskOnceWhenJobSpansFailover() {
        for (int after = 0; after < 6; after++) {
            SimCluster cluster = startCluster(20 + after);
            // Each task fills a machine.
            cluster.submit(0, SimCluster.job("job-000001", 3).put("vcpus", 4.0));
            cluster.runUntilStarted(3, 30 * SECOND);
            busiestWorker(cluster).extendRunningTasks(30 * SECOND);
            cluster.runUntil(() -> runningTaskCount(cluster) < 3);
            cluster.runSeconds(after * 0.4);
            failOver(cluster);
            cluster.runSeconds(60);
            assertThat(cluster.stage(cluster.leader(), "job-000001")).isEqualTo("done");
            assertThat(cluster.startCount()).as("after %d times 0.4 s", after).isEqualTo(3);
            assertNoViolations(cluster);
        }
    }

    /**
     * Guards the single-zone constraint: tasks of a lost machine restart in the zone of the rest of their job, or the
     * whole job restarts in a zone that has room for it.
     */
    @Test
    void keepsSingleZoneJobsInOneZoneAfterMachineLoss() {
        for (int seed = 1; seed <= 4; seed++) {
            SimCluster cluster = startCluster(seed);
            Random random = new Random(seed);
            for (int i = 1; i <= 3; i++) {
                cluster.submit(0, SimCluster.job("job-%06d".formatted(i), 8).put("one_zone", true));
            }
            cluster.submit(
                    0, SimCluster.job("job-000004", 1).put("one_zone", true).put("yard", "b"));
            cluster.runUntilStarted(20, 12 * SECOND);
            for (int i = 0; i < 3; i++) {
                List<String> machines = machineNames(cluster);
                String lost = machines.get(random.nextInt(machines.size()));
                if (i == 1) {
                    cluster.network().addRule(FailureInjector.machineTraffic(Set.of(lost), Action.HOLD));
                } else {
                    cluster.cloud().reclaim(lost);
                }
                cluster.runSeconds(3);
            }
            failOver(cluster);
            cluster.runSeconds(20);
            cluster.network().releaseHeld();
            cluster.runSeconds(100);
            for (int i = 1; i <= 4; i++) {
                assertThat(cluster.stage(cluster.leader(), "job-%06d".formatted(i)))
                        .as("seed %d", seed)
                        .isEqualTo("done");
            }
            assertNoViolations(cluster);
        }
    }

    /**
     * Guards against a command that is executed long after it was sent: it names an attempt number that is never
     * reused.
     */
    @Test
    void ignoresCommandsDelayedUntilMachineResumes() {
        SimCluster cluster = startCluster(8);
        cluster.submit(0, SimCluster.job("job-000001", 6));
        cluster.submit(0, SimCluster.job("job-000002", 6));
        cluster.runUntilStarted(12, 30 * SECOND);
        Rule heldMessages = cluster.network().addRule(FailureInjector.commands(Action.HOLD));
        cluster.cloud().machines().values().stream().limit(3).forEach(worker -> worker.pause(9 * SECOND));
        cluster.cancel(0, "job-000001");
        cluster.runSeconds(5);
        cluster.submit(1, SimCluster.job("job-000003", 6));
        failOver(cluster);
        cluster.runSeconds(6);
        cluster.network().removeRule(heldMessages);
        cluster.network().releaseHeld();
        cluster.runSeconds(60);
        assertThat(cluster.stage(cluster.leader(), "job-000002")).isEqualTo("done");
        assertThat(cluster.stage(cluster.leader(), "job-000003")).isEqualTo("done");
        assertNoViolations(cluster);
    }

    /** Guards against heartbeats of an earlier term that arrive after the next leader has acted. */
    @Test
    void ignoresHeartbeatsDelayedIntoNextTerm() {
        for (int seed = 1; seed <= 4; seed++) {
            SimCluster cluster = startCluster(seed);
            cluster.submit(0, SimCluster.job("job-000001", 12));
            cluster.runUntilStarted(12, 25 * SECOND);
            Set<String> delayedMachines = new HashSet<>(machineNames(cluster).subList(0, 2));
            Rule heldMessages = cluster.network()
                    .addRule((from, to, request) -> delayedMachines.contains(from) ? Action.HOLD : null);
            cluster.runSeconds(1.5);
            failOver(cluster);
            cluster.runSeconds(3 + 4 * seed);
            cluster.network().removeRule(heldMessages);
            cluster.network().releaseHeld();
            cluster.runSeconds(80);
            assertThat(cluster.stage(cluster.leader(), "job-000001"))
                    .as("seed %d", seed)
                    .isEqualTo("done");
            assertNoViolations(cluster);
        }
    }

    /** Guards rapid failovers, also during an outage in which no controller can be elected. */
    @Test
    void survivesTenFailoversInTwoMinutes() {
        SimCluster cluster = startCluster(9);
        Random random = new Random(9);
        cluster.submit(0, SimCluster.job("job-000001", 30));
        cluster.submit(1, SimCluster.job("job-000002", 10));
        cluster.runUntilStarted(20, 15 * SECOND);
        for (int change = 0; change < 10; change++) {
            int formerLeader = Math.max(0, cluster.leader());
            if (change == 4) {
                cluster.store().setOutage(true);
            } else if (change == 6) {
                cluster.store().setOutage(false);
            }
            cluster.kill(formerLeader);
            cluster.runSeconds(random.nextDouble() * 6);
            cluster.restart(formerLeader);
            if (change % 3 == 1) {
                // Restarts in the middle of the election, together with another controller.
                cluster.runSeconds(random.nextDouble() * 0.4);
                cluster.restart(formerLeader);
                cluster.restart(otherNode(cluster, formerLeader));
            }
            cluster.runSeconds(random.nextDouble() * 8);
            cluster.pollAsync(random.nextInt(3), "job-000001");
        }
        cluster.runSeconds(100);
        assertStageOnRunningNodes(cluster, "job-000001", "done");
        assertStageOnRunningNodes(cluster, "job-000002", "done");
        assertNoViolations(cluster);
    }

    /** Guards against waiting forever, or guessing the state of tasks, after all leases ended with no controller up. */
    @Test
    void recoversAfterAllControllersAreDownLongerThanLease() {
        SimCluster cluster = startCluster(10);
        cluster.submit(0, SimCluster.job("job-000001", 12));
        cluster.submit(1, SimCluster.job("job-000002", 2));
        cluster.runUntilStarted(14, 20 * SECOND);
        cluster.cancel(0, "job-000002");
        for (int node = 0; node < 3; node++) {
            cluster.kill(node);
        }
        cluster.runSeconds(16);
        cluster.restart(1);
        cluster.runSeconds(0.4);
        cluster.restart(1);
        cluster.runSeconds(60);
        assertThat(cluster.stage(1, "job-000001")).isEqualTo("done");
        cluster.restart(0);
        cluster.restart(2);
        cluster.runSeconds(3);
        assertStageOnRunningNodes(cluster, "job-000002", "withdrawn");
        assertNoViolations(cluster);
    }

    /**
     * Guards a partitioned zone that continues on its own: its leader steps down in time, and no task runs on both
     * sides.
     */
    @Test
    void runsNothingTwiceWhenZoneOfLeaderIsPartitionedLongerThanLease() {
        for (Action action : List.of(Action.DROP, Action.HOLD)) {
            SimCluster cluster = startCluster(11);
            cluster.submit(0, SimCluster.job("job-000001", 24));
            cluster.runUntilStarted(24, 30 * SECOND);
            int partitionedLeader = cluster.leader();
            Set<String> zone = new HashSet<>(
                    machineNames(cluster).subList(0, machineNames(cluster).size() / 2));
            zone.add(FailureInjector.host(partitionedLeader));
            Rule partition = cluster.network()
                    .addRule((from, to, request) ->
                            zone.contains(from) != zone.stream().anyMatch(to::startsWith) ? action : null);
            cluster.runSeconds(10);
            cluster.cancelAsync(otherNode(cluster, partitionedLeader), "job-000001");
            cluster.submitAsync(otherNode(cluster, partitionedLeader), SimCluster.job("job-000002", 12));
            cluster.runSeconds(20);
            cluster.network().removeRule(partition);
            cluster.network().releaseHeld();
            cluster.runSeconds(60);
            assertStageOnRunningNodes(cluster, "job-000001", "withdrawn");
            assertStageOnRunningNodes(cluster, "job-000002", "done");
            assertNoViolations(cluster);
        }
    }

    /** Guards machines that reach no controller: commands do not extend leases, and no new task is assigned to them. */
    @Test
    void releasesTasksOfMachinesThatReachNoController() {
        SimCluster cluster = startCluster(12);
        cluster.submit(0, SimCluster.job("job-000001", 8));
        cluster.submit(0, SimCluster.job("job-000002", 4));
        cluster.runUntilStarted(12, 25 * SECOND);
        Set<String> unheard = new HashSet<>(machineNames(cluster).subList(0, 3));
        Rule rule = cluster.network().addRule(FailureInjector.dropOutbound(unheard));
        cluster.runSeconds(1);
        cluster.cancel(1, "job-000002");
        cluster.runSeconds(1);
        assertThat(cluster.cloud().machines().values())
                .noneMatch(worker -> worker.runningTasks().stream().anyMatch(task -> task.startsWith("job-000002/")));
        cluster.runSeconds(40);
        cluster.network().removeRule(rule);
        cluster.runSeconds(60);
        assertStageOnRunningNodes(cluster, "job-000001", "done");
        assertNoViolations(cluster);
    }
}
