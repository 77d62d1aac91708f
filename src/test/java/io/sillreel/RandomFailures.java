package io.sillreel;

import io.sillreel.sim.FailureInjector;
import io.sillreel.sim.SimCluster;
import io.sillreel.sim.SimNetwork;
import io.sillreel.sim.SimNetwork.Action;
import io.sillreel.sim.SimNetwork.Rule;
import io.sillreel.sim.SimWorker;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

/** Troubles of a simulated cluster, drawn at random. */
final class RandomFailures {
    private final SimCluster cluster;
    private final Random random;
    /** Rules of the network that are in force. */
    private final List<Rule> cuts = new ArrayList<>();

    RandomFailures(SimCluster cluster, Random random) {
        this.cluster = cluster;
        this.random = random;
    }

    /** Users cancel some of the latest jobs. */
    void cancelSome(List<String> jobs, Set<String> cancelled, int count) {
        for (int each = 0; each < count && !jobs.isEmpty(); each++) {
            String uid = jobs.get(Math.max(0, jobs.size() - 1 - random.nextInt(8)));
            cancelled.add(uid);
            cluster.cancelAsync(random.nextInt(cluster.nodes()), uid);
        }
    }

    /** One of the troubles that operators have seen to meet. */
    void meeting(List<String> jobs, Set<String> cancelled) {
        int leader = Math.max(0, cluster.leader());
        List<SimWorker> machines = List.copyOf(cluster.cloud().machines().values());
        Set<String> some = new HashSet<>();
        machines.stream().filter(machine -> random.nextInt(3) == 0).forEach(machine -> some.add(machine.name()));
        SimNetwork network = cluster.network();
        switch (random.nextInt(20)) {
            case 18 ->
                cuts.add(network.addRule(FailureInjector.transactions("\"set\"", Action.DELAY_RESPONSE, 0.7, random)));
            case 0 ->
                cuts.add(network.addRule(
                        FailureInjector.transactions("\"set\"", Action.DELAY_AND_DROP_RESPONSE, 0.4, random)));
            case 1 ->
                cuts.add(network.addRule(FailureInjector.transactions("\"set\"", Action.DROP_RESPONSE, 0.5, random)));
            case 2 -> cuts.add(network.addRule(FailureInjector.heartbeats(Action.DUPLICATE, 0.5, random)));
            case 3 -> cuts.add(network.addRule(FailureInjector.heartbeats(Action.RECORD, 0.7, random)));
            case 4 -> cuts.add(network.addRule(FailureInjector.rejectedByStateService(leader)));
            case 5 -> cluster.store().setOutage(true);
            case 6 -> some.forEach(machine -> cuts.add(network.addRule(FailureInjector.dropInbound(machine))));
            case 7 -> cuts.add(network.addRule(FailureInjector.dropOutbound(some)));
            case 8 -> cuts.add(network.addRule(FailureInjector.isolated(leader)));
            case 9 -> {
                cancelSome(jobs, cancelled, 4);
                machines.stream()
                        .filter(machine -> some.contains(machine.name()))
                        .forEach(machine -> machine.pause(random.nextInt(14_000_000)));
            }
            case 10 -> pollEverywhere(jobs);
            case 11, 12 -> cluster.kill(leader);
            case 13 -> {
                cluster.restart(leader);
                cluster.runSeconds(random.nextDouble() * 0.3);
                cluster.restart(random.nextInt(cluster.nodes()));
            }
            case 14 ->
                cuts.add(network.addRule(
                        FailureInjector.machineTraffic(some, random.nextBoolean() ? Action.HOLD : Action.DROP)));
            case 15 -> cuts.add(network.addRule(FailureInjector.commands(Action.HOLD)));
            case 16 -> network.setLatencyFactor(1 + random.nextInt(60));
            case 17 -> cluster.cloud().setBootMicros(500_000 + random.nextInt(6_000_000));
            default -> repeatEverywhere(jobs);
        }
    }

    private void pollEverywhere(List<String> jobs) {
        for (int look = 0; look < 10 && !jobs.isEmpty(); look++) {
            for (int node = 0; node < cluster.nodes(); node++) {
                cluster.pollAsync(node, jobs.get(jobs.size() - 1 - look % Math.min(4, jobs.size())));
            }
            cluster.runSeconds(0.004);
        }
    }

    private void repeatEverywhere(List<String> jobs) {
        for (int node = 0; node < cluster.nodes() && !jobs.isEmpty(); node++) {
            cluster.resubmitAsync(node, jobs.get(jobs.size() - 1));
            cluster.submitAsync(node, SimCluster.job("job-999999", 1).put("vcpus", 64.0));
            cluster.pollAsync(node, "job-999999");
        }
    }

