package io.sillreel;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sillreel.sim.SimCluster;
import io.sillreel.sim.SimCluster.Version;
import io.sillreel.sim.SimClusterSettings;
import io.sillreel.sim.SimNetwork.Fate;
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

    private SimCluster world = new SimCluster(1, SimClusterSettings.large(3, MACHINES, 0), Version.CURRENT);

    private static ObjectNode longJob(String uid, int tasks) {
        return SimCluster.job(uid, tasks).put("guess_s", 60.0).put("due_s", 30.0);
    }

    /** A job has a task on every processor that it may use, and each of them runs for long. */
    private void untilBusy(int tasks) {
        world.seconds(2);
        world.submit(0, longJob("job-000001", TASKS));
        world.untilStarted(tasks, RUN_MICROS);
        world.until(() -> machines() == MACHINES);
        assertThat(world.starts()).isEqualTo(tasks);
    }

    private int machines() {
        return world.cloud().machines().size();
    }

    /** What runs ends at once, and what starts from now on soon. */
    private void endTasks() {
        for (SimWorker worker : world.cloud().machines().values()) {
            worker.prolong(-RUN_MICROS);
            worker.runMicros(SECOND);
        }
    }

    private void assertDone() {
        for (int node = 0; node < 3; node++) {
            assertThat(world.stage(node, "job-000001")).isEqualTo("done");
        }
        assertThat(world.broken()).isEmpty();
    }

    /** Guards takeovers: what they ask of the store is counted, and nobody's task starts again for them. */
    @Test
    void aChangeOfLeaderStartsNothingAgainAndWhatIsCancelledThenIsSoonGone() {
        int allowed = PROCESSORS / 2;
        world = new SimCluster(1, SimClusterSettings.large(3, MACHINES, allowed), Version.CURRENT);
        untilBusy(allowed);
        int[] lists = new int[1];
        world.network().add((from, to, request) -> {
            lists[0] += request.route().equals("/kv") ? 1 : 0;
            return null;
        });
        int leader = world.leader();
        world.kill(leader);
        world.until(() -> world.leader() >= 0 && world.leader() != leader);
        world.seconds(12);
        assertThat(lists[0]).as("pages that a takeover reads").isLessThanOrEqualTo(6);
        assertThat(world.starts()).isEqualTo(allowed);
        assertThat(machines()).isEqualTo(MACHINES);
        world.restart(leader);
        world.cancel((leader + 1) % 3, "job-000001");
        world.seconds(12);
        assertThat(world.cloud().machines().values())
                .allMatch(worker -> worker.running().isEmpty());
        assertThat(world.stage((leader + 2) % 3, "job-000001")).isEqualTo("withdrawn");
        assertThat(world.broken()).isEmpty();
    }

    /** Guards a fleet against being given away: half of it is silent for longer than its leases, and comes back. */
    @Test
    void aZoneThatIsCutOffBeyondItsLeaseIsWaitedForAndNothingRunsTwice() {
        untilBusy(PROCESSORS);
        Set<String> cut = world.cloud().machines().values().stream()
                .filter(worker -> worker.zone().equals("b"))
                .map(SimWorker::name)
                .collect(Collectors.toSet());
        assertThat(cut).hasSizeBetween(MACHINES / 4, 3 * MACHINES / 4);
        Rule silence = world.network()
                .add((from, to, request) -> cut.contains(from) || cut.contains(to.split(":")[0]) ? Fate.LOSE : null);
        world.seconds(30);
        world.network().remove(silence);
        world.seconds(15);
        assertThat(machines()).isEqualTo(MACHINES);
        endTasks();
        world.seconds(45);
        assertDone();
    }

    @Test
    void allControllersAreAwayForLessThanALeaseAndNothingStartsAgain() {
        untilBusy(PROCESSORS);
        for (int node = 0; node < 3; node++) {
            world.kill(node);
        }
        world.seconds(7);
        for (int node = 0; node < 3; node++) {
            world.restart(node);
        }
        world.seconds(25);
        assertThat(world.starts()).isEqualTo(PROCESSORS);
        assertThat(machines()).isEqualTo(MACHINES);
        endTasks();
        world.seconds(25);
        assertDone();
        assertThat(world.starts()).isEqualTo(TASKS);
    }

    /** Guards the controllers themselves: more machines than their sockets carry are not rented. */
    @Test
    void noMoreMachinesAreRentedThanTheControllersCarry() {
        SimClusterSettings large = SimClusterSettings.large(3, MACHINES, 0);
        int sockets = 500;
        world = new SimCluster(1, large.withSockets(sockets), Version.CURRENT);
        world.seconds(2);
        world.submit(0, longJob("job-000001", TASKS));
        world.seconds(40);
        assertThat(machines()).isEqualTo(2 * (int) (sockets * 0.75 * 0.9));
        assertThat(world.broken()).isEmpty();
    }
}
