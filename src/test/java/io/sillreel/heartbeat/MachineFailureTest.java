package io.sillreel.heartbeat;

import static org.assertj.core.api.Assertions.assertThat;

import io.sillreel.sim.FailureInjector;
import io.sillreel.sim.SimCluster;
import io.sillreel.sim.SimNetwork.Fate;
import io.sillreel.sim.SimNetwork.Rule;
import io.sillreel.sim.SimWorker;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Failures of machines and of their connections to controllers: lost responses, duplicated heartbeats, restarts,
 * isolated controllers, spot interruptions and silent machines.
 */
class MachineFailureTest {
    private final SimCluster world = new SimCluster(11);

    private SimWorker untilMachineRuns(int minTasks) {
        world.until(() -> world.cloud().machines().values().stream()
                .anyMatch(worker -> worker.running().size() >= minTasks));
        return world.cloud().machines().values().stream()
                .filter(worker -> worker.running().size() >= minTasks)
                .findFirst()
                .orElseThrow();
    }

    /** Guards against sending launches forever to a machine that receives no responses. */
    @Test
    void replacesUnresponsiveMachine() {
        world.seconds(2);
        world.submit(0, SimCluster.job("job-000001", 2));
        SimWorker worker = untilMachineRuns(2);
        world.network().add(FailureInjector.unresponsive(worker.name()));
        world.submit(0, SimCluster.job("job-000002", 2));
        world.seconds(60);
        assertThat(world.cloud().machines()).doesNotContainKey(worker.name());
        assertThat(world.stage(0, "job-000001")).isEqualTo("done");
        assertThat(world.stage(0, "job-000002")).isEqualTo("done");
        assertThat(world.broken()).isEmpty();
    }

    /** Guards a failover against a machine that keeps sending heartbeats but never receives the new fencing token. */
    @Test
    void replacesUnresponsiveMachineAfterFailover() {
        world.seconds(2);
        world.submit(0, SimCluster.job("job-000001", 90));
        world.until(() -> world.cloud().machines().size() >= 5 && world.starts() >= 15);
        SimWorker worker = world.cloud().machines().firstEntry().getValue();
        worker.prolong(300_000_000);
        world.network().add(FailureInjector.unresponsive(worker.name()));
        int leader = world.leader();
        world.kill(leader);
        world.seconds(30);
        assertThat(world.cloud().machines()).doesNotContainKey(worker.name());
        world.seconds(20);
        assertThat(world.stage((leader + 1) % 3, "job-000001")).isEqualTo("done");
        assertThat(world.broken()).isEmpty();
    }

    /** Guards against a failover that is delayed by one dead machine among several, or by machines that still boot. */
    @Test
    void returnsSilentMachineAfterFailoverBeforeLeaseExpiry() {
        world.seconds(2);
        world.submit(0, SimCluster.job("job-000001", 90));
        world.until(() -> world.cloud().machines().size() >= 5 && world.starts() >= 15);
        String silent = world.cloud().machines().firstKey();
        world.cloud().machines().get(silent).prolong(300_000_000);
        world.network().add((from, to, request) -> from.equals(silent) || to.startsWith(silent) ? Fate.LOSE : null);
        int leader = world.leader();
        int starts = world.starts();
        world.kill(leader);
        // Tasks of the earlier term may live until 27 s after the failover; evidence of their end comes sooner.
        world.seconds(18);
        assertThat(world.cloud().machines()).doesNotContainKey(silent);
        assertThat(world.starts()).isGreaterThan(starts);
        world.seconds(40);
        assertThat(world.stage((leader + 1) % 3, "job-000001")).isEqualTo("done");
        assertThat(world.broken()).isEmpty();
    }

    /** Outdated duplicates of heartbeats must not release tasks, nor cause a returned machine to be adopted. */
    @Test
    void ignoresDuplicatedHeartbeats() {
        world.network()
                .add((from, to, request) ->
                        request.route().equals("/agent/beat") || request.route().equals("/peer/beats")
                                ? Fate.COPY
                                : null);
        world.seconds(2);
        for (int i = 1; i <= 6; i++) {
            world.submit(0, SimCluster.job("job-00000" + i, 6));
            world.seconds(3);
        }
        String reclaimed = world.cloud().machines().firstKey();
        world.cloud().take(reclaimed);
        int leader = world.leader();
        world.kill(leader);
        world.seconds(5);
        world.restart(leader);
        world.seconds(70);
        for (int i = 1; i <= 6; i++) {
            assertThat(world.stage(0, "job-00000" + i)).isEqualTo("done");
        }
        assertThat(world.state().keysUnder("hire/")).noneMatch(key -> key.startsWith("hire/adopted"));
        assertThat(world.broken()).isEmpty();
    }

