package io.sillreel.heartbeat;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sillreel.settings.OperatorProperties;
import io.sillreel.sim.SimCluster;
import io.sillreel.sim.SimClusterSettings;
import io.sillreel.sim.SimClusterSettings.WorkerSeconds;
import io.sillreel.sim.SimJobs;
import io.sillreel.sim.SimWorker;
import java.util.Properties;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** What keeps tasks from a machine or from a job after a failure always ends, and costs no sound machine. */
class SuspicionTest {
    private static final String FIRST = SimJobs.uid(1);
    private static final String SECOND = SimJobs.uid(2);
    private static final String THIRD = SimJobs.uid(3);

    /** Starts a cluster that returns no machine because it is idle. */
    private static SimCluster clusterOf(int machines) {
        Properties properties = new Properties();
        properties.setProperty("fleet.idle.ms", "600000");
        SimCluster cluster = new SimCluster(
                8,
                new SimClusterSettings(3, 0, machines, new WorkerSeconds(1, 12, 26), 10, 500, 50_000),
                SimCluster.Version.CURRENT,
                OperatorProperties.of(properties));
        cluster.runSeconds(2);
        return cluster;
    }

    private static SimWorker startOnlyMachine(SimCluster cluster) {
        cluster.submit(0, SimCluster.job(FIRST, 1));
        cluster.runUntil(() -> cluster.stage(0, FIRST).equals("done"));
        assertThat(cluster.cloud().machines()).hasSize(1);
        return cluster.cloud().machines().firstEntry().getValue();
    }

    private static void runUntilTried(SimCluster cluster) {
        int startsBefore = cluster.startCount();
        cluster.runUntil(() -> cluster.startCount() > startsBefore);
        cluster.runSeconds(5);
    }

    /** Guards a job that failed while its only machine was faulty for a while: it was never tried there again. */
    @Test
    void jobRunsOnItsOnlyMachineOnceThatIsSound() {
        SimCluster cluster = clusterOf(1);
        SimWorker machine = startOnlyMachine(cluster);
        machine.setTasksFail(true);
        cluster.submit(0, SimCluster.job(SECOND, 2));
        runUntilTried(cluster);
        cluster.runSeconds(5);
        machine.setTasksFail(false);
        cluster.runSeconds(60);
        assertThat(cluster.stage(0, SECOND)).isEqualTo("done");
        assertThat(cluster.cloud().machines()).containsKey(machine.name());
        assertThat(cluster.violations()).isEmpty();
    }

    /** Guards the machine on which a faulty job has failed: once the job was cancelled, nothing ended the suspicion. */
    @Test
    void cancelledFaultyJobLeavesNoSuspicion() {
        SimCluster cluster = clusterOf(1);
        startOnlyMachine(cluster);
        cluster.failTasksOf(SECOND);
        cluster.submit(0, SimCluster.job(SECOND, 1));
        runUntilTried(cluster);
        cluster.cancel(0, SECOND);
        cluster.submit(0, SimCluster.job(THIRD, 1));
        cluster.runSeconds(10);
        assertThat(cluster.stage(0, THIRD)).isEqualTo("done");
        assertThat(cluster.violations()).isEmpty();
    }

    /** The same, with a job that is not cancelled: it costs neither the machine nor the jobs that follow. */
    @Test
    void faultyJobCostsItsOnlyMachineNeitherTasksNorReturn() {
        SimCluster cluster = clusterOf(1);
        SimWorker machine = startOnlyMachine(cluster);
        cluster.failTasksOf(SECOND);
        cluster.submit(0, SimCluster.job(SECOND, 3));
        runUntilTried(cluster);
        for (int number = 3; number < 15; number++) {
            cluster.submit(0, SimCluster.job(SimJobs.uid(number), 2));
            cluster.runSeconds(number == 3 ? 30 : 8);
            assertThat(cluster.stage(0, SimJobs.uid(number))).isEqualTo("done");
        }
        assertThat(cluster.cloud().machines()).containsKey(machine.name());
        assertThat(cluster.poll(0, SECOND).json().path("reason").asText()).contains("failed on");
        assertThat(cluster.violations()).isEmpty();
    }

