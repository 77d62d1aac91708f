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
import io.sillreel.sim.SimNetwork.Fate;
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
            SimCluster world = begun(seed);
            world.network().add(FailureInjector.reports(Fate.KEEP, 0.7, new Random(seed)));
            world.submit(0, SimCluster.job("job-000001", 30));
            world.untilStarted(20, 15 * SECOND);
            Set<String> before = new HashSet<>(machines(world));
            succeed(world);
            world.seconds(10);
            assertThat(machines(world)).as("seed %d", seed).containsAll(before);
            world.seconds(60);
            everyNodeSays(world, "job-000001", "done");
            nothingBroken(world);
        }
    }

    /** Guards the count of done tasks over a change of leader, with tasks of one job that end far apart. */
    @Test
    void tasksThatEndFarApartAcrossAChangeOfLeaderAreDoneOnce() {
        for (int after = 0; after < 6; after++) {
            SimCluster world = begun(20 + after);
            // Each of them fills a machine.
            world.submit(0, SimCluster.job("job-000001", 3).put("vcpus", 4.0));
            world.untilStarted(3, 30 * SECOND);
            fullest(world).prolong(30 * SECOND);
            world.until(() -> running(world) < 3);
            world.seconds(after * 0.4);
            succeed(world);
            world.seconds(60);
            assertThat(world.stage(world.leader(), "job-000001")).isEqualTo("done");
            assertThat(world.starts()).as("after %d times 0.4 s", after).isEqualTo(3);
            nothingBroken(world);
        }
    }

    /**
     * Guards the zone of a job: what a machine has lost starts where the rest of its job is, or where all of it can be.
     */
    @Test
    void jobsOfOneZoneThatLoseMachinesStayInOneZone() {
        for (int seed = 1; seed <= 4; seed++) {
            SimCluster world = begun(seed);
            Random random = new Random(seed);
            for (int i = 1; i <= 3; i++) {
                world.submit(0, SimCluster.job("job-%06d".formatted(i), 8).put("one_zone", true));
            }
            world.submit(
                    0, SimCluster.job("job-000004", 1).put("one_zone", true).put("yard", "b"));
            world.untilStarted(20, 12 * SECOND);
            for (int i = 0; i < 3; i++) {
                List<String> machines = machines(world);
                String lost = machines.get(random.nextInt(machines.size()));
                if (i == 1) {
                    world.network().add(FailureInjector.away(Set.of(lost), Fate.HOLD));
                } else {
                    world.cloud().take(lost);
                }
                world.seconds(3);
            }
            succeed(world);
            world.seconds(20);
            world.network().release();
            world.seconds(100);
            for (int i = 1; i <= 4; i++) {
                assertThat(world.stage(world.leader(), "job-%06d".formatted(i)))
                        .as("seed %d", seed)
                        .isEqualTo("done");
            }
            nothingBroken(world);
        }
    }

    /**
     * Guards against a command that is carried out long after it was given: it names an attempt that never comes again.
     */
    @Test
    void commandsHeldUpUntilTheirMachineGoesOnHurtNobody() {
        SimCluster world = begun(8);
        world.submit(0, SimCluster.job("job-000001", 6));
        world.submit(0, SimCluster.job("job-000002", 6));
        world.untilStarted(12, 30 * SECOND);
        Rule held = world.network().add(FailureInjector.commands(Fate.HOLD));
        world.cloud().machines().values().stream().limit(3).forEach(worker -> worker.hang(9 * SECOND));
        world.cancel(0, "job-000001");
        world.seconds(5);
        world.submit(1, SimCluster.job("job-000003", 6));
        succeed(world);
        world.seconds(6);
        world.network().remove(held);
        world.network().release();
        world.seconds(60);
        assertThat(world.stage(world.leader(), "job-000002")).isEqualTo("done");
        assertThat(world.stage(world.leader(), "job-000003")).isEqualTo("done");
        nothingBroken(world);
    }

    /** Guards the reports of an earlier term that come in once the next one has acted. */
    @Test
    void reportsHeldBackUntilTheNextLeaderHasActedFreeNothing() {
        for (int seed = 1; seed <= 4; seed++) {
            SimCluster world = begun(seed);
            world.submit(0, SimCluster.job("job-000001", 12));
            world.untilStarted(12, 25 * SECOND);
            Set<String> some = new HashSet<>(machines(world).subList(0, 2));
            Rule held = world.network().add((from, to, request) -> some.contains(from) ? Fate.HOLD : null);
            world.seconds(1.5);
            succeed(world);
            world.seconds(3 + 4 * seed);
            world.network().remove(held);
            world.network().release();
            world.seconds(80);
            assertThat(world.stage(world.leader(), "job-000001"))
                    .as("seed %d", seed)
                    .isEqualTo("done");
            nothingBroken(world);
        }
    }

    /** Guards terms that follow each other within seconds, and within an outage, in which nobody can take one. */
    @Test
    void tenLeadersInTwoMinutesRunEverythingOnce() {
        SimCluster world = begun(9);
        Random random = new Random(9);
        world.submit(0, SimCluster.job("job-000001", 30));
        world.submit(1, SimCluster.job("job-000002", 10));
        world.untilStarted(20, 15 * SECOND);
        for (int change = 0; change < 10; change++) {
            int old = Math.max(0, world.leader());
            if (change == 4) {
                world.state().outage(true);
            } else if (change == 6) {
                world.state().outage(false);
            }
            world.kill(old);
            world.seconds(random.nextDouble() * 6);
            world.restart(old);
            if (change % 3 == 1) {
                // Back at once, in the middle of the election, with one more.
                world.seconds(random.nextDouble() * 0.4);
                world.restart(old);
                world.restart(other(world, old));
            }
            world.seconds(random.nextDouble() * 8);
            world.pollMeanwhile(random.nextInt(3), "job-000001");
        }
        world.seconds(100);
        everyNodeSays(world, "job-000001", "done");
        everyNodeSays(world, "job-000002", "done");
        nothingBroken(world);
    }

    /** Guards against waiting for ever, and against guessing, after all leases have ended with nobody there. */
    @Test
    void allControllersAreAwayForLongerThanALeaseAndOneComesBackFirst() {
        SimCluster world = begun(10);
        world.submit(0, SimCluster.job("job-000001", 12));
        world.submit(1, SimCluster.job("job-000002", 2));
        world.untilStarted(14, 20 * SECOND);
        world.cancel(0, "job-000002");
        for (int node = 0; node < 3; node++) {
            world.kill(node);
        }
        world.seconds(16);
        world.restart(1);
        world.seconds(0.4);
        world.restart(1);
        world.seconds(60);
        assertThat(world.stage(1, "job-000001")).isEqualTo("done");
        world.restart(0);
        world.restart(2);
        world.seconds(3);
        everyNodeSays(world, "job-000002", "withdrawn");
        nothingBroken(world);
    }

    /**
     * Guards a zone that goes on by itself behind its cut: its leader lets go in time, and nothing runs on both sides.
     */
    @Test
    void aZoneThatIsCutOffWithTheLeaderForLongerThanALeaseRunsNothingTwice() {
        for (Fate fate : List.of(Fate.LOSE, Fate.HOLD)) {
            SimCluster world = begun(11);
            world.submit(0, SimCluster.job("job-000001", 24));
            world.untilStarted(24, 30 * SECOND);
            int inside = world.leader();
            Set<String> zone =
                    new HashSet<>(machines(world).subList(0, machines(world).size() / 2));
            zone.add(FailureInjector.host(inside));
            Rule cut = world.network()
                    .add((from, to, request) ->
                            zone.contains(from) != zone.stream().anyMatch(to::startsWith) ? fate : null);
            world.seconds(10);
            world.cancelMeanwhile(other(world, inside), "job-000001");
            world.submitMeanwhile(other(world, inside), SimCluster.job("job-000002", 12));
            world.seconds(20);
            world.network().remove(cut);
            world.network().release();
            world.seconds(60);
            everyNodeSays(world, "job-000001", "withdrawn");
            everyNodeSays(world, "job-000002", "done");
            nothingBroken(world);
        }
    }

    /**
     * Guards machines that reach no controller: commands alone keep nothing alive, and nothing new is given to them.
     */
    @Test
    void machinesThatReachNoControllerKeepNoTasks() {
        SimCluster world = begun(12);
        world.submit(0, SimCluster.job("job-000001", 8));
        world.submit(0, SimCluster.job("job-000002", 4));
        world.untilStarted(12, 25 * SECOND);
        Set<String> mute = new HashSet<>(machines(world).subList(0, 3));
        Rule rule = world.network().add(FailureInjector.mute(mute));
        world.seconds(1);
        world.cancel(1, "job-000002");
        world.seconds(1);
        assertThat(world.cloud().machines().values())
                .noneMatch(worker -> worker.running().stream().anyMatch(task -> task.startsWith("job-000002/")));
        world.seconds(40);
        world.network().remove(rule);
        world.seconds(60);
        everyNodeSays(world, "job-000001", "done");
        nothingBroken(world);
    }
}
