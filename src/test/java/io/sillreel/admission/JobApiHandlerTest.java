package io.sillreel.admission;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sillreel.http.HttpRequest;
import io.sillreel.http.HttpResponse;
import io.sillreel.http.Json;
import io.sillreel.sim.SimCluster;
import io.sillreel.sim.SimNetwork;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class JobApiHandlerTest {
    private final SimCluster cluster = new SimCluster(5);

    @BeforeEach
    void startCluster() {
        cluster.runSeconds(2);
    }

    private HttpResponse submit(String body) {
        return cluster.send(0, new HttpRequest("POST", "/v2/runs", body.getBytes(StandardCharsets.UTF_8)));
    }

    @Test
    void rejectsMalformedFieldsWithAReason() {
        List<Consumer<ObjectNode>> invalidChanges = List.of(
                job -> job.remove("crew"),
                job -> job.put("uid", "nonsense"),
                job -> job.put("pieces", 0),
                job -> job.put("pieces", 100_001),
                job -> job.put("pieces", 1.5),
                job -> job.put("pieces", "3"),
                job -> job.put("rank", "urgent"),
                job -> job.put("form", "group"),
                job -> job.put("vcpus", -1.0),
                job -> job.put("vcpus", 1e300),
                job -> job.put("vcpus", "4"),
                job -> job.put("loaners", "yes"),
                job -> job.put("builds", "c4"),
                job -> job.put("due_s", -5),
                job -> job.put("yard", 7));
        for (Consumer<ObjectNode> invalidChange : invalidChanges) {
            ObjectNode job = SimCluster.job("job-000001", 1);
            invalidChange.accept(job);
            HttpResponse response = cluster.submit(0, job);
            assertThat(response.status()).as(job.toString()).isEqualTo(400);
            assertThat(response.json().path("error").asText()).isNotBlank();
        }
        assertThat(cluster.poll(0, "job-000001").status()).isEqualTo(404);
    }

    @Test
    void rejectsBodiesThatAreNotASingleJsonObject() {
        assertThat(submit("not json").status()).isEqualTo(400);
        assertThat(submit("[1]").status()).isEqualTo(400);
        assertThat(submit("{} {}").status()).isEqualTo(400);
        assertThat(cluster.poll(0, "job-000001").status()).isEqualTo(404);
    }

    @Test
    void rejectsInfeasibleJobs() {
        List<Consumer<ObjectNode>> invalidChanges = List.of(
                job -> job.put("crew", "nobody"),
                job -> job.put("vcpus", 5.0),
                job -> job.put("ram_gb", 17.0),
                job -> job.put("cards", 1.0),
                job -> job.put("yard", "z"),
                job -> job.putArray("builds").add("x9"));
        for (Consumer<ObjectNode> invalidChange : invalidChanges) {
            ObjectNode job = SimCluster.job("job-000001", 1);
            invalidChange.accept(job);
            assertThat(cluster.submit(0, job).status()).as(job.toString()).isEqualTo(422);
        }
    }

    @Test
    void respondsWithNotFoundToUnknownPaths() {
        assertThat(cluster.send(0, HttpRequest.get("/v2/else")).status()).isEqualTo(404);
    }

    @Test
    void respondsWithMethodNotAllowedToUnsupportedMethods() {
        assertThat(cluster.send(0, HttpRequest.get("/v2/runs")).status()).isEqualTo(405);
        assertThat(cluster.send(0, HttpRequest.post("/v2/runs/job-000001", Json.object()))
                        .status())
                .isEqualTo(405);
        assertThat(cluster.send(0, HttpRequest.get("/v2/runs/job-000001/withdraw"))
                        .status())
                .isEqualTo(405);
    }

    @Test
    void respondsToHealthChecks() {
        assertThat(cluster.send(0, HttpRequest.get("/up")).status()).isEqualTo(200);
    }

    /** The check for an accepted job comes first: a resubmission gets its status even if the new body is invalid. */
    @Test
    void respondsWithTheStatusOfADoneJobToAMalformedResubmission() {
        cluster.submit(0, SimCluster.job("job-000001", 1));
        cluster.runSeconds(30);
        for (int node = 0; node < 3; node++) {
            cluster.restart(node);
        }
        cluster.runSeconds(3);
        ObjectNode malformed = SimCluster.job("job-000001", 1);
        malformed.put("crew", "nobody").remove("rank");
        HttpResponse response = cluster.submit(1, malformed);
        assertThat(response.status()).isEqualTo(200);
        assertThat(response.json().path("stage").asText()).isEqualTo("done");
        assertThat(cluster.violations()).isEmpty();
    }

    @Test
    void returnsOnlyTerminalStatusesDuringStateServiceOutage() {
        cluster.submit(0, SimCluster.job("job-000001", 1));
        cluster.runSeconds(30);
        assertThat(cluster.stage(0, "job-000001")).isEqualTo("done");
        cluster.submit(0, SimCluster.job("job-000002", 1));
        cluster.store().setOutage(true);
        assertThat(cluster.stage(0, "job-000001")).isEqualTo("done");
        HttpResponse unfinished = cluster.poll(0, "job-000002");
        assertThat(unfinished.status()).isEqualTo(503);
        assertThat(unfinished.retryAfterSeconds()).isPositive();
        assertThat(cluster.poll(0, "job-000003").status()).isEqualTo(503);
        assertThat(cluster.submit(0, SimCluster.job("job-000004", 1)).status()).isEqualTo(503);
    }

    /** After the first timeout of an unresponsive state service, user requests must fail without waiting for it. */
    @Test
    void failsFastWithoutStateServiceAndServesAgainOnceItIsReachable() {
        int partitioned = (cluster.leader() + 1) % 3;
        SimNetwork.Rule rule = cluster.network()
                .addRule((from, to, request) ->
                        from.equals("10.0.0." + partitioned) && to.equals("state:1") ? SimNetwork.Action.DROP : null);
        cluster.runSeconds(15);
        long startMicros = cluster.time().nowMicros();
        assertThat(cluster.submit(partitioned, SimCluster.job("job-000001", 1)).status())
                .isEqualTo(503);
        assertThat(cluster.poll(partitioned, "job-000002").status()).isEqualTo(503);
        assertThat(cluster.time().nowMicros() - startMicros).isLessThan(100_000);
        cluster.network().removeRule(rule);
        cluster.runSeconds(5);
        assertThat(cluster.submit(partitioned, SimCluster.job("job-000001", 1)).status())
                .isEqualTo(201);
    }

    @Test
    void cancellationIsFinalAndStopsTheTasks() {
        cluster.submit(0, SimCluster.job("job-000001", 4));
        cluster.runUntil(() -> {
            cluster.cloud().machines().values().forEach(machine -> machine.setRunMicros(500_000_000));
            return cluster.startCount() >= 4;
        });
        assertThat(cluster.cancel(1, "job-000001").json().path("stage").asText())
                .isEqualTo("withdrawn");
        cluster.runSeconds(3);
        assertThat(cluster.cloud().machines().values())
                .allMatch(machine -> machine.runningTasks().isEmpty());
        assertThat(cluster.stage(2, "job-000001")).isEqualTo("withdrawn");
        assertThat(cluster.cancel(0, "job-000099").status()).isEqualTo(404);
    }

    /** The write of a completion must be conditional, since the leader may not know of a stored cancellation. */
    @Test
    void cancellationUnknownToTheLeaderPreventsStoringTheCompletion() {
        cluster.submit(0, SimCluster.job("job-000001", 1));
        cluster.runUntil(() -> cluster.startCount() >= 1);
        cluster.network()
                .addRule((from, to, request) ->
                        request.path().startsWith("/watch?prefix=withdraw/") ? SimNetwork.Action.DROP : null);
        cluster.runSeconds(1.2);
        assertThat(cluster.cancel(1, "job-000001").json().path("stage").asText())
                .isEqualTo("withdrawn");
        cluster.runSeconds(5);
        assertThat(cluster.store().value("run/job-000001").path("stage").asText())
                .isNotEqualTo("done");
        assertThat(cluster.stage(2, "job-000001")).isEqualTo("withdrawn");
        assertThat(cluster.violations()).isEmpty();
    }

    /** A job can't be both done and cancelled: whichever is stored first is final on every controller. */
    @Test
    void allControllersAgreeWhenCancellationRacesWithCompletion() {
        for (int round = 0; round < 12; round++) {
            String uid = "job-00010" + round;
            cluster.submit(0, SimCluster.job(uid, 1));
            int starts = cluster.startCount();
            cluster.runUntil(() -> cluster.startCount() > starts);
            cluster.runSeconds(2.9 + 0.05 * round);
            String reportedStage =
                    cluster.cancel(round % 3, uid).json().path("stage").asText();
            cluster.runSeconds(2);
            for (int node = 0; node < 3; node++) {
                assertThat(cluster.stage(node, uid)).isEqualTo(reportedStage);
            }
        }
        assertThat(cluster.violations()).isEmpty();
    }
}
