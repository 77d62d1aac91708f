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
        SimCluster cluster = new SimCluster(seed, cpusMax);
        cluster.runSeconds(2);
        return cluster;
    }

    static int other(SimCluster cluster, int than) {
        return (than + 1) % cluster.nodes();
    }

    static List<String> machines(SimCluster cluster) {
        return List.copyOf(cluster.cloud().machines().keySet());
    }

    static long running(SimCluster cluster) {
        return cluster.cloud().machines().values().stream()
                .mapToLong(worker -> worker.runningTasks().size())
                .sum();
    }

    static SimWorker fullest(SimCluster cluster) {
        return cluster.cloud().machines().values().stream()
                .max(Comparator.comparingInt(worker -> worker.runningTasks().size()))
                .orElseThrow();
    }

    /** Kills the lease leader, and waits until another one leads. */
    static void succeed(SimCluster cluster) {
        int old = cluster.leader();
        cluster.kill(old);
        cluster.runUntil(() -> cluster.leader() >= 0 && cluster.leader() != old);
    }

    /** Asks every controller that is up. */
    public static void everyNodeSays(SimCluster cluster, String uid, String stage) {
        for (int node = 0; node < cluster.nodes(); node++) {
            if (cluster.isUp(node)) {
                assertThat(cluster.stage(node, uid)).as("%s at %d", uid, node).isEqualTo(stage);
            }
        }
    }

    static void nothingBroken(SimCluster cluster) {
        assertThat(cluster.violations()).isEmpty();
    }
}
