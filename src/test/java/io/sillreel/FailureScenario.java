package io.sillreel;

import static org.assertj.core.api.Assertions.assertThat;

import io.sillreel.sim.SimCluster;
import io.sillreel.sim.SimWorker;
import java.util.Comparator;
import java.util.List;

/** Steps and checks shared by the tests that combine several failures. */
public final class FailureScenario {
    private FailureScenario() {}

    static SimCluster startCluster(long seed) {
        return startCluster(seed, 0);
    }

    static SimCluster startCluster(long seed, double cpusMax) {
        SimCluster cluster = new SimCluster(seed, cpusMax);
        cluster.runSeconds(2);
        return cluster;
    }

    static int otherNode(SimCluster cluster, int node) {
        return (node + 1) % cluster.nodes();
    }

    static List<String> machineNames(SimCluster cluster) {
        return List.copyOf(cluster.cloud().machines().keySet());
    }

    static long runningTaskCount(SimCluster cluster) {
        return cluster.cloud().machines().values().stream()
                .mapToLong(worker -> worker.runningTasks().size())
                .sum();
    }

    static SimWorker busiestWorker(SimCluster cluster) {
        return cluster.cloud().machines().values().stream()
                .max(Comparator.comparingInt(worker -> worker.runningTasks().size()))
                .orElseThrow();
    }

    /** Kills the leader, and waits until another controller has been elected. */
    static void failOver(SimCluster cluster) {
        int formerLeader = cluster.leader();
        cluster.kill(formerLeader);
        cluster.runUntil(() -> cluster.leader() >= 0 && cluster.leader() != formerLeader);
    }

    /** Asserts that every controller that is up reports the stage for the job. */
    public static void assertStageOnRunningNodes(SimCluster cluster, String uid, String stage) {
        for (int node = 0; node < cluster.nodes(); node++) {
            if (cluster.isUp(node)) {
                assertThat(cluster.stage(node, uid)).as("%s at %d", uid, node).isEqualTo(stage);
            }
        }
    }

    static void assertNoViolations(SimCluster cluster) {
        assertThat(cluster.violations()).isEmpty();
    }
}
