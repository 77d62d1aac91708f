package io.sillreel.heartbeat;

import static org.assertj.core.api.Assertions.assertThat;

import io.sillreel.sim.FailureInjector;
import io.sillreel.sim.SimCluster;
import io.sillreel.sim.SimNetwork.Action;
import io.sillreel.sim.SimNetwork.Rule;
import io.sillreel.sim.SimWorker;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Failures of machines and of their connections to controllers: lost responses, duplicated heartbeats, restarts,
 * isolated controllers, spot interruptions and silent machines.
 */
class MachineFailureTest {
    private final SimCluster cluster = new SimCluster(11);

    private SimWorker runUntilMachineRuns(int minTasks) {
        cluster.runUntil(() -> cluster.cloud().machines().values().stream()
                .anyMatch(worker -> worker.runningTasks().size() >= minTasks));
        return cluster.cloud().machines().values().stream()
                .filter(worker -> worker.runningTasks().size() >= minTasks)
                .findFirst()
                .orElseThrow();
    }

    /** Guards against sending launches forever to a machine that receives no responses. */
    @Test
    void replacesUnresponsiveMachine() {
        cluster.runSeconds(2);
        cluster.submit(0, SimCluster.job("job-000001", 2));
        SimWorker worker = runUntilMachineRuns(2);
        cluster.network().addRule(FailureInjector.dropInbound(worker.name()));
        cluster.submit(0, SimCluster.job("job-000002", 2));
        cluster.runSeconds(60);
        assertThat(cluster.cloud().machines()).doesNotContainKey(worker.name());
        assertThat(cluster.stage(0, "job-000001")).isEqualTo("done");
        assertThat(cluster.stage(0, "job-000002")).isEqualTo("done");
        assertThat(cluster.violations()).isEmpty();
    }

    /** Guards a failover against a machine that keeps sending heartbeats but never receives the new fencing token. */
    @Test
    void replacesUnresponsiveMachineAfterFailover() {
        cluster.runSeconds(2);
        cluster.submit(0, SimCluster.job("job-000001", 90));
        cluster.runUntil(() -> cluster.cloud().machines().size() >= 5 && cluster.startCount() >= 15);
        SimWorker worker = cluster.cloud().machines().firstEntry().getValue();
        worker.extendRunningTasks(300_000_000);
        cluster.network().addRule(FailureInjector.dropInbound(worker.name()));
        int leader = cluster.leader();
        cluster.kill(leader);
        cluster.runSeconds(30);
        assertThat(cluster.cloud().machines()).doesNotContainKey(worker.name());
        cluster.runSeconds(20);
        assertThat(cluster.stage((leader + 1) % 3, "job-000001")).isEqualTo("done");
        assertThat(cluster.violations()).isEmpty();
    }

    /** Guards against a failover that is delayed by one dead machine among several, or by machines that still boot. */
    @Test
    void returnsSilentMachineAfterFailoverBeforeLeaseExpiry() {
        cluster.runSeconds(2);
        cluster.submit(0, SimCluster.job("job-000001", 90));
        cluster.runUntil(() -> cluster.cloud().machines().size() >= 5 && cluster.startCount() >= 15);
        String silent = cluster.cloud().machines().firstKey();
        cluster.cloud().machines().get(silent).extendRunningTasks(300_000_000);
        cluster.network()
                .addRule((from, to, request) -> from.equals(silent) || to.startsWith(silent) ? Action.DROP : null);
        int leader = cluster.leader();
        int starts = cluster.startCount();
        cluster.kill(leader);
        // Tasks of the earlier term may live until 27 s after the failover; evidence of their end comes sooner.
        cluster.runSeconds(18);
        assertThat(cluster.cloud().machines()).doesNotContainKey(silent);
        assertThat(cluster.startCount()).isGreaterThan(starts);
        cluster.runSeconds(40);
        assertThat(cluster.stage((leader + 1) % 3, "job-000001")).isEqualTo("done");
        assertThat(cluster.violations()).isEmpty();
    }

