package io.sillreel;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sillreel.sim.SimCluster;
import io.sillreel.sim.SimCluster.Version;
import io.sillreel.sim.SimClusterSettings;
import io.sillreel.sim.SimNetwork.Action;
import io.sillreel.sim.SimNetwork.Rule;
import io.sillreel.sim.SimWorker;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** What must hold at thousands of machines, with every rule watched. */
class LargeFleetTest {
    private static final int MACHINES = 4_000;
    private static final int PROCESSORS = 4 * MACHINES;
    /** More than fit at once, or the planner would rather wait than rent all machines. */
    private static final int TASKS = 40_000;

    private static final long SECOND = 1_000_000;
    private static final long RUN_MICROS = 200 * SECOND;

    private SimCluster cluster = new SimCluster(1, SimClusterSettings.large(3, MACHINES, 0), Version.CURRENT);

    private static ObjectNode longJob(String uid, int tasks) {
        return SimCluster.job(uid, tasks).put("guess_s", 60.0).put("due_s", 30.0);
    }

    /** A job has a task on every processor that it may use, and each of them runs for long. */
    private void untilBusy(int tasks) {
        cluster.runSeconds(2);
        cluster.submit(0, longJob("job-000001", TASKS));
        cluster.runUntilStarted(tasks, RUN_MICROS);
        cluster.runUntil(() -> machines() == MACHINES);
        assertThat(cluster.startCount()).isEqualTo(tasks);
    }

    private int machines() {
        return cluster.cloud().machines().size();
    }

    /** What runs ends at once, and what starts from now on soon. */
    private void endTasks() {
        for (SimWorker worker : cluster.cloud().machines().values()) {
            worker.extendRunningTasks(-RUN_MICROS);
            worker.setRunMicros(SECOND);
        }
    }

    private void assertDone() {
        for (int node = 0; node < 3; node++) {
            assertThat(cluster.stage(node, "job-000001")).isEqualTo("done");
        }
        assertThat(cluster.violations()).isEmpty();
    }

    /** Guards takeovers: what they ask of the store is counted, and nobody's task starts again for them. */
    @Test
    void aChangeOfLeaderStartsNothingAgainAndWhatIsCancelledThenIsSoonGone() {
        int allowed = PROCESSORS / 2;
        cluster = new SimCluster(1, SimClusterSettings.large(3, MACHINES, allowed), Version.CURRENT);
        untilBusy(allowed);
        int[] lists = new int[1];
        cluster.network().addRule((from, to, request) -> {
            lists[0] += request.route().equals("/kv") ? 1 : 0;
            return null;
        });
        int leader = cluster.leader();
        cluster.kill(leader);
        cluster.runUntil(() -> cluster.leader() >= 0 && cluster.leader() != leader);
        cluster.runSeconds(12);
        assertThat(lists[0]).as("pages that a takeover reads").isLessThanOrEqualTo(6);
        assertThat(cluster.startCount()).isEqualTo(allowed);
        assertThat(machines()).isEqualTo(MACHINES);
        cluster.restart(leader);
        cluster.cancel((leader + 1) % 3, "job-000001");
        cluster.runSeconds(12);
        assertThat(cluster.cloud().machines().values())
                .allMatch(worker -> worker.runningTasks().isEmpty());
        assertThat(cluster.stage((leader + 2) % 3, "job-000001")).isEqualTo("withdrawn");
        assertThat(cluster.violations()).isEmpty();
    }

    /** Guards a fleet against being given away: half of it is silent for longer than its leases, and comes back. */
    @Test
    void aZoneThatIsCutOffBeyondItsLeaseIsWaitedForAndNothingRunsTwice() {
        untilBusy(PROCESSORS);
        Set<String> cut = cluster.cloud().machines().values().stream()
                .filter(worker -> worker.zone().equals("b"))
                .map(SimWorker::name)
                .collect(Collectors.toSet());
        assertThat(cut).hasSizeBetween(MACHINES / 4, 3 * MACHINES / 4);
        Rule silence = cluster.network()
                .addRule((from, to, request) ->
                        cut.contains(from) || cut.contains(to.split(":")[0]) ? Action.DROP : null);
        cluster.runSeconds(30);
        cluster.network().removeRule(silence);
        cluster.runSeconds(15);
        assertThat(machines()).isEqualTo(MACHINES);
        endTasks();
        cluster.runSeconds(45);
        assertDone();
    }

    @Test
    void allControllersAreAwayForLessThanALeaseAndNothingStartsAgain() {
        untilBusy(PROCESSORS);
        for (int node = 0; node < 3; node++) {
            cluster.kill(node);
        }
        cluster.runSeconds(7);
        for (int node = 0; node < 3; node++) {
            cluster.restart(node);
        }
        cluster.runSeconds(25);
        assertThat(cluster.startCount()).isEqualTo(PROCESSORS);
        assertThat(machines()).isEqualTo(MACHINES);
        endTasks();
        cluster.runSeconds(25);
        assertDone();
        assertThat(cluster.startCount()).isEqualTo(TASKS);
    }

    /** Guards the controllers themselves: more machines than their sockets carry are not rented. */
    @Test
    void noMoreMachinesAreRentedThanTheControllersCarry() {
        SimClusterSettings large = SimClusterSettings.large(3, MACHINES, 0);
        int sockets = 500;
        cluster = new SimCluster(1, large.withSockets(sockets), Version.CURRENT);
        cluster.runSeconds(2);
        cluster.submit(0, longJob("job-000001", TASKS));
        cluster.runSeconds(40);
        assertThat(machines()).isEqualTo(2 * (int) (sockets * 0.75 * 0.9));
        assertThat(cluster.violations()).isEmpty();
    }
}