    /** Guards against ignoring a restarted worker forever: its sequence starts anew, so its heartbeats look stale. */
    @Test
    void completesJobAfterWorkerRestartsWithResetSequence() {
        world.seconds(2);
        world.submit(0, SimCluster.job("job-000001", 2));
        SimWorker worker = untilMachineRuns(2);
        worker.prolong(60_000_000);
        world.seconds(10);
        worker.reboot();
        world.seconds(30);
        assertThat(world.stage(0, "job-000001")).isEqualTo("done");
        assertThat(world.broken()).isEmpty();
    }

    /** A leader that reaches only its workers must release them, so that the next leader keeps their tasks alive. */
    @Test
    void isolatedLeaderReleasesWorkersBeforeLeaseExpiry() {
        world.seconds(2);
        world.submit(0, SimCluster.job("job-000001", 4));
        world.untilStarted(4, 25_000_000);
        int isolatedLeader = world.leader();
        world.network().add(FailureInjector.isolated(isolatedLeader));
        world.seconds(45);
        assertThat(world.leader()).isNotEqualTo(isolatedLeader);
        assertThat(world.stage((isolatedLeader + 1) % 3, "job-000001")).isEqualTo("done");
        assertThat(world.starts()).isEqualTo(4);
        assertThat(world.broken()).isEmpty();
    }

    /** Guards against a leader that no worker or peer can reach: it has to resign, so that a reachable one leads. */
    @Test
    void leaderResignsWhenNoWorkerReachesIt() {
        world.seconds(2);
        world.submit(0, SimCluster.job("job-000001", 4));
        world.until(() -> world.starts() >= 4);
        int unreachableLeader = world.leader();
        String host = "10.0.0." + unreachableLeader;
        world.network()
                .add((from, to, request) -> to.startsWith(host)
                                && (from.startsWith("host-") || request.route().equals("/peer/beats"))
                        ? Fate.LOSE
                        : null);
        world.until(() -> world.leader() >= 0 && world.leader() != unreachableLeader);
        world.seconds(40);
        assertThat(world.stage((unreachableLeader + 1) % 3, "job-000001")).isEqualTo("done");
        assertThat(world.broken()).isEmpty();
    }

    /** Workers are balanced over the controllers, also after one of the controllers was down. */
    @Test
    void rebalancesWorkersAfterControllerRestart() {
        SimCluster cluster = new SimCluster(12, 0, 5, SimCluster.Version.CURRENT);
        cluster.seconds(2);
        cluster.submit(0, SimCluster.job("job-000001", 400));
        cluster.until(() -> {
            cluster.cloud().machines().values().forEach(worker -> worker.runMicros(90_000_000));
            return cluster.cloud().machines().size() >= 18;
        });
        cluster.seconds(15);
        assertThat(maxWorkersPerController(cluster)).isLessThanOrEqualTo(9);
        int stopped = (cluster.leader() + 1) % 5;
        cluster.kill(stopped);
        cluster.seconds(10);
        assertThat(cluster.cloud().machines().values()).noneMatch(worker -> worker.node() == stopped);
        cluster.restart(stopped);
        cluster.seconds(40);
        assertThat(maxWorkersPerController(cluster)).isLessThanOrEqualTo(9);
        assertThat(cluster.broken()).isEmpty();
    }

    private static long maxWorkersPerController(SimCluster cluster) {
        long max = 0;
        for (int node = 0; node < cluster.nodes(); node++) {
            int controller = node;
            max = Math.max(
                    max,
                    cluster.cloud().machines().values().stream()
                            .filter(worker -> worker.node() == controller)
                            .count());
        }
        return max;
    }

