package io.sillreel.agent;

import static org.assertj.core.api.Assertions.assertThat;

import io.sillreel.http.HttpRequest;
import io.sillreel.http.Json;
import io.sillreel.sim.SimCluster;
import io.sillreel.sim.SimNetwork.Fate;
import io.sillreel.sim.SimNetwork.Rule;
import io.sillreel.sim.SimWorker;
import io.sillreel.sim.TaskSteps;
import org.junit.jupiter.api.Test;

class HeartbeatTest {
    private final SimCluster world = new SimCluster(2);

    private SimWorker firstMachine() {
        world.until(() -> !world.cloud().machines().isEmpty());
        return world.cloud().machines().firstEntry().getValue();
    }

    /** Waits until a machine runs a task, and returns it. */
    private SimWorker firstBusyMachine() {
        world.until(() -> world.cloud().machines().values().stream()
                .anyMatch(worker -> !worker.running().isEmpty()));
        return world.cloud().machines().values().stream()
                .filter(worker -> !worker.running().isEmpty())
                .findFirst()
                .orElseThrow();
    }

    private static boolean isHeartbeatOf(SimWorker worker, String from, HttpRequest request) {
        return from.equals(worker.name()) && request.route().equals("/agent/beat");
    }

    /** Guards the rule that a launch did not happen if the next heartbeat does not show it. */
    @Test
    void relaunchesTaskWhenResponseIsLost() {
        world.seconds(2);
        world.submit(0, SimCluster.job("job-000001", 1));
        SimWorker worker = firstMachine();
        boolean[] lost = {false};
        world.network().add((from, to, request) -> {
            // The response to the first heartbeat with the current fencing token carries the launch.
            if (lost[0]
                    || !isHeartbeatOf(worker, from, request)
                    || !Json.parse(request.body()).path("baton").asText().equals("1")) {
                return null;
            }
            lost[0] = true;
            return Fate.LOSE_ANSWER;
        });
        world.until(() -> lost[0]);
        assertThat(world.starts()).isZero();
        world.seconds(4 + 1 + 1 + 2);
        assertThat(world.starts()).isEqualTo(1);
        world.seconds(10);
        assertThat(world.stage(0, "job-000001")).isEqualTo("done");
        assertThat(world.broken()).isEmpty();
    }

    @Test
    void keepsTasksOfMachineSilentWithinLease() {
        world.seconds(2);
        world.submit(0, SimCluster.job("job-000001", 2));
        SimWorker worker = firstBusyMachine();
        worker.prolong(12_000_000);
        Rule cut = world.network().add((from, to, request) -> isHeartbeatOf(worker, from, request) ? Fate.LOSE : null);
        world.seconds(3);
        world.network().remove(cut);
        world.seconds(40);
        assertThat(world.stage(0, "job-000001")).isEqualTo("done");
        assertThat(world.starts()).isEqualTo(2);
        assertThat(world.broken()).isEmpty();
    }

    /**
     * Guards against delayed heartbeats: after the lease has expired and the tasks were started elsewhere, an old
     * heartbeat shows them as live and the next one lacks them. That released tasks that ran on another machine.
     */
    @Test
    void ignoresDelayedHeartbeatsAfterLeaseExpiry() {
        world.seconds(2);
        world.submit(0, SimCluster.job("job-000001", 4));
        SimWorker worker = firstBusyMachine();
        worker.prolong(60_000_000);
        Rule hold = world.network().add((from, to, request) -> isHeartbeatOf(worker, from, request) ? Fate.HOLD : null);
        world.seconds(13.5);
        world.until(() -> world.starts() >= 5);
        world.cloud().machines().values().forEach(machine -> machine.runMicros(20_000_000));
        world.network().remove(hold);
        world.network().release();
        world.seconds(60);
        assertThat(world.stage(0, "job-000001")).isEqualTo("done");
        assertThat(world.broken()).isEmpty();
    }

    @Test
    void reschedulesTasksOfDeadMachine() {
        world.seconds(2);
        world.submit(0, SimCluster.job("job-000001", 2));
        SimWorker worker = firstBusyMachine();
        worker.prolong(60_000_000);
        world.cloud().take(worker.name());
        world.seconds(40);
        assertThat(world.stage(0, "job-000001")).isEqualTo("done");
        assertThat(world.broken()).isEmpty();
    }

