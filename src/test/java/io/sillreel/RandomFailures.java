package io.sillreel;

import io.sillreel.sim.FailureInjector;
import io.sillreel.sim.SimCluster;
import io.sillreel.sim.SimNetwork;
import io.sillreel.sim.SimNetwork.Fate;
import io.sillreel.sim.SimNetwork.Rule;
import io.sillreel.sim.SimWorker;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

/** Troubles of a simulated cluster, drawn at random. */
final class RandomFailures {
    private final SimCluster world;
    private final Random random;
    /** Rules of the network that are in force. */
    private final List<Rule> cuts = new ArrayList<>();

    RandomFailures(SimCluster world, Random random) {
        this.world = world;
        this.random = random;
    }

    /** Users cancel some of the latest jobs. */
    void cancelSome(List<String> jobs, Set<String> cancelled, int count) {
        for (int each = 0; each < count && !jobs.isEmpty(); each++) {
            String uid = jobs.get(Math.max(0, jobs.size() - 1 - random.nextInt(8)));
            cancelled.add(uid);
            world.cancelMeanwhile(random.nextInt(world.nodes()), uid);
        }
    }

    /** One of the troubles that operators have seen to meet. */
    void meeting(List<String> jobs, Set<String> cancelled) {
        int leader = Math.max(0, world.leader());
        List<SimWorker> machines = List.copyOf(world.cloud().machines().values());
        Set<String> some = new HashSet<>();
        machines.stream().filter(machine -> random.nextInt(3) == 0).forEach(machine -> some.add(machine.name()));
        SimNetwork network = world.network();
        switch (random.nextInt(20)) {
            case 18 -> cuts.add(network.add(FailureInjector.writes("\"set\"", Fate.SLOW_ANSWER, 0.7, random)));
            case 0 -> cuts.add(network.add(FailureInjector.writes("\"set\"", Fate.LATE, 0.4, random)));
            case 1 -> cuts.add(network.add(FailureInjector.writes("\"set\"", Fate.LOSE_ANSWER, 0.5, random)));
            case 2 -> cuts.add(network.add(FailureInjector.reports(Fate.COPY, 0.5, random)));
            case 3 -> cuts.add(network.add(FailureInjector.reports(Fate.KEEP, 0.7, random)));
            case 4 -> cuts.add(network.add(FailureInjector.refused(leader)));
            case 5 -> world.state().outage(true);
            case 6 -> some.forEach(machine -> cuts.add(network.add(FailureInjector.unresponsive(machine))));
            case 7 -> cuts.add(network.add(FailureInjector.mute(some)));
            case 8 -> cuts.add(network.add(FailureInjector.isolated(leader)));
            case 9 -> {
                cancelSome(jobs, cancelled, 4);
                machines.stream()
                        .filter(machine -> some.contains(machine.name()))
                        .forEach(machine -> machine.hang(random.nextInt(14_000_000)));
            }
            case 10 -> pollEverywhere(jobs);
            case 11, 12 -> world.kill(leader);
            case 13 -> {
                world.restart(leader);
                world.seconds(random.nextDouble() * 0.3);
                world.restart(random.nextInt(world.nodes()));
            }
            case 14 -> cuts.add(network.add(FailureInjector.away(some, random.nextBoolean() ? Fate.HOLD : Fate.LOSE)));
            case 15 -> cuts.add(network.add(FailureInjector.commands(Fate.HOLD)));
            case 16 -> network.slowness(1 + random.nextInt(60));
            case 17 -> world.cloud().bootMicros(500_000 + random.nextInt(6_000_000));
            default -> repeatEverywhere(jobs);
        }
    }

    private void pollEverywhere(List<String> jobs) {
        for (int look = 0; look < 10 && !jobs.isEmpty(); look++) {
            for (int node = 0; node < world.nodes(); node++) {
                world.pollMeanwhile(node, jobs.get(jobs.size() - 1 - look % Math.min(4, jobs.size())));
            }
            world.seconds(0.004);
        }
    }

    private void repeatEverywhere(List<String> jobs) {
        for (int node = 0; node < world.nodes() && !jobs.isEmpty(); node++) {
            world.repeatMeanwhile(node, jobs.get(jobs.size() - 1));
            world.submitMeanwhile(node, SimCluster.job("job-999999", 1).put("vcpus", 64.0));
            world.pollMeanwhile(node, "job-999999");
        }
    }

