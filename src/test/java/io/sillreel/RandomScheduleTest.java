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
 * Random troubles over the whole service in memory: kills, restarts within a moment, cuts that lose or hold messages,
 * late copies of reports, machines that hear nothing or start again, isolated controllers, outages, machines taken. The
 * users' rules are watched all along, and once the troubles end every job must end. A seed that fails is named;
 * {@code -Dsillreel.seed=N} plays one by hand.
 */
class RandomScheduleTest {
    private static final int SEEDS = 25;
    /** Seeds that broke a rule once. */
    private static final long[] BROKEN_ONCE = {118, 252, 256, 1560, 3062};

    private static final int STEPS = 40;
    private static final int TEAM_CPUS = 10;

    @Test
    void theRulesHoldWhateverFails() {
        if (playSeeds(seed -> play(seed, false))) {
            for (long seed : BROKEN_ONCE) {
                play(seed, false);
            }
        }
    }

    /**
     * The same with troubles that hit many at once, or that stop processes for a while: half of all troubles are those.
     */
    @Test
    void theRulesHoldWhenManyFailTogether() {
        playSeeds(seed -> play(seed, true));
    }

    /**
     * Pairs of the troubles that operators have seen to meet, now and then three of them, each while the others last.
     */
    @Test
    void theRulesHoldWhenTroublesMeet() {
        playSeeds(RandomScheduleTest::playMeetings);
    }

    /**
     * The same with chains of jobs, cancellations anywhere in them, and limits of the state service that fall on the
     * way.
     */
    @Test
    void theRulesHoldForChainsWhenTroublesMeet() {
        playSeeds(RandomScheduleTest::playChains);
    }

    /** The same while controllers are upgraded one by one, and now and then come back as the previous version. */
    @Test
    void theRulesHoldDuringUpgradesWhenTroublesMeet() {
        playSeeds(RandomScheduleTest::playUpgrade);
    }

    /** Plays the usual seeds, or only the one that was asked for; false in that case. */
    private static boolean playSeeds(LongConsumer play) {
        Long chosen = Long.getLong("sillreel.seed");
        if (chosen != null) {
            play.accept(chosen);
            return false;
        }
        for (long seed = 1; seed <= SEEDS; seed++) {
            play.accept(seed);
        }
        return true;
    }

    private static SimCluster world(long seed) {
        return new SimCluster(seed, TEAM_CPUS, seed % 3 == 0 ? 5 : 3, Version.CURRENT);
    }

