package io.sillreel;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sillreel.http.HttpResponse;
import io.sillreel.sim.SimCluster;
import io.sillreel.sim.SimCluster.Version;
import io.sillreel.sim.SimWorker;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.LongConsumer;
import org.junit.jupiter.api.Test;

/**
 * Random failures of the whole service in memory: kills, immediate restarts, partitions that drop or hold messages,
 * late duplicates of heartbeats, machines that receive nothing or reboot, isolated controllers, outages, reclaimed
 * machines. The invariants of the service are checked throughout, and once the failures end every job must finish. A
 * failing seed is named in the assertion; {@code -Dsillreel.seed=N} runs a single seed.
 */
class RandomScheduleTest {
    private static final int SEEDS = 25;
    /** Seeds that once violated an invariant. */
    private static final long[] REGRESSION_SEEDS = {118, 252, 256, 1560, 3062};

    private static final int STEPS = 40;
    private static final int TEAM_CPUS = 10;

    @Test
    void invariantsHoldUnderRandomFailures() {
        if (runSeeds(seed -> runSchedule(seed, false))) {
            for (long seed : REGRESSION_SEEDS) {
                runSchedule(seed, false);
            }
        }
    }

    /** Half of the failures affect many hosts at once, or pause processes for a while. */
    @Test
    void invariantsHoldUnderWidespreadFailures() {
        runSeeds(seed -> runSchedule(seed, true));
    }

    /** Two, sometimes three overlapping failures of the kinds that operators have seen to occur together. */
    @Test
    void invariantsHoldUnderOverlappingFailures() {
        runSeeds(RandomScheduleTest::runOverlappingFailures);
    }

    /**
     * Overlapping failures with chains of dependent jobs, cancellations anywhere in them, and limits of the state
     * service that drop during the run.
     */
    @Test
    void invariantsHoldForJobChainsUnderOverlappingFailures() {
        runSeeds(RandomScheduleTest::runJobChains);
    }

    /** Overlapping failures while controllers are upgraded one by one and sometimes rolled back. */
    @Test
    void invariantsHoldDuringUpgradesUnderOverlappingFailures() {
        runSeeds(RandomScheduleTest::runUpgrade);
    }

    /** Runs the default seeds, or only the seed set by the system property; returns false in the latter case. */
    private static boolean runSeeds(LongConsumer schedule) {
        Long chosen = Long.getLong("sillreel.seed");
        if (chosen != null) {
            schedule.accept(chosen);
            return false;
        }
        for (long seed = 1; seed <= SEEDS; seed++) {
            schedule.accept(seed);
        }
        return true;
    }

    private static SimCluster newCluster(long seed) {
        return new SimCluster(seed, TEAM_CPUS, seed % 3 == 0 ? 5 : 3, Version.CURRENT);
    }

    private static void runSchedule(long seed, boolean widespread) {
        SimCluster cluster = newCluster(seed);
        int nodes = cluster.nodes();
        Random random = new Random(seed);
        RandomFailures failures = new RandomFailures(cluster, random);
        List<String> jobs = new ArrayList<>();
        List<String> cancelled = new ArrayList<>();
        cluster.runSeconds(2);
        for (int step = 0; step < STEPS; step++) {
            if (widespread && random.nextBoolean()) {
                failures.injectWidespread();
            } else {
                failures.injectSingle();
            }
            int node = random.nextInt(nodes);
            if (cluster.isUp(node) && random.nextInt(3) == 0) {
                String uid = "job-%06d".formatted(step + 1);
                if (cluster.submit(node, SimCluster.job(uid, 1 + random.nextInt(8)))
                                .status()
                        == 201) {
                    jobs.add(uid);
                }
            }
            if (cluster.isUp(node) && !jobs.isEmpty()) {
                String uid = jobs.get(random.nextInt(jobs.size()));
                cluster.poll(node, uid);
                if (random.nextInt(8) == 0) {
                    HttpResponse response = cluster.cancel(node, uid);
                    // Without a response, a paused controller may still carry out the cancellation later.
                    if (response.isOk() || response.status() <= 0) {
                        cancelled.add(uid);
                    }
                }
            }
            cluster.runSeconds(random.nextDouble() * 5);
        }
        failures.healAll();
        assertAllJobsFinish(cluster, random, jobs, cancelled, seed);
    }

    private static void assertAllJobsFinish(
            SimCluster cluster, Random random, Collection<String> jobs, Collection<String> cancelled, long seed) {
        cluster.runSeconds(240);
        assertThat(cluster.violations()).as("seed %d", seed).isEmpty();
        for (String uid : jobs) {
            assertThat(cluster.stage(random.nextInt(cluster.nodes()), uid))
                    .as("seed %d, %s", seed, uid)
                    .isIn(
                            cluster.dependencyClosure(uid).anyMatch(cancelled::contains)
                                    ? List.of("done", "withdrawn")
                                    : List.of("done"));
        }
        assertThat(cluster.violations()).as("seed %d", seed).isEmpty();
    }