    /**
     * Starts several machines with long-running tasks, and returns one that runs at least two tasks. The cloud's list
     * of machines is unavailable, so it gives no evidence of a loss.
     */
    private SimWorker startFleetWithLongTasks() {
        world.network()
                .add((from, to, request) -> to.startsWith("cloud")
                                && request.method().equals("GET")
                                && request.route().equals("/machines")
                        ? Fate.LOSE
                        : null);
        world.seconds(2);
        world.submit(0, SimCluster.job("job-000001", 20));
        world.untilStarted(20, 40_000_000);
        assertThat(world.cloud().machines().size()).isGreaterThan(3);
        return untilMachineRuns(2);
    }

    /** Guards against waiting for the lease of an interrupted spot instance, which delayed its tasks by 12 s. */
    @Test
    void restartsTasksOfInterruptedMachineBeforeLeaseExpiry() {
        SimWorker worker = startFleetWithLongTasks();
        int lostTasks = worker.running().size();
        int startsBefore = world.starts();
        world.cloud().recall(worker.name(), 10_000_000);
        world.seconds(12);
        assertThat(world.cloud().machines()).doesNotContainKey(worker.name());
        assertThat(world.starts()).isEqualTo(startsBefore + lostTasks);
        assertThat(world.broken()).isEmpty();
    }

    /**
     * Guards against tasks that cannot end before a spot interruption but keep running until the machine is reclaimed,
     * which delays their restart on another machine.
     */
    @Test
    void stopsTasksThatCannotEndBeforeInterruption() {
        world.seconds(2);
        world.submit(0, SimCluster.job("job-000001", 20).put("guess_s", 60.0));
        world.untilStarted(20, 60_000_000);
        SimWorker worker = untilMachineRuns(2);
        world.cloud().recall(worker.name(), 30_000_000);
        world.seconds(2);
        assertThat(worker.running()).isEmpty();
        world.until(() -> world.starts() > 20);
        world.seconds(150);
        assertThat(world.stage(0, "job-000001")).isEqualTo("done");
        assertThat(world.broken()).isEmpty();
    }

    /** Guards against waiting for the lease of a single machine that was reclaimed without notice. */
    @Test
    void returnsSingleSilentMachineBeforeLeaseExpiry() {
        SimWorker worker = startFleetWithLongTasks();
        int lostTasks = worker.running().size();
        int startsBefore = world.starts();
        world.cloud().take(worker.name());
        world.seconds(10);
        assertThat(world.starts()).isEqualTo(startsBefore + lostTasks);
        assertThat(world.broken()).isEmpty();
    }

    /**
     * Guards against waiting for a machine that was reclaimed without notice as if it might be switching to another
     * controller.
     */
    @Test
    void returnsSilentMachineSoonerWithoutOtherFailures() {
        SimWorker worker = startFleetWithLongTasks();
        world.seconds(14);
        int lostTasks = worker.running().size();
        int startsBefore = world.starts();
        world.cloud().take(worker.name());
        world.seconds(5);
        assertThat(world.starts()).isEqualTo(startsBefore + lostTasks);
        assertThat(world.broken()).isEmpty();
    }

    /** Guards against returning machines that are only unreachable for a while. */
    @Test
    void keepsMachinesThatFallSilentTogether() {
        startFleetWithLongTasks();
        List<String> names = List.copyOf(world.cloud().machines().keySet());
        List<String> silent = names.subList(0, 3);
        Rule cut = world.network().add((from, to, request) -> silent.contains(from) ? Fate.LOSE : null);
        world.seconds(10);
        world.network().remove(cut);
        world.seconds(25);
        assertThat(world.cloud().machines().keySet()).containsAll(silent);
        assertThat(world.broken()).isEmpty();
    }

    /**
     * Guards against returning the machines of a partitioned zone two at a time, as the silence of one after the other
     * is detected.
     */
    @Test
    void keepsMostMachinesThatFallSilentInSequence() {
        SimCluster cluster = new SimCluster(13);
        cluster.seconds(2);
        cluster.submit(0, SimCluster.job("job-000001", 60));
        cluster.untilStarted(50, 60_000_000);
        List<String> silent = List.copyOf(cluster.cloud().machines().keySet()).subList(0, 6);
        for (String name : silent) {
            cluster.network().add((from, to, request) -> from.equals(name) ? Fate.LOSE : null);
            cluster.seconds(1);
        }
        cluster.seconds(9);
        assertThat(silent.stream()
                        .filter(cluster.cloud().machines()::containsKey)
                        .count())
                .isGreaterThanOrEqualTo(4);
        assertThat(cluster.broken()).isEmpty();
    }
}