    /** Guards a job whose only machine is faulty for good: the machine has to be replaced, with no other evidence. */
    @Test
    void replacesOnlyMachineThatStaysFaulty() {
        SimCluster cluster = clusterOf(1);
        SimWorker machine = startOnlyMachine(cluster);
        machine.setTasksFail(true);
        cluster.submit(0, SimCluster.job(SECOND, 2));
        cluster.runSeconds(100);
        assertThat(cluster.cloud().machines()).doesNotContainKey(machine.name());
        assertThat(cluster.stage(0, SECOND)).isEqualTo("done");
        assertThat(cluster.violations()).isEmpty();
    }

    /**
     * Guards sound machines against several faulty jobs at once: two of them on one machine were taken for its fault.
     */
    @Test
    void severalFaultyJobsCostNoSoundMachine() {
        SimCluster cluster = clusterOf(6);
        Set<String> machines = startFleet(cluster);
        for (int number = 2; number < 10; number++) {
            cluster.failTasksOf(SimJobs.uid(number));
            ObjectNode job = SimCluster.job(SimJobs.uid(number), number % 3 + 1);
            cluster.submit(0, job.put("vcpus", 0.5));
        }
        runSoundJobs(cluster, 20, 2, 2);
        assertThat(cluster.cloud().machines().keySet()).containsAll(machines);
    }

    /**
     * Guards sound machines after a failover: the stored attempts of a faulty job counted against the first of them.
     */
    @Test
    void faultyJobCostsNoSoundMachineAfterFailover() {
        SimCluster cluster = clusterOf(6);
        Set<String> machines = startFleet(cluster);
        cluster.failTasksOf(SECOND);
        cluster.submit(0, SimCluster.job(SECOND, 1));
        cluster.runUntil(
                () -> cluster.poll(0, SECOND).json().path("reason").asText().startsWith("parked"));
        int formerLeader = cluster.leader();
        cluster.kill(formerLeader);
        cluster.runSeconds(5);
        cluster.restart(formerLeader);
        cluster.runSeconds(100);
        assertThat(cluster.cloud().machines().keySet()).containsAll(machines);
        assertThat(cluster.violations()).isEmpty();
    }

    /** Faulty machines are still found among sound ones, while some jobs are faulty too. */
    @Test
    void findsFaultyMachineBesideFaultyJobs() {
        SimCluster cluster = clusterOf(6);
        Set<String> sound = startFleet(cluster);
        SimWorker faulty = cluster.cloud().machines().firstEntry().getValue();
        sound.remove(faulty.name());
        faulty.setTasksFail(true);
        cluster.failTasksOf(SECOND);
        cluster.submit(0, SimCluster.job(SECOND, 4));
        runSoundJobs(cluster, 10, 4, 1);
        assertThat(cluster.cloud().machines()).doesNotContainKey(faulty.name());
        assertThat(cluster.cloud().machines().keySet()).containsAll(sound);
    }

    private static Set<String> startFleet(SimCluster cluster) {
        cluster.submit(0, SimCluster.job(FIRST, 20));
        cluster.runUntil(() -> cluster.stage(0, FIRST).equals("done"));
        Set<String> machines = new TreeSet<>(cluster.cloud().machines().keySet());
        assertThat(machines).hasSizeGreaterThan(2);
        return machines;
    }

    private static void runSoundJobs(SimCluster cluster, int jobs, int tasks, int secondsBetween) {
        for (int number = 20; number < 20 + jobs; number++) {
            cluster.submit(0, SimCluster.job(SimJobs.uid(number), tasks));
            cluster.runSeconds(secondsBetween);
        }
        cluster.runSeconds(20);
        for (int number = 20; number < 20 + jobs; number++) {
            assertThat(cluster.stage(0, SimJobs.uid(number))).isEqualTo("done");
        }
        assertThat(cluster.violations()).isEmpty();
    }
}