    private static void runOverlappingFailures(long seed) {
        runOverlappingFailures(newCluster(seed), seed, Workload.JOBS);
    }

    private static void runJobChains(long seed) {
        runOverlappingFailures(newCluster(seed), seed, Workload.CHAINS);
    }

    private static void runUpgrade(long seed) {
        SimCluster cluster = new SimCluster(seed, TEAM_CPUS, seed % 3 == 0 ? 5 : 3, Version.PREVIOUS);
        runOverlappingFailures(cluster, seed, Workload.UPGRADE);
    }

    /** The jobs and upgrades that run while failures are injected. */
    private enum Workload {
        JOBS,
        CHAINS,
        UPGRADE
    }

    private static void runOverlappingFailures(SimCluster cluster, long seed, Workload workload) {
        Random random = new Random(seed);
        Set<String> jobs = new LinkedHashSet<>();
        Set<String> cancelled = new HashSet<>();
        RandomFailures failures = new RandomFailures(cluster, random);
        cluster.runSeconds(2);
        for (int step = 0; step < STEPS / 2; step++) {
            int failureCount = 2 + random.nextInt(2);
            for (int each = 0; each < failureCount; each++) {
                failures.injectOverlapping(List.copyOf(jobs), cancelled);
                for (int more = 0; more < 2; more++) {
                    String uid = "job-%06d".formatted(jobs.size() + 1);
                    jobs.add(uid);
                    ObjectNode submission = jobFor(uid);
                    if (workload == Workload.CHAINS) {
                        addDependencies(cluster, random, submission);
                    }
                    cluster.submitAsync(random.nextInt(cluster.nodes()), submission);
                }
                if (workload == Workload.UPGRADE) {
                    restartWithRandomVersions(cluster, random);
                }
                cluster.runSeconds(random.nextDouble() * 3);
                failures.cancelRecentJobs(List.copyOf(jobs), cancelled, random.nextInt(3));
            }
            cluster.runSeconds(random.nextDouble() * 12);
            if (random.nextInt(3) > 0) {
                failures.healAll();
            }
            for (SimWorker machine : cluster.cloud().machines().values()) {
                machine.setRunMicros(1_000_000 + random.nextInt(12_000_000));
            }
        }
        if (workload != Workload.JOBS) {
            cluster.store().setLimits(6, 2 * 1024, 60);
        }
        for (int node = 0; node < cluster.nodes(); node++) {
            if (cluster.version(node) == Version.PREVIOUS) {
                cluster.restart(node, Version.CURRENT);
                cluster.runSeconds(random.nextDouble());
            }
        }
        failures.healAll();
        if (workload == Workload.UPGRADE) {
            submitChains(cluster, random, jobs);
        }
        cluster.cloud().machines().values().forEach(machine -> machine.setRunMicros(3_000_000));
        jobs.removeIf(uid -> cluster.lastStage(uid) == null && cluster.store().value("plan/" + uid) == null);
        assertAllJobsFinish(cluster, random, jobs, cancelled, seed);
    }

    /** Deterministic by id, because submissions are repeated and must be identical. */
    private static ObjectNode jobFor(String uid) {
        return SimCluster.job(uid, 1 + Integer.parseInt(uid.substring(4)) % 5);
    }

    /** Adds up to three dependencies on jobs known to be accepted, most of them recent, some long finished. */
    private static void addDependencies(SimCluster cluster, Random random, ObjectNode job) {
        int number = Integer.parseInt(job.path("uid").asText().substring(4));
        ArrayNode awaits = job.putArray("awaits");
        for (int each = random.nextInt(4); each > 0 && number > 1; each--) {
            int back = random.nextInt(4) == 0 ? random.nextInt(number - 1) : random.nextInt(Math.min(6, number - 1));
            String earlier = "job-%06d".formatted(number - 1 - back);
            if (cluster.lastStage(earlier) != null) {
                awaits.add(earlier);
            }
        }
    }

    /** Restarts some controllers with the current version, others with the previous one. */
    private static void restartWithRandomVersions(SimCluster cluster, Random random) {
        for (int node = 0; node < cluster.nodes(); node++) {
            switch (random.nextInt(10)) {
                case 0, 1 -> cluster.restart(node, Version.CURRENT);
                case 2 -> cluster.restart(node, Version.PREVIOUS);
                default -> {}
            }
        }
    }

    /** Submits jobs that depend on jobs accepted by both versions, which are done, cancelled or unfinished. */
    private static void submitChains(SimCluster cluster, Random random, Set<String> submitted) {
        cluster.runSeconds(10);
        for (int each = 0; each < 8; each++) {
            ObjectNode job = jobFor("job-%06d".formatted(submitted.size() + 1));
            addDependencies(cluster, random, job);
            submitted.add(job.path("uid").asText());
            cluster.submitAsync(random.nextInt(cluster.nodes()), job);
            cluster.runSeconds(random.nextDouble());
        }
    }
}
