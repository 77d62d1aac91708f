package io.sillreel;

import static io.sillreel.FailureScenario.begun;
import static io.sillreel.FailureScenario.everyNodeSays;
import static io.sillreel.FailureScenario.fullest;
import static io.sillreel.FailureScenario.machines;
import static io.sillreel.FailureScenario.nothingBroken;
import static io.sillreel.FailureScenario.other;
import static io.sillreel.FailureScenario.running;
import static io.sillreel.FailureScenario.succeed;
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

/** Changes of leader, cuts and silent machines that meet: what users were told and what workers ran. */
class FailoverFailuresTest {
    private static final long SECOND = 1_000_000;

    /**
     * Guards a term's first seconds against reports of the one before, in whatever number they come, at every
     * controller.
     */
    @Test
    void oldReportsThatReachEveryControllerAsATermBeginsChangeNothing() {
        for (int seed = 1; seed <= 3; seed++) {
            SimCluster cluster = begun(seed);
            cluster.network().addRule(FailureInjector.heartbeats(Action.RECORD, 0.7, new Random(seed)));
            cluster.submit(0, SimCluster.job("job-000001", 30));
            cluster.runUntilStarted(20, 15 * SECOND);
            Set<String> before = new HashSet<>(machines(cluster));
            succeed(cluster);
            cluster.runSeconds(10);
            assertThat(machines(cluster)).as("seed %d", seed).containsAll(before);
            cluster.runSeconds(60);
            everyNodeSays(cluster, "job-000001", "done");
            nothingBroken(cluster);
        }
    }

    /** Guards the count of done tasks over a change of leader, with tasks of one job that end far apart. */
    @Test
    void tasksThatEndFarApartAcrossAChangeOfLeaderAreDoneOnce() {
        for (int after = 0; after < 6; after++) {
            SimCluster cluster = begun(20 + after);
            // Each of them fills a machine.
            cluster.submit(0, SimCluster.job("job-000001", 3).put("vcpus", 4.0));
            cluster.runUntilStarted(3, 30 * SECOND);
            fullest(cluster).extendRunningTasks(30 * SECOND);
            cluster.runUntil(() -> running(cluster) < 3);
            cluster.runSeconds(after * 0.4);
            succeed(cluster);
            cluster.runSeconds(60);
            assertThat(cluster.stage(cluster.leader(), "job-000001")).isEqualTo("done");
            assertThat(cluster.startCount()).as("after %d times 0.4 s", after).isEqualTo(3);
            nothingBroken(cluster);
        }
    }

    /**
     * Guards the zone of a job: what a machine has lost starts where the rest of its job is, or where all of it can be.
     */
    @Test
    void jobsOfOneZoneThatLoseMachinesStayInOneZone() {
        for (int seed = 1; seed <= 4; seed++) {
            SimCluster cluster = begun(seed);
            Random random = new Random(seed);
            for (int i = 1; i <= 3; i++) {
                cluster.submit(0, SimCluster.job("job-%06d".formatted(i), 8).put("one_zone", true));
            }
            cluster.submit(
                    0, SimCluster.job("job-000004", 1).put("one_zone", true).put("yard", "b"));
            cluster.runUntilStarted(20, 12 * SECOND);
            for (int i = 0; i < 3; i++) {
                List<String> machines = machines(cluster);
                String lost = machines.get(random.nextInt(machines.size()));
                if (i == 1) {
                    cluster.network().addRule(FailureInjector.machineTraffic(Set.of(lost), Action.HOLD));
                } else {
                    cluster.cloud().reclaim(lost);
                }
                cluster.runSeconds(3);
            }
            succeed(cluster);
            cluster.runSeconds(20);
            cluster.network().releaseHeld();
            cluster.runSeconds(100);
            for (int i = 1; i <= 4; i++) {
                assertThat(cluster.stage(cluster.leader(), "job-%06d".formatted(i)))
                        .as("seed %d", seed)
                        .isEqualTo("done");
            }
            nothingBroken(cluster);
        }
    }

    /**
     * Guards against a command that is carried out long after it was given: it names an attempt that never comes again.
     */
    @Test
    void commandsHeldUpUntilTheirMachineGoesOnHurtNobody() {
        SimCluster cluster = begun(8);
        cluster.submit(0, SimCluster.job("job-000001", 6));
        cluster.submit(0, SimCluster.job("job-000002", 6));
        cluster.runUntilStarted(12, 30 * SECOND);
        Rule held = cluster.network().addRule(FailureInjector.commands(Action.HOLD));
        cluster.cloud().machines().values().stream().limit(3).forEach(worker -> worker.pause(9 * SECOND));
        cluster.cancel(0, "job-000001");
        cluster.runSeconds(5);
        cluster.submit(1, SimCluster.job("job-000003", 6));
        succeed(cluster);
        cluster.runSeconds(6);
        cluster.network().removeRule(held);
        cluster.network().releaseHeld();
        cluster.runSeconds(60);
        assertThat(cluster.stage(cluster.leader(), "job-000002")).isEqualTo("done");
        assertThat(cluster.stage(cluster.leader(), "job-000003")).isEqualTo("done");
        nothingBroken(cluster);
    }