    /** Outdated duplicates of heartbeats must not release tasks, nor cause a returned machine to be adopted. */
    @Test
    void ignoresDuplicatedHeartbeats() {
        cluster.network()
                .addRule((from, to, request) ->
                        request.route().equals("/agent/beat") || request.route().equals("/peer/beats")
                                ? Action.DUPLICATE
                                : null);
        cluster.runSeconds(2);
        for (int i = 1; i <= 6; i++) {
            cluster.submit(0, SimCluster.job("job-00000" + i, 6));
            cluster.runSeconds(3);
        }
        String reclaimed = cluster.cloud().machines().firstKey();
        cluster.cloud().reclaim(reclaimed);
        int leader = cluster.leader();
        cluster.kill(leader);
        cluster.runSeconds(5);
        cluster.restart(leader);
        cluster.runSeconds(70);
        for (int i = 1; i <= 6; i++) {
            assertThat(cluster.stage(0, "job-00000" + i)).isEqualTo("done");
        }
        assertThat(cluster.store().keysWithPrefix("hire/")).noneMatch(key -> key.startsWith("hire/adopted"));
        assertThat(cluster.violations()).isEmpty();
    }

    /** Guards against ignoring a restarted worker forever: its sequence starts anew, so its heartbeats look stale. */
    @Test
    void completesJobAfterWorkerRestartsWithResetSequence() {
        cluster.runSeconds(2);
        cluster.submit(0, SimCluster.job("job-000001", 2));
        SimWorker worker = runUntilMachineRuns(2);
        worker.extendRunningTasks(60_000_000);
        cluster.runSeconds(10);
        worker.reboot();
        cluster.runSeconds(30);
        assertThat(cluster.stage(0, "job-000001")).isEqualTo("done");
        assertThat(cluster.violations()).isEmpty();
    }

    /** A leader that reaches only its workers must release them, so that the next leader keeps their tasks alive. */
    @Test
    void isolatedLeaderReleasesWorkersBeforeLeaseExpiry() {
        cluster.runSeconds(2);
        cluster.submit(0, SimCluster.job("job-000001", 4));
        cluster.runUntilStarted(4, 25_000_000);
        int isolatedLeader = cluster.leader();
        cluster.network().addRule(FailureInjector.isolated(isolatedLeader));
        cluster.runSeconds(45);
        assertThat(cluster.leader()).isNotEqualTo(isolatedLeader);
        assertThat(cluster.stage((isolatedLeader + 1) % 3, "job-000001")).isEqualTo("done");
        assertThat(cluster.startCount()).isEqualTo(4);
        assertThat(cluster.violations()).isEmpty();
    }

    /** Guards against a leader that no worker or peer can reach: it has to resign, so that a reachable one leads. */
    @Test
    void leaderResignsWhenNoWorkerReachesIt() {
        cluster.runSeconds(2);
        cluster.submit(0, SimCluster.job("job-000001", 4));
        cluster.runUntil(() -> cluster.startCount() >= 4);
        int unreachableLeader = cluster.leader();
        String host = "10.0.0." + unreachableLeader;
        cluster.network()
                .addRule((from, to, request) -> to.startsWith(host)
                                && (from.startsWith("host-") || request.route().equals("/peer/beats"))
                        ? Action.DROP
                        : null);
        cluster.runUntil(() -> cluster.leader() >= 0 && cluster.leader() != unreachableLeader);
        cluster.runSeconds(40);
        assertThat(cluster.stage((unreachableLeader + 1) % 3, "job-000001")).isEqualTo("done");
        assertThat(cluster.violations()).isEmpty();
    }

    /** Workers are balanced over the controllers, also after one of the controllers was down. */
    @Test
    void rebalancesWorkersAfterControllerRestart() {
        SimCluster cluster = new SimCluster(12, 0, 5, SimCluster.Version.CURRENT);
        cluster.runSeconds(2);
        cluster.submit(0, SimCluster.job("job-000001", 400));
        cluster.runUntil(() -> {
            cluster.cloud().machines().values().forEach(worker -> worker.setRunMicros(90_000_000));
            return cluster.cloud().machines().size() >= 18;
        });
        cluster.runSeconds(15);
        assertThat(maxWorkersPerController(cluster)).isLessThanOrEqualTo(9);
        int stopped = (cluster.leader() + 1) % 5;
        cluster.kill(stopped);
        cluster.runSeconds(10);
        assertThat(cluster.cloud().machines().values()).noneMatch(worker -> worker.node() == stopped);
        cluster.restart(stopped);
        cluster.runSeconds(40);
        assertThat(maxWorkersPerController(cluster)).isLessThanOrEqualTo(9);
        assertThat(cluster.violations()).isEmpty();
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
        cluster.network()
                .addRule((from, to, request) -> to.startsWith("cloud")
                                && request.method().equals("GET")
                                && request.route().equals("/machines")
                        ? Action.DROP
                        : null);
        cluster.runSeconds(2);
        cluster.submit(0, SimCluster.job("job-000001", 20));
        cluster.runUntilStarted(20, 40_000_000);
        assertThat(cluster.cloud().machines().size()).isGreaterThan(3);
        return runUntilMachineRuns(2);
    }

