package io.sillreel.cluster;

import static org.assertj.core.api.Assertions.assertThat;

import io.sillreel.http.HttpRequest;
import io.sillreel.sim.SimCluster;
import io.sillreel.sim.SimNetwork.Action;
import io.sillreel.sim.SimNetwork.Rule;
import io.sillreel.sim.SimWorker;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

class ScaleOutRequestTest {
    private final SimCluster cluster = new SimCluster(4);

    private static boolean isProvisioning(HttpRequest request) {
        return request.method().equals("POST") && request.route().equals("/machines");
    }

    @Test
    void retriesUnansweredRequestUnderSameName() {
        Rule lose =
                cluster.network().addRule((from, to, request) -> isProvisioning(request) ? Action.DROP_RESPONSE : null);
        cluster.runSeconds(2);
        cluster.submit(0, SimCluster.job("job-000001", 2));
        cluster.runSeconds(4);
        int machineCount = cluster.cloud().machines().size();
        cluster.network().removeRule(lose);
        cluster.runSeconds(40);
        assertThat(cluster.stage(0, "job-000001")).isEqualTo("done");
        assertThat(machineCount).isLessThanOrEqualTo(1);
        assertThat(cluster.violations()).isEmpty();
    }

    /**
     * Guards the stored request when the response to its own write is lost: the request is sent twice, with the same
     * answer. The second answer adds no machine, which caused the request to be discarded while its machines had tasks.
     */
    @Test
    void keepsMachinesOfRequestAnsweredTwice() {
        Rule lose = cluster.network()
                .addRule((from, to, request) -> request.route().equals("/txn")
                                && new String(request.body(), StandardCharsets.UTF_8).contains("\"hire/")
                        ? Action.DROP_RESPONSE
                        : null);
        cluster.runSeconds(2);
        cluster.submit(0, SimCluster.job("job-000001", 4));
        cluster.runSeconds(25);
        cluster.network().removeRule(lose);
        cluster.runUntilStarted(4, 30_000_000);
        for (String machine : cluster.cloud().machines().keySet()) {
            assertThat(cluster.store().keysWithPrefix("hire/").stream().map(cluster.store()::value))
                    .as(machine)
                    .anyMatch(request -> request.path("machines").toString().contains(machine));
        }
        assertThat(cluster.violations()).isEmpty();
    }

    @Test
    void usesOrReturnsMachinesOfRequestExecutedAfterFailover() {
        Rule hold = cluster.network().addRule((from, to, request) -> isProvisioning(request) ? Action.HOLD : null);
        cluster.runSeconds(2);
        cluster.submit(0, SimCluster.job("job-000001", 2));
        cluster.runSeconds(3);
        int leader = cluster.leader();
        cluster.network().removeRule(hold);
        cluster.kill(leader);
        cluster.runSeconds(30);
        cluster.network().releaseHeld();
        cluster.runSeconds(240);
        int survivor = (leader + 1) % 3;
        assertThat(cluster.stage(survivor, "job-000001")).isEqualTo("done");
        assertThat(cluster.cloud().machines()).isEmpty();
        assertThat(cluster.store().keysWithPrefix("hire/")).isEmpty();
        assertThat(cluster.violations()).isEmpty();
    }

    @Test
    void returnsIdleMachinesAndRemovesRequests() {
        cluster.runSeconds(2);
        cluster.submit(0, SimCluster.job("job-000001", 6));
        cluster.runSeconds(20);
        assertThat(cluster.cloud().machines()).isNotEmpty();
        // Idle machines are kept for a while because of the recent demand, and then returned.
        cluster.runSeconds(240);
        assertThat(cluster.cloud().machines()).isEmpty();
        assertThat(cluster.store().keysWithPrefix("hire/")).isEmpty();
    }

    @Test
    void completesJobsSubmittedDuringCloudOutage() {
        cluster.runSeconds(2);
        cluster.cloud().setOutage(true);
        assertThat(cluster.submit(0, SimCluster.job("job-000001", 2)).status()).isEqualTo(201);
        cluster.runSeconds(10);
        // A controller that restarts during the outage uses the stored machine types.
        cluster.restart(1);
        cluster.runSeconds(1);
        assertThat(cluster.submit(1, SimCluster.job("job-000002", 2)).status()).isEqualTo(201);
        cluster.cloud().setOutage(false);
        cluster.runSeconds(40);
        assertThat(cluster.stage(0, "job-000001")).isEqualTo("done");
        assertThat(cluster.stage(0, "job-000002")).isEqualTo("done");
    }

    /** Guards against counting machines of a partitioned zone as capacity for as long as they might come back. */
    @Test
    void replacesMachinesPartitionedBeyondLeaseExpiry() {
        cluster.runSeconds(2);
        cluster.submit(0, SimCluster.job("job-000001", 20));
        cluster.runUntilStarted(20, 40_000_000);
        List<String> partitioned =
                List.copyOf(cluster.cloud().machines().keySet()).subList(0, 3);
        int machineCount = cluster.cloud().machines().size();
        assertThat(machineCount).isBetween(4, 10);
        cluster.network().addRule((from, to, request) -> partitioned.contains(from) ? Action.DROP : null);
        cluster.runSeconds(28);
        assertThat(cluster.cloud().machines().keySet()).containsAll(partitioned);
        assertThat(cluster.cloud().machines().size()).isGreaterThan(machineCount);
        assertThat(cluster.violations()).isEmpty();
    }

    /**
     * Guards jobs that may not use spot machines: a single on-demand machine, however busy, counted as capacity for
     * them, and a few tasks waited for minutes.
     */
    @Test
    void requestsOnDemandMachineForJobWithoutSpot() {
        cluster.runSeconds(2);
        cluster.submit(0, SimCluster.job("job-000001", 4).put("loaners", false));
        cluster.runUntilStarted(4, 200_000_000);
        cluster.cloud().machines().values().forEach(worker -> worker.setRunMicros(3_000_000));
        for (int job = 2; job <= 20; job++) {
            cluster.submit(job % 3, SimCluster.job("job-%06d".formatted(job), 4));
        }
        cluster.submit(0, SimCluster.job("job-000099", 2).put("loaners", false));
        cluster.runSeconds(30);
        assertThat(cluster.stage(0, "job-000099")).isEqualTo("done");
        assertThat(cluster.cloud().machines().values()).anyMatch(SimWorker::spot);
        assertThat(cluster.violations()).isEmpty();
    }
}
