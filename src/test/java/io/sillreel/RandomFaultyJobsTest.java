package io.sillreel;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sillreel.http.HttpResponse;
import io.sillreel.sim.SimCluster;
import io.sillreel.sim.SimJobs;
import io.sillreel.sim.SimWorker;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/**
 * Jobs with unusual amounts and requirements, jobs that fail everywhere, and machines that fail every task for a while,
 * at random times of a seeded run: every other accepted job has to be done. A longer run is started by hand with
 * {@code -Dsillreel.seeds=500}.
 */
class RandomFaultyJobsTest {
    private static final int DEFAULT_SEEDS = 12;
    private static final int STEPS = 60;
    private static final double[] CPUS = {0, 4.9e-324, 5.551115123125783e-17, 0.25, 1, 1.3333334, 4};
    private static final double[] RAM_GB = {0, 1e-12, 1, 2, 16};
    private static final double[] SECONDS = {0, 1e-9, 3, 1e12};
    private static final String[] ZONES = {null, null, "a", "b"};

    private final Set<String> expected = new LinkedHashSet<>();
    private final List<String> faulty = new ArrayList<>();
    private SimCluster cluster;
    private Random random;
    private int jobs;

    @Test
    void everySoundJobIsDone() {
        int seeds = Integer.getInteger("sillreel.seeds", DEFAULT_SEEDS);
        for (int seed = 1; seed <= seeds; seed++) {
            run(seed);
        }
    }

    private void run(int seed) {
        random = new Random(seed);
        cluster = new SimCluster(seed, random.nextBoolean() ? 0 : 12);
        expected.clear();
        faulty.clear();
        cluster.runSeconds(2);
        for (int step = 0; step < STEPS; step++) {
            disturb();
            cluster.runSeconds(1);
        }
        cluster.cloud().machines().values().forEach(worker -> worker.setTasksFail(false));
        faulty.forEach(uid -> cluster.cancel(runningNode(), uid));
        cluster.runSeconds(200);
        Set<String> missing = new TreeSet<>();
        for (String uid : expected) {
            if (!cluster.stage(runningNode(), uid).equals("done")) {
                missing.add(uid);
            }
        }
        assertThat(missing).as("jobs of seed %d that are not done", seed).isEmpty();
        assertThat(cluster.violations()).as("seed %d", seed).isEmpty();
    }

    private int runningNode() {
        return cluster.isServing(0) ? 0 : 1;
    }

    private void disturb() {
        int choice = random.nextInt(100);
        if (choice < 50) {
            submit(choice < 12);
        } else if (choice < 62 && !cluster.cloud().machines().isEmpty()) {
            SimWorker machine = anyMachine();
            machine.setTasksFail(random.nextBoolean());
        } else if (choice < 66 && !cluster.cloud().machines().isEmpty()) {
            cluster.cloud().reclaim(anyMachine().name());
        } else if (choice < 72 && !faulty.isEmpty()) {
            cluster.cancel(runningNode(), faulty.remove(random.nextInt(faulty.size())));
        } else if (choice < 75 && cluster.leader() >= 0) {
            cluster.restart(cluster.leader());
            cluster.runSeconds(5);
        }
    }

    private SimWorker anyMachine() {
        List<SimWorker> machines = List.copyOf(cluster.cloud().machines().values());
        return machines.get(random.nextInt(machines.size()));
    }

    private void submit(boolean isFaulty) {
        String uid = SimJobs.uid(++jobs);
        if (isFaulty) {
            cluster.failTasksOf(uid);
        }
        HttpResponse response = cluster.submit(runningNode(), job(uid));
        if (response == null || response.status() != 201) {
            return;
        }
        if (isFaulty) {
            faulty.add(uid);
        } else {
            expected.add(uid);
        }
    }

    private ObjectNode job(String uid) {
        boolean isOneZone = random.nextInt(4) == 0;
        return SimCluster.job(uid, 1 + random.nextInt(4))
                .put("vcpus", oneOf(CPUS))
                .put("ram_gb", oneOf(RAM_GB))
                .put("guess_s", oneOf(SECONDS))
                .put("mark_every_s", oneOf(SECONDS))
                .put("stash_s", oneOf(SECONDS))
                .put("yard", ZONES[random.nextInt(ZONES.length)])
                .put("one_zone", isOneZone)
                .put("spread", !isOneZone && random.nextInt(4) == 0)
                .put("loaners", random.nextInt(3) > 0);
    }

    private double oneOf(double[] values) {
        return values[random.nextInt(values.length)];
    }
}