    /** Guards against waiting for the lease of an interrupted spot instance, which delayed its tasks by 12 s. */
    @Test
    void restartsTasksOfInterruptedMachineBeforeLeaseExpiry() {
        SimWorker worker = startFleetWithLongTasks();
        int lostTasks = worker.runningTasks().size();
        int startsBefore = cluster.startCount();
        cluster.cloud().reclaimWithNotice(worker.name(), 10_000_000);
        cluster.runSeconds(12);
        assertThat(cluster.cloud().machines()).doesNotContainKey(worker.name());
        assertThat(cluster.startCount()).isEqualTo(startsBefore + lostTasks);
        assertThat(cluster.violations()).isEmpty();
    }

    /**
     * Guards against tasks that cannot end before a spot interruption but keep running until the machine is reclaimed,
     * which delays their restart on another machine.
     */
    @Test
    void stopsTasksThatCannotEndBeforeInterruption() {
        cluster.runSeconds(2);
        cluster.submit(0, SimCluster.job("job-000001", 20).put("guess_s", 60.0));
        cluster.runUntilStarted(20, 60_000_000);
        SimWorker worker = runUntilMachineRuns(2);
        cluster.cloud().reclaimWithNotice(worker.name(), 30_000_000);
        cluster.runSeconds(2);
        assertThat(worker.runningTasks()).isEmpty();
        cluster.runUntil(() -> cluster.startCount() > 20);
        cluster.runSeconds(150);
        assertThat(cluster.stage(0, "job-000001")).isEqualTo("done");
        assertThat(cluster.violations()).isEmpty();
    }

    /** Guards against waiting for the lease of a single machine that was reclaimed without notice. */
    @Test
    void returnsSingleSilentMachineBeforeLeaseExpiry() {
        SimWorker worker = startFleetWithLongTasks();
        int lostTasks = worker.runningTasks().size();
        int startsBefore = cluster.startCount();
        cluster.cloud().reclaim(worker.name());
        cluster.runSeconds(10);
        assertThat(cluster.startCount()).isEqualTo(startsBefore + lostTasks);
        assertThat(cluster.violations()).isEmpty();
    }

    /**
     * Guards against waiting for a machine that was reclaimed without notice as if it might be switching to another
     * controller.
     */
    @Test
    void returnsSilentMachineSoonerWithoutOtherFailures() {
        SimWorker worker = startFleetWithLongTasks();
        cluster.runSeconds(14);
        int lostTasks = worker.runningTasks().size();
        int startsBefore = cluster.startCount();
        cluster.cloud().reclaim(worker.name());
        cluster.runSeconds(5);
        assertThat(cluster.startCount()).isEqualTo(startsBefore + lostTasks);
        assertThat(cluster.violations()).isEmpty();
    }

    /** Guards against returning machines that are only unreachable for a while. */
    @Test
    void keepsMachinesThatFallSilentTogether() {
        startFleetWithLongTasks();
        List<String> names = List.copyOf(cluster.cloud().machines().keySet());
        List<String> silent = names.subList(0, 3);
        Rule cut = cluster.network().addRule((from, to, request) -> silent.contains(from) ? Action.DROP : null);
        cluster.runSeconds(10);
        cluster.network().removeRule(cut);
        cluster.runSeconds(25);
        assertThat(cluster.cloud().machines().keySet()).containsAll(silent);
        assertThat(cluster.violations()).isEmpty();
    }

    /**
     * Guards against returning the machines of a partitioned zone two at a time, as the silence of one after the other
     * is detected.
     */
    @Test
    void keepsMostMachinesThatFallSilentInSequence() {
        SimCluster cluster = new SimCluster(13);
        cluster.runSeconds(2);
        cluster.submit(0, SimCluster.job("job-000001", 60));
        cluster.runUntilStarted(50, 60_000_000);
        List<String> silent = List.copyOf(cluster.cloud().machines().keySet()).subList(0, 6);
        for (String name : silent) {
            cluster.network().addRule((from, to, request) -> from.equals(name) ? Action.DROP : null);
            cluster.runSeconds(1);
        }
        cluster.runSeconds(9);
        assertThat(silent.stream()
                        .filter(cluster.cloud().machines()::containsKey)
                        .count())
                .isGreaterThanOrEqualTo(4);
        assertThat(cluster.violations()).isEmpty();
    }
}
