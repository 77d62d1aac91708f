package io.sillreel.sim;

import static io.sillreel.sim.SimJobs.uid;
import static org.assertj.core.api.Assertions.assertThat;

import io.sillreel.sim.SimCluster.Version;
import java.util.List;

/** Steps and assertions of tests of rolling upgrades. */
public final class UpgradeSteps {
    /** The number of controllers in the cluster. */
    public static final int NODES = 3;
    /** Longer than the leader lease. */
    public static final double LEADER_EXPIRY_SECONDS = 4;

    private static final int TEAM_CPUS = 10;

    private UpgradeSteps() {}

    /** Returns a cluster whose controllers all run the previous version. */
    public static SimCluster startPreviousVersion(long seed) {
        SimCluster cluster = new SimCluster(seed, TEAM_CPUS, NODES, Version.PREVIOUS);
        cluster.runSeconds(2);
        return cluster;
    }

    /** Returns the other of the two versions. */
    public static Version otherVersion(Version version) {
        return version == Version.PREVIOUS ? Version.CURRENT : Version.PREVIOUS;
    }

    /** Makes a controller of the given version the leader while all others run the other version. */
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

    /** Restarts the controllers of the other version so that one of the given version becomes the leader. */
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

    /** Upgrades all controllers to the current version, one after the other. */
    public static void upgradeAll(SimCluster cluster) {
        for (int node = 0; node < NODES; node++) {
            if (cluster.version(node) == Version.PREVIOUS || !cluster.isUp(node)) {
                cluster.restart(node, Version.CURRENT);
                cluster.runSeconds(1.5);
            }
        }
    }

    /** Submits a numbered job without waiting for the response. */
    public static void submitAsync(SimCluster cluster, int number, int taskCount) {
        cluster.submitAsync(number % NODES, SimCluster.job(uid(number), taskCount));
    }

    /** Asserts that every controller reports the stage for the job; all of them have to be up. */
    public static void assertStageOnAllNodes(SimCluster cluster, String uid, String stage) {
        for (int node = 0; node < NODES; node++) {
            assertThat(cluster.stage(node, uid)).as("%s at %d", uid, node).isEqualTo(stage);
        }
    }

    /** Asserts that every controller reports each accepted job as done, or as cancelled if its user requested that. */
    public static void assertAllJobsFinish(SimCluster cluster, int jobs, List<String> cancelled) {
        cluster.runSeconds(90);
        for (int number = 1; number <= jobs; number++) {
            String uid = uid(number);
            if (cluster.lastStage(uid) == null && cluster.store().value("plan/" + uid) == null) {
                continue;
            }
            String stage = cluster.stage(0, uid);
            assertThat(stage).as(uid).isIn(cancelled.contains(uid) ? List.of("done", "withdrawn") : List.of("done"));
            assertStageOnAllNodes(cluster, uid, stage);
        }
        assertThat(cluster.violations()).isEmpty();
    }
}
