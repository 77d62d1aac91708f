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

/** Injects random failures into a simulated cluster. */
final class RandomFailures {
    private final SimCluster cluster;
    private final Random random;
    /** Active rules of the network. */
    private final List<Rule> networkRules = new ArrayList<>();

    RandomFailures(SimCluster cluster, Random random) {
        this.cluster = cluster;
        this.random = random;
    }

    /** Cancels up to {@code count} of the latest jobs. */
    void cancelRecentJobs(List<String> jobs, Set<String> cancelled, int count) {
        for (int each = 0; each < count && !jobs.isEmpty(); each++) {
            String uid = jobs.get(Math.max(0, jobs.size() - 1 - random.nextInt(8)));
            cancelled.add(uid);
            cluster.cancelAsync(random.nextInt(cluster.nodes()), uid);
        }
    }

    /** Injects one of the failures that operators have seen to occur together. */
    void injectOverlapping(List<String> jobs, Set<String> cancelled) {
        int leader = Math.max(0, cluster.leader());
        List<SimWorker> machines = List.copyOf(cluster.cloud().machines().values());
        Set<String> affected = new HashSet<>();
        machines.stream().filter(machine -> random.nextInt(3) == 0).forEach(machine -> affected.add(machine.name()));
        SimNetwork network = cluster.network();
        switch (random.nextInt(20)) {
            case 18 ->
                networkRules.add(
                        network.addRule(FailureInjector.transactions("\"set\"", Action.DELAY_RESPONSE, 0.7, random)));
            case 0 ->
                networkRules.add(network.addRule(
                        FailureInjector.transactions("\"set\"", Action.DELAY_AND_DROP_RESPONSE, 0.4, random)));
            case 1 ->
                networkRules.add(
                        network.addRule(FailureInjector.transactions("\"set\"", Action.DROP_RESPONSE, 0.5, random)));
            case 2 -> networkRules.add(network.addRule(FailureInjector.heartbeats(Action.DUPLICATE, 0.5, random)));
            case 3 -> networkRules.add(network.addRule(FailureInjector.heartbeats(Action.RECORD, 0.7, random)));
            case 4 -> networkRules.add(network.addRule(FailureInjector.rejectedByStateService(leader)));
            case 5 -> cluster.store().setOutage(true);
            case 6 ->
                affected.forEach(machine -> networkRules.add(network.addRule(FailureInjector.dropInbound(machine))));
            case 7 -> networkRules.add(network.addRule(FailureInjector.dropOutbound(affected)));
            case 8 -> networkRules.add(network.addRule(FailureInjector.isolated(leader)));
            case 9 -> {
                cancelRecentJobs(jobs, cancelled, 4);
                machines.stream()
                        .filter(machine -> affected.contains(machine.name()))
                        .forEach(machine -> machine.pause(random.nextInt(14_000_000)));
            }
            case 10 -> pollAllNodes(jobs);
            case 11, 12 -> cluster.kill(leader);
            case 13 -> {
                cluster.restart(leader);
                cluster.runSeconds(random.nextDouble() * 0.3);
                cluster.restart(random.nextInt(cluster.nodes()));
            }
            case 14 ->
                networkRules.add(network.addRule(
                        FailureInjector.machineTraffic(affected, random.nextBoolean() ? Action.HOLD : Action.DROP)));
            case 15 -> networkRules.add(network.addRule(FailureInjector.commands(Action.HOLD)));
            case 16 -> network.setLatencyFactor(1 + random.nextInt(60));
            case 17 -> cluster.cloud().setBootMicros(500_000 + random.nextInt(6_000_000));
            default -> resubmitToAllNodes(jobs);
        }
    }

    private void pollAllNodes(List<String> jobs) {
        for (int round = 0; round < 10 && !jobs.isEmpty(); round++) {
            for (int node = 0; node < cluster.nodes(); node++) {
                cluster.pollAsync(node, jobs.get(jobs.size() - 1 - round % Math.min(4, jobs.size())));
            }
            cluster.runSeconds(0.004);
        }
    }

    private void resubmitToAllNodes(List<String> jobs) {
        for (int node = 0; node < cluster.nodes() && !jobs.isEmpty(); node++) {
            cluster.resubmitAsync(node, jobs.get(jobs.size() - 1));
            cluster.submitAsync(node, SimCluster.job("job-999999", 1).put("vcpus", 64.0));
            cluster.pollAsync(node, "job-999999");
        }
    }

