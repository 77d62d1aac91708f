package io.sillreel.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sillreel.sim.SimCluster;
import io.sillreel.sim.SimJobs;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Whatever is accepted gets a machine, whichever machines it allows and whatever it takes of them. */
class ScaleOutTest {
    private final SimCluster cluster = new SimCluster(9);

    private static ObjectNode withoutCpus(String uid, int tasks) {
        return SimCluster.job(uid, tasks).put("vcpus", 0.0).put("ram_gb", 2.0);
    }

    /** Guards jobs without CPUs: the cost of a machine per CPU that they lacked was infinite, so none was chosen. */
    @Test
    void jobWithoutCpusRunsAgainAfterItsOnlyMachineIsReclaimed() {
        cluster.runSeconds(2);
        cluster.submit(0, withoutCpus(SimJobs.uid(1), 1));
        cluster.runUntilStarted(1, 20_000_000);
        cluster.cloud().reclaim(cluster.cloud().machines().firstKey());
        cluster.runSeconds(60);
        assertThat(cluster.stage(0, SimJobs.uid(1))).isEqualTo("done");
        assertThat(cluster.violations()).isEmpty();
    }

    /** Guards the machines that a job allows: in an empty fleet one of them is provisioned, without any other job. */
    @ParameterizedTest
    @CsvSource({
        "0, 0, true, , false, false",
        "0, 0, false, b, false, false",
        "0, 16, true, a, true, false",
        "1e-12, 1, false, , true, false",
        "0.25, 1, false, b, false, true",
        "0, 2, true, , false, true",
        "4, 16, false, a, true, false"
    })
    void jobGetsMachineInEmptyFleet(
            double cpus, double ramGb, boolean spot, String zone, boolean oneZone, boolean spread) {
        cluster.runSeconds(2);
        ObjectNode job = SimCluster.job(SimJobs.uid(1), 3)
                .put("vcpus", cpus)
                .put("ram_gb", ramGb)
                .put("loaners", spot)
                .put("yard", zone)
                .put("one_zone", oneZone)
                .put("spread", spread);
        job.putArray("builds").add("c4");
        assertThat(cluster.submit(0, job).status()).isEqualTo(201);
        cluster.runSeconds(60);
        assertThat(cluster.stage(0, SimJobs.uid(1))).isEqualTo("done");
        assertThat(cluster.violations()).isEmpty();
    }

    /**
     * Guards a job without CPUs beside long tasks that take all memory: the CPUs that were free counted as capacity.
     */
    @Test
    void jobWithoutCpusGetsMachineWhileOthersTakeAllMemory() {
        cluster.runSeconds(2);
        cluster.submit(0, withoutCpus(SimJobs.uid(1), 8));
        cluster.runUntilStarted(8, 600_000_000);
        cluster.submit(0, withoutCpus(SimJobs.uid(2), 1));
        cluster.cloud().machines().values().forEach(worker -> worker.setRunMicros(3_000_000));
        cluster.runSeconds(30);
        assertThat(cluster.stage(0, SimJobs.uid(2))).isEqualTo("done");
        assertThat(cluster.violations()).isEmpty();
    }

    /** Guards large jobs without CPUs: all their tasks had to share one machine. */
    @Test
    void jobWithoutCpusGetsAsManyMachinesAsItsMemoryNeeds() {
        cluster.runSeconds(2);
        cluster.submit(0, withoutCpus(SimJobs.uid(1), 80).put("guess_s", 20.0));
        cluster.runUntilStarted(40, 20_000_000);
        assertThat(cluster.cloud().machines()).hasSizeGreaterThanOrEqualTo(5);
        cluster.runSeconds(60);
        assertThat(cluster.stage(0, SimJobs.uid(1))).isEqualTo("done");
        assertThat(cluster.violations()).isEmpty();
    }

    /** A job that no machine type allows is refused, not accepted and left waiting. */
    @Test
    void refusesJobThatNoMachineCanRun() {
        cluster.runSeconds(2);
        List<ObjectNode> impossible = List.of(
                SimCluster.job(SimJobs.uid(1), 1).put("vcpus", 4.01),
                SimCluster.job(SimJobs.uid(2), 1).put("ram_gb", 16.01),
                SimCluster.job(SimJobs.uid(3), 1).put("cards", 4.9e-324),
                SimCluster.job(SimJobs.uid(4), 1).put("yard", "nowhere"),
                SimCluster.job(SimJobs.uid(5), 2).put("one_zone", true).put("spread", true));
        for (ObjectNode job : impossible) {
            assertThat(cluster.submit(0, job).status()).as(job.toString()).isEqualTo(422);
        }
    }
}
