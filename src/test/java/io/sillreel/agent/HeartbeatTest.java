package io.sillreel.agent;

import static org.assertj.core.api.Assertions.assertThat;

import io.sillreel.http.HttpRequest;
import io.sillreel.http.Json;
import io.sillreel.sim.SimCluster;
import io.sillreel.sim.SimNetwork.Action;
import io.sillreel.sim.SimNetwork.Rule;
import io.sillreel.sim.SimWorker;
import io.sillreel.sim.TaskSteps;
import org.junit.jupiter.api.Test;

class HeartbeatTest {
    private final SimCluster cluster = new SimCluster(2);

    private SimWorker firstMachine() {
        cluster.runUntil(() -> !cluster.cloud().machines().isEmpty());
        return cluster.cloud().machines().firstEntry().getValue();
    }

    /** Waits until a machine runs a task, and returns it. */
    private SimWorker firstBusyMachine() {
        cluster.runUntil(() -> cluster.cloud().machines().values().stream()
                .anyMatch(worker -> !worker.runningTasks().isEmpty()));
        return cluster.cloud().machines().values().stream()
                .filter(worker -> !worker.runningTasks().isEmpty())
                .findFirst()
                .orElseThrow();
    }

    private static boolean isHeartbeatOf(SimWorker worker, String from, HttpRequest request) {
        return from.equals(worker.name()) && request.route().equals("/agent/beat");
    }

    /** Guards the rule that a launch did not happen if the next heartbeat does not show it. */
    @Test
    void relaunchesTaskWhenResponseIsLost() {
        cluster.runSeconds(2);
        cluster.submit(0, SimCluster.job("job-000001", 1));
        SimWorker worker = firstMachine();
        boolean[] lost = {false};
        cluster.network().addRule((from, to, request) -> {
            // The response to the first heartbeat with the current fencing token carries the launch.
            if (lost[0]
                    || !isHeartbeatOf(worker, from, request)
                    || !Json.parse(request.body()).path("baton").asText().equals("1")) {
                return null;
            }
            lost[0] = true;
            return Action.DROP_RESPONSE;
        });
        cluster.runUntil(() -> lost[0]);
        assertThat(cluster.startCount()).isZero();
        cluster.runSeconds(4 + 1 + 1 + 2);
        assertThat(cluster.startCount()).isEqualTo(1);
        cluster.runSeconds(10);
        assertThat(cluster.stage(0, "job-000001")).isEqualTo("done");
        assertThat(cluster.violations()).isEmpty();
    }

    @Test
    void keepsTasksOfMachineSilentWithinLease() {
        cluster.runSeconds(2);
        cluster.submit(0, SimCluster.job("job-000001", 2));
        SimWorker worker = firstBusyMachine();
        worker.extendRunningTasks(12_000_000);
        Rule cut = cluster.network()
                .addRule((from, to, request) -> isHeartbeatOf(worker, from, request) ? Action.DROP : null);
        cluster.runSeconds(3);
        cluster.network().removeRule(cut);
        cluster.runSeconds(40);
        assertThat(cluster.stage(0, "job-000001")).isEqualTo("done");
        assertThat(cluster.startCount()).isEqualTo(2);
        assertThat(cluster.violations()).isEmpty();
    }

    /**
     * Guards against delayed heartbeats: after the lease has expired and the tasks were started elsewhere, an old
     * heartbeat shows them as live and the next one lacks them. That released tasks that ran on another machine.
     */
    @Test
    void ignoresDelayedHeartbeatsAfterLeaseExpiry() {
        cluster.runSeconds(2);
        cluster.submit(0, SimCluster.job("job-000001", 4));
        SimWorker worker = firstBusyMachine();
        worker.extendRunningTasks(60_000_000);
        Rule hold = cluster.network()
                .addRule((from, to, request) -> isHeartbeatOf(worker, from, request) ? Action.HOLD : null);
        cluster.runSeconds(13.5);
        cluster.runUntil(() -> cluster.startCount() >= 5);
        cluster.cloud().machines().values().forEach(machine -> machine.setRunMicros(20_000_000));
        cluster.network().removeRule(hold);
        cluster.network().releaseHeld();
        cluster.runSeconds(60);
        assertThat(cluster.stage(0, "job-000001")).isEqualTo("done");
        assertThat(cluster.violations()).isEmpty();
    }

    @Test
    void reschedulesTasksOfDeadMachine() {
        cluster.runSeconds(2);
        cluster.submit(0, SimCluster.job("job-000001", 2));
        SimWorker worker = firstBusyMachine();
        worker.extendRunningTasks(60_000_000);
        cluster.cloud().reclaim(worker.name());
        cluster.runSeconds(40);
        assertThat(cluster.stage(0, "job-000001")).isEqualTo("done");
        assertThat(cluster.violations()).isEmpty();
    }

