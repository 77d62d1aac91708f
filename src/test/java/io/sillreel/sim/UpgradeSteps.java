package io.sillreel.sim;

import static io.sillreel.sim.SimJobs.uid;
import static org.assertj.core.api.Assertions.assertThat;

import io.sillreel.sim.SimCluster.Version;
import java.util.List;

/** What happens during an upgrade: steps for tests, and what has to hold after them. */
public final class UpgradeSteps {
    /** Controllers of such a cluster. */
    public static final int NODES = 3;
    /** Longer than the lease that a leader holds. */
    public static final double LEADER_GONE_SECONDS = 4;

    private static final int TEAM_CPUS = 10;

    private UpgradeSteps() {}

    /** Returns a cluster whose controllers all run the previous version. */
    public static SimCluster previousVersion(long seed) {
        SimCluster world = new SimCluster(seed, TEAM_CPUS, NODES, Version.PREVIOUS);
        world.seconds(2);
        return world;
    }

    /** Returns the version that is not this one. */
    public static Version other(Version version) {
        return version == Version.PREVIOUS ? Version.CURRENT : Version.PREVIOUS;
    }

    /** Brings about that a controller of that version leads and all the others run the other version. */
    public static int leadAlone(SimCluster world, Version version) {
        world.until(() -> world.leader() >= 0);
        int leader = world.leader();
        for (int node = 0; node < NODES; node++) {
            if (node != leader) {
                world.kill(node);
            }
        }
        world.restart(leader, version);
        world.until(() -> world.leader() == leader && world.isOpen(leader));
        for (int node = 0; node < NODES; node++) {
            if (node != leader) {
                world.restart(node, other(version));
            }
        }
        world.until(() -> world.isOpen(0) && world.isOpen(1) && world.isOpen(2));
        world.seconds(2);
        return leader;
    }

    /** Ends leaders until a controller of that version leads; each comes back with the version that it had. */
    public static void leadNext(SimCluster world, Version version) {
        for (int node = 0; node < NODES; node++) {
            if (world.version(node) != version) {
                world.kill(node);
            }
        }
        world.seconds(LEADER_GONE_SECONDS);
        for (int node = 0; node < NODES; node++) {
            if (!world.isUp(node)) {
                world.restart(node);
            }
        }
        world.until(() -> world.leader() >= 0 && world.version(world.leader()) == version);
    }

    /** Brings all controllers to the present version, one after the other. */
    public static void upgradeAll(SimCluster world) {
        for (int node = 0; node < NODES; node++) {
            if (world.version(node) == Version.PREVIOUS || !world.isUp(node)) {
                world.restart(node, Version.CURRENT);
                world.seconds(1.5);
            }
        }
    }

    /** Submits a numbered job without waiting for the answer. */
    public static void submitMeanwhile(SimCluster world, int number, int pieces) {
        world.submitMeanwhile(number % NODES, SimCluster.job(uid(number), pieces));
    }

    /** Asks every controller. */
    public static void everyNodeSays(SimCluster world, String uid, String stage) {
        for (int node = 0; node < NODES; node++) {
            assertThat(world.stage(node, uid)).as("%s at %d", uid, node).isEqualTo(stage);
        }
    }

    /** All that was accepted is done or, if its user asked for that, cancelled, whichever controller is asked. */
    public static void everythingEnds(SimCluster world, int jobs, List<String> cancelled) {
        world.seconds(90);
        for (int number = 1; number <= jobs; number++) {
            String uid = uid(number);
            if (world.told(uid) == null && world.state().value("plan/" + uid) == null) {
                continue;
            }
            String stage = world.stage(0, uid);
            assertThat(stage).as(uid).isIn(cancelled.contains(uid) ? List.of("done", "withdrawn") : List.of("done"));
            everyNodeSays(world, uid, stage);
        }
        assertThat(world.broken()).isEmpty();
    }
}
