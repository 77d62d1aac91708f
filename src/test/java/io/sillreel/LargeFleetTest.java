package io.sillreel;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sillreel.sim.SimCluster;
import io.sillreel.sim.SimCluster.Version;
import io.sillreel.sim.SimClusterSettings;
import io.sillreel.sim.SimNetwork.Action;
import io.sillreel.sim.SimNetwork.Rule;
import io.sillreel.sim.SimWorker;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Behavior with thousands of machines, with all invariants checked. */
class LargeFleetTest {
    private static final int MACHINES = 4_000;
    private static final int TOTAL_CPUS = 4 * MACHINES;
    /** Exceeds the capacity of the fleet; otherwise the planner would queue tasks rather than use all machines. */
    private static final int TASKS = 40_000;

    private static final long SECOND = 1_000_000;
    private static final long TASK_MICROS = 200 * SECOND;

    private SimCluster cluster = new SimCluster(1, SimClusterSettings.large(3, MACHINES, 0), Version.CURRENT);

    private static ObjectNode longJob(String uid, int tasks) {
        return SimCluster.job(uid, tasks).put("guess_s", 60.0).put("due_s", 30.0);
    }

    /** Runs until one job has a long task on every CPU that it may use. */
    private void runUntilFullyLoaded(int tasks) {
        cluster.runSeconds(2);
        cluster.submit(0, longJob("job-000001", TASKS));
        cluster.runUntilStarted(tasks, TASK_MICROS);
        cluster.runUntil(() -> machineCount() == MACHINES);
        assertThat(cluster.startCount()).isEqualTo(tasks);
    }

    private int machineCount() {
        return cluster.cloud().machines().size();
    }

    /** Ends all running tasks at once; tasks that start later are short. */
    private void finishTasks() {
        for (SimWorker worker : cluster.cloud().machines().values()) {
            worker.extendRunningTasks(-TASK_MICROS);
            worker.setRunMicros(SECOND);
        }
    }

    private void assertJobDone() {
        for (int node = 0; node < 3; node++) {
            assertThat(cluster.stage(node, "job-000001")).isEqualTo("done");
        }
        assertThat(cluster.violations()).isEmpty();
    }

    /** Guards failovers: reads from the state service are bounded, and no task is restarted. */
    @Test
    void failoverRestartsNoTaskAndCancellationTakesEffect() {
        int cpuLimit = TOTAL_CPUS / 2;
        cluster = new SimCluster(1, SimClusterSettings.large(3, MACHINES, cpuLimit), Version.CURRENT);
        runUntilFullyLoaded(cpuLimit);
        int[] listRequests = new int[1];
        cluster.network().addRule((from, to, request) -> {
            listRequests[0] += request.route().equals("/kv") ? 1 : 0;
            return null;
        });
        int leader = cluster.leader();
        cluster.kill(leader);
        cluster.runUntil(() -> cluster.leader() >= 0 && cluster.leader() != leader);
        cluster.runSeconds(12);
        assertThat(listRequests[0]).as("pages read by a failover").isLessThanOrEqualTo(6);
        assertThat(cluster.startCount()).isEqualTo(cpuLimit);
        assertThat(machineCount()).isEqualTo(MACHINES);
        cluster.restart(leader);
        cluster.cancel((leader + 1) % 3, "job-000001");
        cluster.runSeconds(12);
        assertThat(cluster.cloud().machines().values())
                .allMatch(worker -> worker.runningTasks().isEmpty());
        assertThat(cluster.stage((leader + 2) % 3, "job-000001")).isEqualTo("withdrawn");
        assertThat(cluster.violations()).isEmpty();
    }

    /**
     * Guards against returning half of the fleet, which is unreachable for longer than its leases and then recovers.
     */
    @Test
    void keepsZonePartitionedBeyondLeaseAndRunsNothingTwice() {
        runUntilFullyLoaded(TOTAL_CPUS);
        Set<String> partitioned = cluster.cloud().machines().values().stream()
                .filter(worker -> worker.zone().equals("b"))
                .map(SimWorker::name)
                .collect(Collectors.toSet());
        assertThat(partitioned).hasSizeBetween(MACHINES / 4, 3 * MACHINES / 4);
        Rule partition = cluster.network()
                .addRule((from, to, request) ->
                        partitioned.contains(from) || partitioned.contains(to.split(":")[0]) ? Action.DROP : null);
        cluster.runSeconds(30);
        cluster.network().removeRule(partition);
        cluster.runSeconds(15);
        assertThat(machineCount()).isEqualTo(MACHINES);
        finishTasks();
        cluster.runSeconds(45);
        assertJobDone();
    }

    @Test
    void restartsNoTaskWhenAllControllersAreDownLessThanLease() {
        runUntilFullyLoaded(TOTAL_CPUS);
        for (int node = 0; node < 3; node++) {
            cluster.kill(node);
        }
        cluster.runSeconds(7);
        for (int node = 0; node < 3; node++) {
            cluster.restart(node);
        }
        cluster.runSeconds(25);
        assertThat(cluster.startCount()).isEqualTo(TOTAL_CPUS);
        assertThat(machineCount()).isEqualTo(MACHINES);
        finishTasks();
        cluster.runSeconds(25);
        assertJobDone();
        assertThat(cluster.startCount()).isEqualTo(TASKS);
    }

    /** Guards the controllers against more machines than their sockets can serve. */
    @Test
    void scalesOutOnlyToControllerCapacity() {
        SimClusterSettings large = SimClusterSettings.large(3, MACHINES, 0);
        int sockets = 500;
        cluster = new SimCluster(1, large.withSockets(sockets), Version.CURRENT);
        cluster.runSeconds(2);
        cluster.submit(0, longJob("job-000001", TASKS));
        cluster.runSeconds(40);
        assertThat(machineCount()).isEqualTo(2 * (int) (sockets * 0.75 * 0.9));
        assertThat(cluster.violations()).isEmpty();
    }
}