    /** One trouble, mostly of one controller or one machine. */
    void one() {
        int node = random.nextInt(world.nodes());
        String host = "10.0.0." + node;
        int kind = random.nextInt(20);
        switch (kind) {
            case 0 -> world.kill(node);
            case 1, 2 -> {
                for (int each = 0; each < world.nodes(); each++) {
                    if (!world.isUp(each)) {
                        world.restart(each);
                    }
                }
            }
            case 3 -> world.restart(node);
            case 4 -> world.state().outage(random.nextBoolean());
            case 5 -> world.state().outage(false);
            case 6 -> world.cloud().outage(random.nextBoolean());
            case 7 -> cuts.add(world.network().add(between(host, "state:1")));
            case 8 -> cuts.add(world.network().add(between(host, "host-")));
            case 9 -> cuts.add(world.network().add(between(host, "10.0.0.")));
            case 10, 11, 13, 16 -> machineTrouble(kind);
            case 12 ->
                cuts.add(world.network()
                        .add((from, to, request) -> request.route().equals("/agent/beat")
                                        || request.route().equals("/peer/beats")
                                ? Fate.COPY
                                : null));
            case 14 -> cuts.add(world.network().add(FailureInjector.isolated(node)));
            case 15 -> {
                // Killed and back at once, perhaps in the middle of an election, and perhaps once more.
                world.restart(node);
                world.seconds(random.nextDouble() * 0.3);
                world.restart(node);
            }
            default -> {
                cuts.forEach(world.network()::remove);
                cuts.clear();
                if (random.nextBoolean()) {
                    world.network().release();
                }
            }
        }
    }

    private void machineTrouble(int kind) {
        if (world.cloud().machines().isEmpty()) {
            return;
        }
        String first = world.cloud().machines().firstKey();
        switch (kind) {
            case 10 -> cuts.add(world.network().add(between(first, "10.0.0.")));
            case 11 -> world.cloud().take(world.cloud().machines().lastKey());
            case 13 -> cuts.add(world.network().add(FailureInjector.unresponsive(first)));
            default -> world.cloud().machines().get(first).reboot();
        }
    }

    /** A trouble that hits many at once, or stops processes for a while. */
    void forMany() {
        int node = random.nextInt(world.nodes());
        List<SimWorker> machines = List.copyOf(world.cloud().machines().values());
        switch (random.nextInt(9)) {
            case 7 -> slow();
            case 8 -> {
                // All crash and come back late for what awaits them.
                for (int each = 0; each < world.nodes(); each++) {
                    world.restart(each);
                }
                slow();
            }
            case 0 -> world.freeze(node, random.nextInt(20_000_000));
            case 1 -> {
                if (world.leader() >= 0) {
                    world.freeze(world.leader(), random.nextInt(20_000_000));
                }
            }
            case 2 -> {
                // In the middle of an election, and whoever is to be elected as well.
                world.kill(node);
                world.seconds(2.5 + random.nextDouble());
                world.freeze((node + 1) % world.nodes(), random.nextInt(10_000_000));
                world.restart(node);
            }
            case 3 ->
                machines.stream()
                        .filter(machine -> random.nextBoolean())
                        .forEach(machine -> machine.hang(random.nextInt(25_000_000)));
            case 4 ->
                machines.stream()
                        .filter(machine -> random.nextInt(4) == 0)
                        .forEach(machine ->
                                world.cloud().recall(machine.name(), 2_000_000 + random.nextInt(20_000_000)));
            case 5 ->
                machines.stream()
                        .filter(machine -> random.nextInt(3) == 0)
                        .forEach(machine -> world.cloud().take(machine.name()));
            default -> cutOffAndEndLeader(machines);
        }
    }

    /** A part of the machines is cut off, and then the lease leader ends. */
    private void cutOffAndEndLeader(List<SimWorker> machines) {
        Set<String> away = new HashSet<>();
        machines.stream().filter(machine -> random.nextBoolean()).forEach(machine -> away.add(machine.name()));
        Fate fate = random.nextBoolean() ? Fate.HOLD : Fate.LOSE;
        cuts.add(world.network()
                .add((from, to, request) ->
                        away.contains(from) || to.endsWith(":9000") && away.contains(to.substring(0, to.length() - 5))
                                ? fate
                                : null));
        world.seconds(random.nextDouble() * 20);
        if (world.leader() >= 0) {
            world.kill(world.leader());
        }
    }

    /** Each controller takes its time over what it does, for ever or until it is started again. */
    private void slow() {
        long slowest = 1_000L << random.nextInt(8);
        for (int each = 0; each < world.nodes(); each++) {
            world.slow(each, random.nextInt(3) == 0 ? 0 : slowest);
        }
    }

    /** Messages between the two, either way, are lost, held back, or answered in vain. */
    private Rule between(String one, String other) {
        Fate[] fates = {Fate.LOSE, Fate.HOLD, Fate.LOSE_ANSWER};
        Fate fate = fates[random.nextInt(fates.length)];
        return (from, to, request) ->
                from.startsWith(one) && to.startsWith(other) || from.startsWith(other) && to.startsWith(one)
                        ? fate
                        : null;
    }
    /** Ends all of them, and starts what has ended. */
    void end() {
        world.state().outage(false);
        world.cloud().outage(false);
        cuts.forEach(world.network()::remove);
        cuts.clear();
        world.network().release();
        world.network().slowness(1);
        for (int node = 0; node < world.nodes(); node++) {
            world.slow(node, 0);
            if (!world.isUp(node)) {
                world.restart(node);
            }
        }
    }
}