    /** One trouble, mostly of one controller or one machine. */
    void one() {
        int node = random.nextInt(cluster.nodes());
        String host = "10.0.0." + node;
        int kind = random.nextInt(20);
        switch (kind) {
            case 0 -> cluster.kill(node);
            case 1, 2 -> {
                for (int each = 0; each < cluster.nodes(); each++) {
                    if (!cluster.isUp(each)) {
                        cluster.restart(each);
                    }
                }
            }
            case 3 -> cluster.restart(node);
            case 4 -> cluster.store().setOutage(random.nextBoolean());
            case 5 -> cluster.store().setOutage(false);
            case 6 -> cluster.cloud().setOutage(random.nextBoolean());
            case 7 -> cuts.add(cluster.network().addRule(between(host, "state:1")));
            case 8 -> cuts.add(cluster.network().addRule(between(host, "host-")));
            case 9 -> cuts.add(cluster.network().addRule(between(host, "10.0.0.")));
            case 10, 11, 13, 16 -> machineTrouble(kind);
            case 12 ->
                cuts.add(cluster.network()
                        .addRule((from, to, request) -> request.route().equals("/agent/beat")
                                        || request.route().equals("/peer/beats")
                                ? Action.DUPLICATE
                                : null));
            case 14 -> cuts.add(cluster.network().addRule(FailureInjector.isolated(node)));
            case 15 -> {
                // Killed and back at once, perhaps in the middle of an election, and perhaps once more.
                cluster.restart(node);
                cluster.runSeconds(random.nextDouble() * 0.3);
                cluster.restart(node);
            }
            default -> {
                cuts.forEach(cluster.network()::removeRule);
                cuts.clear();
                if (random.nextBoolean()) {
                    cluster.network().releaseHeld();
                }
            }
        }
    }

    private void machineTrouble(int kind) {
        if (cluster.cloud().machines().isEmpty()) {
            return;
        }
        String first = cluster.cloud().machines().firstKey();
        switch (kind) {
            case 10 -> cuts.add(cluster.network().addRule(between(first, "10.0.0.")));
            case 11 -> cluster.cloud().reclaim(cluster.cloud().machines().lastKey());
            case 13 -> cuts.add(cluster.network().addRule(FailureInjector.dropInbound(first)));
            default -> cluster.cloud().machines().get(first).reboot();
        }
    }

    /** A trouble that hits many at once, or stops processes for a while. */
    void forMany() {
        int node = random.nextInt(cluster.nodes());
        List<SimWorker> machines = List.copyOf(cluster.cloud().machines().values());
        switch (random.nextInt(9)) {
            case 7 -> slow();
            case 8 -> {
                // All crash and come back late for what awaits them.
                for (int each = 0; each < cluster.nodes(); each++) {
                    cluster.restart(each);
                }
                slow();
            }
            case 0 -> cluster.pause(node, random.nextInt(20_000_000));
            case 1 -> {
                if (cluster.leader() >= 0) {
                    cluster.pause(cluster.leader(), random.nextInt(20_000_000));
                }
            }
            case 2 -> {
                // In the middle of an election, and whoever is to be elected as well.
                cluster.kill(node);
                cluster.runSeconds(2.5 + random.nextDouble());
                cluster.pause((node + 1) % cluster.nodes(), random.nextInt(10_000_000));
                cluster.restart(node);
            }
            case 3 ->
                machines.stream()
                        .filter(machine -> random.nextBoolean())
                        .forEach(machine -> machine.pause(random.nextInt(25_000_000)));
            case 4 ->
                machines.stream()
                        .filter(machine -> random.nextInt(4) == 0)
                        .forEach(machine -> cluster.cloud()
                                .reclaimWithNotice(machine.name(), 2_000_000 + random.nextInt(20_000_000)));
            case 5 ->
                machines.stream()
                        .filter(machine -> random.nextInt(3) == 0)
                        .forEach(machine -> cluster.cloud().reclaim(machine.name()));
            default -> cutOffAndEndLeader(machines);
        }
    }

    /** A part of the machines is cut off, and then the lease leader ends. */
    private void cutOffAndEndLeader(List<SimWorker> machines) {
        Set<String> away = new HashSet<>();
        machines.stream().filter(machine -> random.nextBoolean()).forEach(machine -> away.add(machine.name()));
        Action action = random.nextBoolean() ? Action.HOLD : Action.DROP;
        cuts.add(cluster.network()
                .addRule((from, to, request) ->
                        away.contains(from) || to.endsWith(":9000") && away.contains(to.substring(0, to.length() - 5))
                                ? action
                                : null));
        cluster.runSeconds(random.nextDouble() * 20);
        if (cluster.leader() >= 0) {
            cluster.kill(cluster.leader());
        }
    }

    /** Each controller takes its time over what it does, for ever or until it is started again. */
    private void slow() {
        long slowest = 1_000L << random.nextInt(8);
        for (int each = 0; each < cluster.nodes(); each++) {
            cluster.setProcessingMicros(each, random.nextInt(3) == 0 ? 0 : slowest);
        }
    }

    /** Messages between the two, either way, are lost, held back, or answered in vain. */
    private Rule between(String one, String other) {
        Action[] actions = {Action.DROP, Action.HOLD, Action.DROP_RESPONSE};
        Action action = actions[random.nextInt(actions.length)];
        return (from, to, request) ->
                from.startsWith(one) && to.startsWith(other) || from.startsWith(other) && to.startsWith(one)
                        ? action
                        : null;
    }
    /** Ends all of them, and starts what has ended. */
    void end() {
        cluster.store().setOutage(false);
        cluster.cloud().setOutage(false);
        cuts.forEach(cluster.network()::removeRule);
        cuts.clear();
        cluster.network().releaseHeld();
        cluster.network().setLatencyFactor(1);
        for (int node = 0; node < cluster.nodes(); node++) {
            cluster.setProcessingMicros(node, 0);
            if (!cluster.isUp(node)) {
                cluster.restart(node);
            }
        }
    }
}
