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
    public static final double LEADER_EXPIRY_SECONDS = 4;

    private static final int TEAM_CPUS = 10;

    private UpgradeSteps() {}

    /** Returns a cluster whose controllers all run the previous version. */
    public static SimCluster startPreviousVersion(long seed) {
        SimCluster cluster = new SimCluster(seed, TEAM_CPUS, NODES, Version.PREVIOUS);
        cluster.runSeconds(2);
        return cluster;
    }

    /** Returns the version that is not this one. */
    public static Version otherVersion(Version version) {
        return version == Version.PREVIOUS ? Version.CURRENT : Version.PREVIOUS;
    }

    /** Brings about that a controller of that version leads and all the others run the other version. */
    public static int leadWithMixedVersions(SimCluster cluster, Version version) {
        cluster.runUntil(() -> cluster.leader() >= 0);
        int leader = cluster.leader();
        for (int node = 0; node < NODES; node++) {
            if (node != leader) {
                cluster.kill(node);
            }
        }
        cluster.restart(leader, version);
        cluster.runUntil(() -> cluster.leader() == leader && cluster.isServing(leader));
        for (int node = 0; node < NODES; node++) {
            if (node != leader) {
                cluster.restart(node, otherVersion(version));
            }
        }
        cluster.runUntil(() -> cluster.isServing(0) && cluster.isServing(1) && cluster.isServing(2));
        cluster.runSeconds(2);
        return leader;
    }

    /** Ends leaders until a controller of that version leads; each comes back with the version that it had. */
    public static void failOverTo(SimCluster cluster, Version version) {
        for (int node = 0; node < NODES; node++) {
            if (cluster.version(node) != version) {
                cluster.kill(node);
            }
        }
        cluster.runSeconds(LEADER_EXPIRY_SECONDS);
        for (int node = 0; node < NODES; node++) {
            if (!cluster.isUp(node)) {
                cluster.restart(node);
            }
        }
        cluster.runUntil(() -> cluster.leader() >= 0 && cluster.version(cluster.leader()) == version);
    }

    /** Brings all controllers to the present version, one after the other. */
    public static void upgradeAll(SimCluster cluster) {
        for (int node = 0; node < NODES; node++) {
            if (cluster.version(node) == Version.PREVIOUS || !cluster.isUp(node)) {
                cluster.restart(node, Version.CURRENT);
                cluster.runSeconds(1.5);
            }
        }
    }

    /** Submits a numbered job without waiting for the answer. */
    public static void submitAsync(SimCluster cluster, int number, int pieces) {
        cluster.submitAsync(number % NODES, SimCluster.job(uid(number), pieces));
    }

    /** Asks every controller. */
    public static void assertStageOnAllNodes(SimCluster cluster, String uid, String stage) {
        for (int node = 0; node < NODES; node++) {
            assertThat(cluster.stage(node, uid)).as("%s at %d", uid, node).isEqualTo(stage);
        }
    }

    /** All that was accepted is done or, if its user asked for that, cancelled, whichever controller is asked. */
    public static void assertAllJobsFinish(SimCluster cluster, int jobs, List<String> cancelled) {
        cluster.runSeconds(90);
        for (int number = 1; number <= jobs; number++) {
            String uid = uid(number);
            if (cluster.known(uid) == null && cluster.store().value("plan/" + uid) == null) {
                continue;
            }
            String stage = cluster.stage(0, uid);
            assertThat(stage).as(uid).isIn(cancelled.contains(uid) ? List.of("done", "withdrawn") : List.of("done"));
            assertStageOnAllNodes(cluster, uid, stage);
        }
        assertThat(cluster.violations()).isEmpty();
    }
}