    @Test
    void distinguishesFaultyMachineFromFaultyJob() {
        cluster.runSeconds(2);
        cluster.failTasksOf("job-000002");
        cluster.submit(0, SimCluster.job("job-000001", 3));
        cluster.runSeconds(15);
        SimWorker worker = firstMachine();
        worker.setTasksFail(true);
        cluster.submit(0, SimCluster.job("job-000002", 2));
        cluster.submit(0, SimCluster.job("job-000003", 6));
        cluster.runSeconds(90);
        assertThat(cluster.stage(0, "job-000003")).isEqualTo("done");
        assertThat(cluster.cloud().machines()).doesNotContainKey(worker.name());
        assertThat(cluster.poll(0, "job-000002").json().path("reason").asText()).contains("failed on");
        assertThat(cluster.violations()).isEmpty();
    }

    /** Guards against a machine that stays suspect: it was kept idle, at full cost, after the job had succeeded. */
    @Test
    void returnsMachineWhoseFailedJobSucceedsElsewhere() {
        cluster.runSeconds(2);
        cluster.submit(0, SimCluster.job("job-000001", 2));
        SimWorker worker = firstMachine();
        worker.setTasksFail(true);
        cluster.submit(0, SimCluster.job("job-000002", 8));
        cluster.runSeconds(60);
        assertThat(cluster.stage(0, "job-000001")).isEqualTo("done");
        assertThat(cluster.stage(0, "job-000002")).isEqualTo("done");
        assertThat(cluster.cloud().machines()).doesNotContainKey(worker.name());
        assertThat(cluster.violations()).isEmpty();
    }

    /** Guards the distinction between a slow machine and a wrong estimate: tasks of a single job are inconclusive. */
    @Test
    void returnsSlowMachineButToleratesWrongEstimate() {
        cluster.runSeconds(2);
        cluster.submit(0, SimCluster.job("job-000001", 4));
        SimWorker worker = firstBusyMachine();
        cluster.runUntil(() -> cluster.stage(0, "job-000001").equals("done"));
        cluster.submit(0, SimCluster.job("job-000002", 2));
        cluster.runUntil(() -> !worker.runningTasks().isEmpty());
        worker.extendRunningTasks(15_000_000);
        cluster.runSeconds(20);
        assertThat(cluster.cloud().machines()).containsKey(worker.name());
        worker.setRunMicros(30_000_000);
        cluster.submit(0, SimCluster.job("job-000003", 1));
        cluster.submit(0, SimCluster.job("job-000004", 1));
        // The machine is returned once its tasks have ended, long before an idle machine would be.
        cluster.runSeconds(36);
        assertThat(cluster.cloud().machines()).doesNotContainKey(worker.name());
        cluster.runSeconds(10);
        assertThat(cluster.stage(0, "job-000004")).isEqualTo("done");
    }

    /** Guards the worst case: a machine without a heartbeat to the new leader may run any tasks of the team. */
    @Test
    void countsUnreconciledMachineAgainstQuota() {
        SimCluster limited = new SimCluster(6, 6);
        limited.runSeconds(2);
        limited.submit(0, SimCluster.job("job-000001", 6));
        String machine = TaskSteps.leaveTasksOnOneMachine(limited, 6);
        int leader = limited.leader();
        int other = (leader + 1) % 3;
        limited.kill(leader);
        limited.network()
                .addRule((from, to, request) -> from.equals(machine) || to.startsWith(machine) ? Action.DROP : null);
        limited.submit(other, SimCluster.job("job-000002", 6));
        limited.runSeconds(60);
        assertThat(limited.startCount()).isGreaterThan(6);
        assertThat(limited.violations()).isEmpty();
    }

    @Test
    void enforcesQuotaDuringFailover() {
        SimCluster limited = new SimCluster(3, 6);
        limited.runSeconds(2);
        limited.submit(0, SimCluster.job("job-000001", 20));
        limited.submit(1, SimCluster.job("job-000002", 20));
        limited.runSeconds(12);
        limited.kill(limited.leader());
        limited.runSeconds(120);
        int survivor = limited.isUp(0) ? 0 : 1;
        assertThat(limited.stage(survivor, "job-000001")).isEqualTo("done");
        assertThat(limited.stage(survivor, "job-000002")).isEqualTo("done");
        assertThat(limited.violations()).isEmpty();
    }
}