    /** Injects one failure, mostly of a single controller or machine. */
    void injectSingle() {
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
            case 7 -> networkRules.add(cluster.network().addRule(linkFailure(host, "state:1")));
            case 8 -> networkRules.add(cluster.network().addRule(linkFailure(host, "host-")));
            case 9 -> networkRules.add(cluster.network().addRule(linkFailure(host, "10.0.0.")));
            case 10, 11, 13, 16 -> injectMachineFailure(kind);
            case 12 ->
                networkRules.add(cluster.network()
                        .addRule((from, to, request) -> request.route().equals("/agent/beat")
                                        || request.route().equals("/peer/beats")
                                ? Action.DUPLICATE
                                : null));
            case 14 -> networkRules.add(cluster.network().addRule(FailureInjector.isolated(node)));
            case 15 -> {
                // Killed and restarted at once, possibly in the middle of an election, and again shortly after.
                cluster.restart(node);
                cluster.runSeconds(random.nextDouble() * 0.3);
                cluster.restart(node);
            }
            default -> {
                networkRules.forEach(cluster.network()::removeRule);
                networkRules.clear();
                if (random.nextBoolean()) {
                    cluster.network().releaseHeld();
                }
            }
        }
    }

    private void injectMachineFailure(int kind) {
        if (cluster.cloud().machines().isEmpty()) {
            return;
        }
        String first = cluster.cloud().machines().firstKey();
        switch (kind) {
            case 10 -> networkRules.add(cluster.network().addRule(linkFailure(first, "10.0.0.")));
            case 11 -> cluster.cloud().reclaim(cluster.cloud().machines().lastKey());
            case 13 -> networkRules.add(cluster.network().addRule(FailureInjector.dropInbound(first)));
            default -> cluster.cloud().machines().get(first).reboot();
        }
    }

    /** Injects a failure that affects many hosts at once, or pauses processes for a while. */
    void injectWidespread() {
        int node = random.nextInt(cluster.nodes());
        List<SimWorker> machines = List.copyOf(cluster.cloud().machines().values());
        switch (random.nextInt(9)) {
            case 7 -> slowDownControllers();
            case 8 -> {
                // All controllers crash and restart, and then process their backlog slowly.
                for (int each = 0; each < cluster.nodes(); each++) {
                    cluster.restart(each);
                }
                slowDownControllers();
            }
            case 0 -> cluster.pause(node, random.nextInt(20_000_000));
            case 1 -> {
                if (cluster.leader() >= 0) {
                    cluster.pause(cluster.leader(), random.nextInt(20_000_000));
                }
            }
            case 2 -> {
                // Pauses a possible successor in the middle of an election.
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
            default -> partitionMachinesAndKillLeader(machines);
        }
    }

    /** Partitions some of the machines, and then kills the leader. */
    private void partitionMachinesAndKillLeader(List<SimWorker> machines) {
        Set<String> partitioned = new HashSet<>();
        machines.stream().filter(machine -> random.nextBoolean()).forEach(machine -> partitioned.add(machine.name()));
        Action action = random.nextBoolean() ? Action.HOLD : Action.DROP;
        networkRules.add(cluster.network()
                .addRule((from, to, request) -> partitioned.contains(from)
                                || to.endsWith(":9000") && partitioned.contains(to.substring(0, to.length() - 5))
                        ? action
                        : null));
        cluster.runSeconds(random.nextDouble() * 20);
        if (cluster.leader() >= 0) {
            cluster.kill(cluster.leader());
        }
    }

    /** Slows down controllers until they are reset or restarted. */
    private void slowDownControllers() {
        long maxMicros = 1_000L << random.nextInt(8);
        for (int each = 0; each < cluster.nodes(); each++) {
            cluster.setProcessingMicros(each, random.nextInt(3) == 0 ? 0 : maxMicros);
        }
    }

    /** Messages between the two hosts, in both directions, are lost or held back, or their responses are lost. */
    private Rule linkFailure(String one, String other) {
        Action[] actions = {Action.DROP, Action.HOLD, Action.DROP_RESPONSE};
        Action action = actions[random.nextInt(actions.length)];
        return (from, to, request) ->
                from.startsWith(one) && to.startsWith(other) || from.startsWith(other) && to.startsWith(one)
                        ? action
                        : null;
    }

    /** Ends all failures and restarts controllers that are down. */
    void healAll() {
        cluster.store().setOutage(false);
        cluster.cloud().setOutage(false);
        networkRules.forEach(cluster.network()::removeRule);
        networkRules.clear();
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
