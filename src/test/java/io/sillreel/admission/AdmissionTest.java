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

class AdmissionTest {
    private final SimCluster cluster = new SimCluster(5);

    @BeforeEach
    void begin() {
        cluster.runSeconds(2);
    }

    private HttpResponse submit(String body) {
        return cluster.send(0, new HttpRequest("POST", "/v2/runs", body.getBytes(StandardCharsets.UTF_8)));
    }

    @Test
    void malformedFieldsAreRejectedWithAReason() {
        List<Consumer<ObjectNode>> mistakes = List.of(
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
        for (Consumer<ObjectNode> mistake : mistakes) {
            ObjectNode job = SimCluster.job("job-000001", 1);
            mistake.accept(job);
            HttpResponse response = cluster.submit(0, job);
            assertThat(response.status()).as(job.toString()).isEqualTo(400);
            assertThat(response.json().path("error").asText()).isNotBlank();
        }
        assertThat(cluster.poll(0, "job-000001").status()).isEqualTo(404);
    }

    @Test
    void bodiesThatAreNotOneJsonObjectAreRejected() {
        assertThat(submit("not json").status()).isEqualTo(400);
        assertThat(submit("[1]").status()).isEqualTo(400);
        assertThat(submit("{} {}").status()).isEqualTo(400);
        assertThat(cluster.poll(0, "job-000001").status()).isEqualTo(404);
    }

    @Test
    void jobsThatCanNeverRunAreRejected() {
        List<Consumer<ObjectNode>> mistakes = List.of(
                job -> job.put("crew", "nobody"),
                job -> job.put("vcpus", 5.0),
                job -> job.put("ram_gb", 17.0),
                job -> job.put("cards", 1.0),
                job -> job.put("yard", "z"),
                job -> job.putArray("builds").add("x9"));
        for (Consumer<ObjectNode> mistake : mistakes) {
            ObjectNode job = SimCluster.job("job-000001", 1);
            mistake.accept(job);
            assertThat(cluster.submit(0, job).status()).as(job.toString()).isEqualTo(422);
        }
    }

    @Test
    void unknownPathsAreNotFound() {
        assertThat(cluster.send(0, HttpRequest.get("/v2/else")).status()).isEqualTo(404);
    }

    @Test
    void otherMethodsOfAKnownPathAreNotAllowed() {
        assertThat(cluster.send(0, HttpRequest.get("/v2/runs")).status()).isEqualTo(405);
        assertThat(cluster.send(0, HttpRequest.post("/v2/runs/job-000001", Json.object()))
                        .status())
                .isEqualTo(405);
        assertThat(cluster.send(0, HttpRequest.get("/v2/runs/job-000001/withdraw"))
                        .status())
                .isEqualTo(405);
    }

    @Test
    void healthCheckIsAnswered() {
        assertThat(cluster.send(0, HttpRequest.get("/up")).status()).isEqualTo(200);
    }

    /** Guards the order of the checks: an accepted job is answered as such whatever its repeat now says. */
    @Test
    void aRepeatedSubmissionOfADoneJobIsAnsweredWithItsStatusThoughMalformed() {
        cluster.submit(0, SimCluster.job("job-000001", 1));
        cluster.runSeconds(30);
        for (int node = 0; node < 3; node++) {
            cluster.restart(node);
        }
        cluster.runSeconds(3);
        ObjectNode odd = SimCluster.job("job-000001", 1);
        odd.put("crew", "nobody").remove("rank");
        HttpResponse response = cluster.submit(1, odd);
        assertThat(response.status()).isEqualTo(200);
        assertThat(response.json().path("stage").asText()).isEqualTo("done");
        assertThat(cluster.violations()).isEmpty();
    }

    @Test
    void duringAnOutageOfTheStoreOnlyFinalStatusesAreTold() {
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

    /** Guards against waiting for a store that does not respond: after the first timeout users are answered at once. */
    @Test
    void aControllerWithoutTheStoreRefusesAtOnceAndServesAgainOnceItIsBack() {
        int cut = (cluster.leader() + 1) % 3;
        SimNetwork.Rule rule = cluster.network()
                .addRule((from, to, request) ->
                        from.equals("10.0.0." + cut) && to.equals("state:1") ? SimNetwork.Action.DROP : null);
        cluster.runSeconds(15);
        long before = cluster.time().nowMicros();
        assertThat(cluster.submit(cut, SimCluster.job("job-000001", 1)).status())
                .isEqualTo(503);
        assertThat(cluster.poll(cut, "job-000002").status()).isEqualTo(503);
        assertThat(cluster.time().nowMicros() - before).isLessThan(100_000);
        cluster.network().removeRule(rule);
        cluster.runSeconds(5);
        assertThat(cluster.submit(cut, SimCluster.job("job-000001", 1)).status())
                .isEqualTo(201);
    }

    @Test
    void aCancelledJobStaysCancelledAndItsTasksEnd() {
        cluster.submit(0, SimCluster.job("job-000001", 4));
        cluster.runUntil(() -> {
            cluster.cloud().machines().values().forEach(worker -> worker.setRunMicros(500_000_000));
            return cluster.startCount() >= 4;
        });
        assertThat(cluster.cancel(1, "job-000001").json().path("stage").asText())
                .isEqualTo("withdrawn");
        cluster.runSeconds(3);
        assertThat(cluster.cloud().machines().values())
                .allMatch(worker -> worker.runningTasks().isEmpty());
        assertThat(cluster.stage(2, "job-000001")).isEqualTo("withdrawn");
        assertThat(cluster.cancel(0, "job-000099").status()).isEqualTo(404);
    }

    /** Guards the condition of the write of a done job: the leader does not know of the stored cancellation. */
    @Test
    void aCancellationUnknownToTheLeaderKeepsTheJobFromBeingStoredAsDone() {
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

    /** Guards that done and cancelled exclude each other: whichever is stored first stays, on every controller. */
    @Test
    void aCancellationThatRacesWithTheEndIsToldAlikeByAllControllers() {
        for (int round = 0; round < 12; round++) {
            String uid = "job-00010" + round;
            cluster.submit(0, SimCluster.job(uid, 1));
            int starts = cluster.startCount();
            cluster.runUntil(() -> cluster.startCount() > starts);
            cluster.runSeconds(2.9 + 0.05 * round);
            String told = cluster.cancel(round % 3, uid).json().path("stage").asText();
            cluster.runSeconds(2);
            for (int node = 0; node < 3; node++) {
                assertThat(cluster.stage(node, uid)).isEqualTo(told);
            }
        }
        assertThat(cluster.violations()).isEmpty();
    }
}
