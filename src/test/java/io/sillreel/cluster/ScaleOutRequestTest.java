package io.sillreel.cluster;

import static org.assertj.core.api.Assertions.assertThat;

import io.sillreel.http.HttpRequest;
import io.sillreel.sim.SimCluster;
import io.sillreel.sim.SimNetwork.Fate;
import io.sillreel.sim.SimNetwork.Rule;
import io.sillreel.sim.SimWorker;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

class ScaleOutRequestTest {
    private final SimCluster world = new SimCluster(4);

    private static boolean isProvisioning(HttpRequest request) {
        return request.method().equals("POST") && request.route().equals("/machines");
    }

    @Test
    void retriesUnansweredRequestUnderSameName() {
        Rule lose = world.network().add((from, to, request) -> isProvisioning(request) ? Fate.LOSE_ANSWER : null);
        world.seconds(2);
        world.submit(0, SimCluster.job("job-000001", 2));
        world.seconds(4);
        int machineCount = world.cloud().machines().size();
        world.network().remove(lose);
        world.seconds(40);
        assertThat(world.stage(0, "job-000001")).isEqualTo("done");
        assertThat(machineCount).isLessThanOrEqualTo(1);
        assertThat(world.broken()).isEmpty();
    }

    /**
     * Guards the stored request when the response to its own write is lost: the request is sent twice, with the same
     * answer. The second answer adds no machine, which caused the request to be discarded while its machines had tasks.
     */
    @Test
    void keepsMachinesOfRequestAnsweredTwice() {
        Rule lose = world.network()
                .add((from, to, request) -> request.route().equals("/txn")
                                && new String(request.body(), StandardCharsets.UTF_8).contains("\"hire/")
                        ? Fate.LOSE_ANSWER
                        : null);
        world.seconds(2);
        world.submit(0, SimCluster.job("job-000001", 4));
        world.seconds(25);
        world.network().remove(lose);
        world.untilStarted(4, 30_000_000);
        for (String machine : world.cloud().machines().keySet()) {
            assertThat(world.state().keysUnder("hire/").stream().map(world.state()::value))
                    .as(machine)
                    .anyMatch(request -> request.path("machines").toString().contains(machine));
        }
        assertThat(world.broken()).isEmpty();
    }

    @Test
    void usesOrReturnsMachinesOfRequestExecutedAfterFailover() {
        Rule hold = world.network().add((from, to, request) -> isProvisioning(request) ? Fate.HOLD : null);
        world.seconds(2);
        world.submit(0, SimCluster.job("job-000001", 2));
        world.seconds(3);
        int leader = world.leader();
        world.network().remove(hold);
        world.kill(leader);
        world.seconds(30);
        world.network().release();
        world.seconds(240);
        int survivor = (leader + 1) % 3;
        assertThat(world.stage(survivor, "job-000001")).isEqualTo("done");
        assertThat(world.cloud().machines()).isEmpty();
        assertThat(world.state().keysUnder("hire/")).isEmpty();
        assertThat(world.broken()).isEmpty();
    }

    @Test
    void returnsIdleMachinesAndRemovesRequests() {
        world.seconds(2);
        world.submit(0, SimCluster.job("job-000001", 6));
        world.seconds(20);
        assertThat(world.cloud().machines()).isNotEmpty();
        // Idle machines are kept for a while because of the recent demand, and then returned.
        world.seconds(240);
        assertThat(world.cloud().machines()).isEmpty();
        assertThat(world.state().keysUnder("hire/")).isEmpty();
    }

    @Test
    void completesJobsSubmittedDuringCloudOutage() {
        world.seconds(2);
        world.cloud().outage(true);
        assertThat(world.submit(0, SimCluster.job("job-000001", 2)).status()).isEqualTo(201);
        world.seconds(10);
        // A controller that restarts during the outage uses the stored machine types.
        world.restart(1);
        world.seconds(1);
        assertThat(world.submit(1, SimCluster.job("job-000002", 2)).status()).isEqualTo(201);
        world.cloud().outage(false);
        world.seconds(40);
        assertThat(world.stage(0, "job-000001")).isEqualTo("done");
        assertThat(world.stage(0, "job-000002")).isEqualTo("done");
    }

    /** Guards against counting machines of a partitioned zone as capacity for as long as they might come back. */
    @Test
    void replacesMachinesPartitionedBeyondLeaseExpiry() {
        world.seconds(2);
        world.submit(0, SimCluster.job("job-000001", 20));
        world.untilStarted(20, 40_000_000);
        List<String> partitioned =
                List.copyOf(world.cloud().machines().keySet()).subList(0, 3);
        int machineCount = world.cloud().machines().size();
        assertThat(machineCount).isBetween(4, 10);
        world.network().add((from, to, request) -> partitioned.contains(from) ? Fate.LOSE : null);
        world.seconds(28);
        assertThat(world.cloud().machines().keySet()).containsAll(partitioned);
        assertThat(world.cloud().machines().size()).isGreaterThan(machineCount);
        assertThat(world.broken()).isEmpty();
    }

    /**
     * Guards jobs that may not use spot machines: a single on-demand machine, however busy, counted as capacity for
     * them, and a few tasks waited for minutes.
     */
    @Test
    void requestsOnDemandMachineForJobWithoutSpot() {
        world.seconds(2);
        world.submit(0, SimCluster.job("job-000001", 4).put("loaners", false));
        world.untilStarted(4, 200_000_000);
        world.cloud().machines().values().forEach(worker -> worker.runMicros(3_000_000));
        for (int job = 2; job <= 20; job++) {
            world.submit(job % 3, SimCluster.job("job-%06d".formatted(job), 4));
        }
        world.submit(0, SimCluster.job("job-000099", 2).put("loaners", false));
        world.seconds(30);
        assertThat(world.stage(0, "job-000099")).isEqualTo("done");
        assertThat(world.cloud().machines().values()).anyMatch(SimWorker::spot);
        assertThat(world.broken()).isEmpty();
    }
}