    /** Guards the reports of an earlier term that come in once the next one has acted. */
    @Test
    void reportsHeldBackUntilTheNextLeaderHasActedFreeNothing() {
        for (int seed = 1; seed <= 4; seed++) {
            SimCluster cluster = begun(seed);
            cluster.submit(0, SimCluster.job("job-000001", 12));
            cluster.runUntilStarted(12, 25 * SECOND);
            Set<String> some = new HashSet<>(machines(cluster).subList(0, 2));
            Rule held = cluster.network().addRule((from, to, request) -> some.contains(from) ? Action.HOLD : null);
            cluster.runSeconds(1.5);
            succeed(cluster);
            cluster.runSeconds(3 + 4 * seed);
            cluster.network().removeRule(held);
            cluster.network().releaseHeld();
            cluster.runSeconds(80);
            assertThat(cluster.stage(cluster.leader(), "job-000001"))
                    .as("seed %d", seed)
                    .isEqualTo("done");
            nothingBroken(cluster);
        }
    }

    /** Guards terms that follow each other within seconds, and within an outage, in which nobody can take one. */
    @Test
    void tenLeadersInTwoMinutesRunEverythingOnce() {
        SimCluster cluster = begun(9);
        Random random = new Random(9);
        cluster.submit(0, SimCluster.job("job-000001", 30));
        cluster.submit(1, SimCluster.job("job-000002", 10));
        cluster.runUntilStarted(20, 15 * SECOND);
        for (int change = 0; change < 10; change++) {
            int old = Math.max(0, cluster.leader());
            if (change == 4) {
                cluster.store().setOutage(true);
            } else if (change == 6) {
                cluster.store().setOutage(false);
            }
            cluster.kill(old);
            cluster.runSeconds(random.nextDouble() * 6);
            cluster.restart(old);
            if (change % 3 == 1) {
                // Back at once, in the middle of the election, with one more.
                cluster.runSeconds(random.nextDouble() * 0.4);
                cluster.restart(old);
                cluster.restart(other(cluster, old));
            }
            cluster.runSeconds(random.nextDouble() * 8);
            cluster.pollAsync(random.nextInt(3), "job-000001");
        }
        cluster.runSeconds(100);
        everyNodeSays(cluster, "job-000001", "done");
        everyNodeSays(cluster, "job-000002", "done");
        nothingBroken(cluster);
    }

    /** Guards against waiting for ever, and against guessing, after all leases have ended with nobody there. */
    @Test
    void allControllersAreAwayForLongerThanALeaseAndOneComesBackFirst() {
        SimCluster cluster = begun(10);
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
        everyNodeSays(cluster, "job-000002", "withdrawn");
        nothingBroken(cluster);
    }

    /**
     * Guards a zone that goes on by itself behind its cut: its leader lets go in time, and nothing runs on both sides.
     */
    @Test
    void aZoneThatIsCutOffWithTheLeaderForLongerThanALeaseRunsNothingTwice() {
        for (Action action : List.of(Action.DROP, Action.HOLD)) {
            SimCluster cluster = begun(11);
            cluster.submit(0, SimCluster.job("job-000001", 24));
            cluster.runUntilStarted(24, 30 * SECOND);
            int inside = cluster.leader();
            Set<String> zone =
                    new HashSet<>(machines(cluster).subList(0, machines(cluster).size() / 2));
            zone.add(FailureInjector.host(inside));
            Rule cut = cluster.network()
                    .addRule((from, to, request) ->
                            zone.contains(from) != zone.stream().anyMatch(to::startsWith) ? action : null);
            cluster.runSeconds(10);
            cluster.cancelAsync(other(cluster, inside), "job-000001");
            cluster.submitAsync(other(cluster, inside), SimCluster.job("job-000002", 12));
            cluster.runSeconds(20);
            cluster.network().removeRule(cut);
            cluster.network().releaseHeld();
            cluster.runSeconds(60);
            everyNodeSays(cluster, "job-000001", "withdrawn");
            everyNodeSays(cluster, "job-000002", "done");
            nothingBroken(cluster);
        }
    }

    /**
     * Guards machines that reach no controller: commands alone keep nothing alive, and nothing new is given to them.
     */
    @Test
    void machinesThatReachNoControllerKeepNoTasks() {
        SimCluster cluster = begun(12);
        cluster.submit(0, SimCluster.job("job-000001", 8));
        cluster.submit(0, SimCluster.job("job-000002", 4));
        cluster.runUntilStarted(12, 25 * SECOND);
        Set<String> mute = new HashSet<>(machines(cluster).subList(0, 3));
        Rule rule = cluster.network().addRule(FailureInjector.dropOutbound(mute));
        cluster.runSeconds(1);
        cluster.cancel(1, "job-000002");
        cluster.runSeconds(1);
        assertThat(cluster.cloud().machines().values())
                .noneMatch(worker -> worker.runningTasks().stream().anyMatch(task -> task.startsWith("job-000002/")));
        cluster.runSeconds(40);
        cluster.network().removeRule(rule);
        cluster.runSeconds(60);
        everyNodeSays(cluster, "job-000001", "done");
        nothingBroken(cluster);
    }
}