    private static void play(long seed, boolean together) {
        SimCluster cluster = world(seed);
        int nodes = cluster.nodes();
        Random random = new Random(seed);
        RandomFailures troubles = new RandomFailures(cluster, random);
        List<String> jobs = new ArrayList<>();
        List<String> cancelled = new ArrayList<>();
        cluster.runSeconds(2);
        for (int step = 0; step < STEPS; step++) {
            if (together && random.nextBoolean()) {
                troubles.forMany();
            } else {
                troubles.one();
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
                    // Without an answer it may be carried out later, by a controller that stood still.
                    if (response.isOk() || response.status() <= 0) {
                        cancelled.add(uid);
                    }
                }
            }
            cluster.runSeconds(random.nextDouble() * 5);
        }
        troubles.end();
        everythingEnds(cluster, random, jobs, cancelled, seed);
    }

    private static void everythingEnds(
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

    private static void playMeetings(long seed) {
        playMeetings(world(seed), seed, Play.JOBS);
    }

    private static void playChains(long seed) {
        playMeetings(world(seed), seed, Play.CHAINS);
    }

    private static void playUpgrade(long seed) {
        SimCluster cluster = new SimCluster(seed, TEAM_CPUS, seed % 3 == 0 ? 5 : 3, Version.PREVIOUS);
        playMeetings(cluster, seed, Play.UPGRADE);
    }

    /** What is played besides the troubles. */
    private enum Play {
        JOBS,
        CHAINS,
        UPGRADE
    }

    private static void playMeetings(SimCluster cluster, long seed, Play play) {
        Random random = new Random(seed);
        Set<String> submitted = new LinkedHashSet<>();
        Set<String> cancelled = new HashSet<>();
        RandomFailures troubles = new RandomFailures(cluster, random);
        cluster.runSeconds(2);
        for (int step = 0; step < STEPS / 2; step++) {
            int meeting = 2 + random.nextInt(2);
            for (int each = 0; each < meeting; each++) {
                troubles.meeting(List.copyOf(submitted), cancelled);
                for (int more = 0; more < 2; more++) {
                    String uid = "job-%06d".formatted(submitted.size() + 1);
                    submitted.add(uid);
                    ObjectNode submission = someJob(uid);
                    if (play == Play.CHAINS) {
                        await(cluster, random, submission);
                    }
                    cluster.submitAsync(random.nextInt(cluster.nodes()), submission);
                }
                if (play == Play.UPGRADE) {
                    changeVersions(cluster, random);
                }
                cluster.runSeconds(random.nextDouble() * 3);
                troubles.cancelSome(List.copyOf(submitted), cancelled, random.nextInt(3));
            }
            cluster.runSeconds(random.nextDouble() * 12);
            if (random.nextInt(3) > 0) {
                troubles.end();
            }
            for (SimWorker machine : cluster.cloud().machines().values()) {
                machine.setRunMicros(1_000_000 + random.nextInt(12_000_000));
            }
        }
        if (play != Play.JOBS) {
            cluster.store().setLimits(6, 2 * 1024, 60);
        }
        for (int node = 0; node < cluster.nodes(); node++) {
            if (cluster.version(node) == Version.PREVIOUS) {
                cluster.restart(node, Version.CURRENT);
                cluster.runSeconds(random.nextDouble());
            }
        }
        troubles.end();
        if (play == Play.UPGRADE) {
            submitChains(cluster, random, submitted);
        }
        cluster.cloud().machines().values().forEach(machine -> machine.setRunMicros(3_000_000));
        submitted.removeIf(uid -> cluster.known(uid) == null && cluster.store().value("plan/" + uid) == null);
        everythingEnds(cluster, random, submitted, cancelled, seed);
    }

    /** The same for the same name, since users repeat what they submit. */
    private static ObjectNode someJob(String uid) {
        return SimCluster.job(uid, 1 + Integer.parseInt(uid.substring(4)) % 5);
    }

    /** Names up to three jobs that were told to be accepted, most of them young, some long over. */
    private static void await(SimCluster cluster, Random random, ObjectNode job) {
        int number = Integer.parseInt(job.path("uid").asText().substring(4));
        ArrayNode awaits = job.putArray("awaits");
        for (int each = random.nextInt(4); each > 0 && number > 1; each--) {
            int back = random.nextInt(4) == 0 ? random.nextInt(number - 1) : random.nextInt(Math.min(6, number - 1));
            String earlier = "job-%06d".formatted(number - 1 - back);
            if (cluster.known(earlier) != null) {
                awaits.add(earlier);
            }
        }
    }

    /** Some get the present version; a process that dies may find the previous one again. */
    private static void changeVersions(SimCluster cluster, Random random) {
        for (int node = 0; node < cluster.nodes(); node++) {
            switch (random.nextInt(10)) {
                case 0, 1 -> cluster.restart(node, Version.CURRENT);
                case 2 -> cluster.restart(node, Version.PREVIOUS);
                default -> {}
            }
        }
    }

    /** Jobs that await what both versions accepted, done, cancelled or neither. */
    private static void submitChains(SimCluster cluster, Random random, Set<String> submitted) {
        cluster.runSeconds(10);
        for (int each = 0; each < 8; each++) {
            ObjectNode job = someJob("job-%06d".formatted(submitted.size() + 1));
            await(cluster, random, job);
            submitted.add(job.path("uid").asText());
            cluster.submitAsync(random.nextInt(cluster.nodes()), job);
            cluster.runSeconds(random.nextDouble());
        }
    }
}
