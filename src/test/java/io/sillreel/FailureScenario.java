package io.sillreel;

import static org.assertj.core.api.Assertions.assertThat;

import io.sillreel.sim.SimCluster;
import io.sillreel.sim.SimWorker;
import java.util.Comparator;
import java.util.List;

/** Steps and checks that the tests of several failures share. */
public final class FailureScenario {
    private FailureScenario() {}

    static SimCluster begun(long seed) {
        return begun(seed, 0);
    }

    static SimCluster begun(long seed, double cpusMax) {
        SimCluster world = new SimCluster(seed, cpusMax);
        world.seconds(2);
        return world;
    }

    static int other(SimCluster world, int than) {
        return (than + 1) % world.nodes();
    }

    static List<String> machines(SimCluster world) {
        return List.copyOf(world.cloud().machines().keySet());
    }

    static long running(SimCluster world) {
        return world.cloud().machines().values().stream()
                .mapToLong(worker -> worker.running().size())
                .sum();
    }

    static SimWorker fullest(SimCluster world) {
        return world.cloud().machines().values().stream()
                .max(Comparator.comparingInt(worker -> worker.running().size()))
                .orElseThrow();
    }

    /** Kills the lease leader, and waits until another one leads. */
    static void succeed(SimCluster world) {
        int old = world.leader();
        world.kill(old);
        world.until(() -> world.leader() >= 0 && world.leader() != old);
    }

    /** Asks every controller that is up. */
    public static void everyNodeSays(SimCluster world, String uid, String stage) {
        for (int node = 0; node < world.nodes(); node++) {
            if (world.isUp(node)) {
                assertThat(world.stage(node, uid)).as("%s at %d", uid, node).isEqualTo(stage);
            }
        }
    }

    static void nothingBroken(SimCluster world) {
        assertThat(world.broken()).isEmpty();
    }
}