    @Test
    void distinguishesFaultyMachineFromFaultyJob() {
        world.seconds(2);
        world.mistaken("job-000002");
        world.submit(0, SimCluster.job("job-000001", 3));
        world.seconds(15);
        SimWorker worker = firstMachine();
        worker.faulty(true);
        world.submit(0, SimCluster.job("job-000002", 2));
        world.submit(0, SimCluster.job("job-000003", 6));
        world.seconds(90);
        assertThat(world.stage(0, "job-000003")).isEqualTo("done");
        assertThat(world.cloud().machines()).doesNotContainKey(worker.name());
        assertThat(world.poll(0, "job-000002").json().path("reason").asText()).contains("failed on");
        assertThat(world.broken()).isEmpty();
    }

    /** Guards against a machine that stays suspect: it was kept idle, at full cost, after the job had succeeded. */
    @Test
    void returnsMachineWhoseFailedJobSucceedsElsewhere() {
        world.seconds(2);
        world.submit(0, SimCluster.job("job-000001", 2));
        SimWorker worker = firstMachine();
        worker.faulty(true);
        world.submit(0, SimCluster.job("job-000002", 8));
        world.seconds(60);
        assertThat(world.stage(0, "job-000001")).isEqualTo("done");
        assertThat(world.stage(0, "job-000002")).isEqualTo("done");
        assertThat(world.cloud().machines()).doesNotContainKey(worker.name());
        assertThat(world.broken()).isEmpty();
    }

    /** Guards the distinction between a slow machine and a wrong estimate: tasks of a single job are inconclusive. */
    @Test
    void returnsSlowMachineButToleratesWrongEstimate() {
        world.seconds(2);
        world.submit(0, SimCluster.job("job-000001", 4));
        SimWorker worker = firstBusyMachine();
        world.until(() -> world.stage(0, "job-000001").equals("done"));
        world.submit(0, SimCluster.job("job-000002", 2));
        world.until(() -> !worker.running().isEmpty());
        worker.prolong(15_000_000);
        world.seconds(20);
        assertThat(world.cloud().machines()).containsKey(worker.name());
        worker.runMicros(30_000_000);
        world.submit(0, SimCluster.job("job-000003", 1));
        world.submit(0, SimCluster.job("job-000004", 1));
        // The machine is returned once its tasks have ended, long before an idle machine would be.
        world.seconds(36);
        assertThat(world.cloud().machines()).doesNotContainKey(worker.name());
        world.seconds(10);
        assertThat(world.stage(0, "job-000004")).isEqualTo("done");
    }

    /** Guards the worst case: a machine without a heartbeat to the new leader may run any tasks of the team. */
    @Test
    void countsUnreconciledMachineAgainstQuota() {
        SimCluster limited = new SimCluster(6, 6);
        limited.seconds(2);
        limited.submit(0, SimCluster.job("job-000001", 6));
        String machine = TaskSteps.leaveTasksOnOneMachine(limited, 6);
        int leader = limited.leader();
        int other = (leader + 1) % 3;
        limited.kill(leader);
        limited.network().add((from, to, request) -> from.equals(machine) || to.startsWith(machine) ? Fate.LOSE : null);
        limited.submit(other, SimCluster.job("job-000002", 6));
        limited.seconds(60);
        assertThat(limited.starts()).isGreaterThan(6);
        assertThat(limited.broken()).isEmpty();
    }

    @Test
    void enforcesQuotaDuringFailover() {
        SimCluster limited = new SimCluster(3, 6);
        limited.seconds(2);
        limited.submit(0, SimCluster.job("job-000001", 20));
        limited.submit(1, SimCluster.job("job-000002", 20));
        limited.seconds(12);
        limited.kill(limited.leader());
        limited.seconds(120);
        int survivor = limited.isUp(0) ? 0 : 1;
        assertThat(limited.stage(survivor, "job-000001")).isEqualTo("done");
        assertThat(limited.stage(survivor, "job-000002")).isEqualTo("done");
        assertThat(limited.broken()).isEmpty();
    }
}
