package io.sillreel.admission;

import static io.sillreel.golden.GoldenSamples.fields;
import static io.sillreel.golden.GoldenSamples.json;
import static io.sillreel.golden.GoldenSamples.text;
import static io.sillreel.golden.GoldenSamples.values;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sillreel.cloud.MachineType;
import io.sillreel.cloud.MachineType.ImageStorage;
import io.sillreel.cloud.MachineType.Pricing;
import io.sillreel.golden.GoldenSamples;
import io.sillreel.golden.GoldenSamples.Transcript;
import io.sillreel.http.HttpRequest;
import io.sillreel.http.Json;
import io.sillreel.limits.ProcessLimits;
import io.sillreel.overload.RateLimiter;
import io.sillreel.pipeline.JobSpec;
import io.sillreel.pipeline.LiveTaskCounts;
import io.sillreel.pipeline.RunRecordCodec;
import io.sillreel.settings.Settings;
import io.sillreel.settings.SettingsReader;
import io.sillreel.sim.SimCluster;
import io.sillreel.sim.SimStateService;
import io.sillreel.sim.SimTime;
import io.sillreel.statestore.StateStore;
import io.sillreel.statestore.Transaction;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** Compares requests of users, the responses to them, and the resulting writes with the golden samples. */
class JobApiSamplesTest {
    private static final long HEAP_BYTES = 50L << 20;
    private static final Map<String, MachineType> TYPES = Map.of(
            "c4", new MachineType("c4", 4, 1, 16, new ImageStorage(0, 0), new Pricing(0, 0), 0, List.of("a", "b")));

    private final Settings settings = SettingsReader.parse(GoldenSamples.read("settings.toml"));
    private final SimTime time = new SimTime();
    private final SimStateService stateService = new SimStateService(time, 20, 8_192, 1_000);
    private final Transcript transcript = new Transcript(stateService::handle);
    private final SimTime.Process process = time.new Process();
    private final StateStore store = new StateStore(
            transcript,
            transcript,
            process,
            "state:1",
            new RateLimiter(process, 1e6, 1e6),
            new RateLimiter(process, 1e6, 1e6));
    private Map<String, MachineType> machineTypes = TYPES;
    private final JobApiHandler admission = new JobApiHandler(
            store,
            process,
            settings,
            ProcessLimits.of(settings, HEAP_BYTES),
            () -> machineTypes,
            uid -> Optional.empty(),
            uid -> transcript.note("told the leader of " + uid));

    @Test
    void decodesSubmissionsAndReportsErrors() throws Exception {
        GoldenSamples.assertConverts("submissions.txt", input -> {
            ObjectNode submission = SimCluster.job("job-000412", 3);
            submission.setAll((ObjectNode) json(input));
            try {
                JobSpec spec = SubmissionDecoder.decode(Json.bytes(submission));
                String infeasibilityReason = JobFeasibility.infeasibilityReason(spec, settings.teams(), TYPES.values())
                        .orElse("may run");
                return values(fields(spec)) + "\n" + infeasibilityReason;
            } catch (MalformedSubmissionException e) {
                return e.getMessage();
            }
        });
    }

    @Test
    void encodesJobStatuses() throws Exception {
        GoldenSamples.assertConverts("job-answers.txt", input -> {
            JsonNode known = json(input);
            boolean isReleased = known.has("head");
            JobStatus status = new JobStatus(
                    "job-000412",
                    5,
                    List.of(),
                    isReleased ? 6 : 0,
                    isReleased ? RunRecordCodec.decode(known.path("head")) : null,
                    known.path("cancelled").asLong(),
                    known.path("closed").asBoolean());
            return text(new JobResponses(uid -> counts(known.path("live"))).status(status));
        });
    }

    private static Optional<LiveTaskCounts.Counts> counts(JsonNode live) {
        return live.isMissingNode()
                ? Optional.empty()
                : Optional.of(new LiveTaskCounts.Counts(
                        live.path("done").asInt(),
                        live.path("running").asInt(),
                        live.path("reason").asText(null)));
    }

    @Test
    void answersSubmissionsPollsAndCancellations() {
        submit("job-1", job -> {});
        submit("job-1", job -> job.put("rank", "urgent"));
        submit("job-2", job -> job.putArray("awaits").add("job-1"));
        submit("job-3", job -> job.putArray("awaits").add("job-9"));
        send(HttpRequest.get("/v2/runs/job-1"));
        send(HttpRequest.get("/v2/runs/job-2"));
        send(HttpRequest.get("/v2/runs/job-9"));
        send(HttpRequest.post("/v2/runs/job-1/withdraw", Json.object()));
        send(HttpRequest.post("/v2/runs/job-1/withdraw", Json.object()));
        send(HttpRequest.get("/v2/runs/job-1"));
        send(HttpRequest.get("/v2/runs/job-2"));
        submit("job-4", job -> job.putArray("awaits").add("job-1"));
        store.commit(
                new Transaction().set("run/job-5", json("{\"pieces\":4,\"done\":4,\"running\":0,\"stage\":\"done\"}")));
        submit("job-5", job -> {});
        send(HttpRequest.get("/v2/runs/job-5"));
        send(HttpRequest.post("/v2/runs/job-5/withdraw", Json.object()));
        GoldenSamples.assertMatches("users.txt", transcript.toString());
    }

    @Test
    void rejectsInvalidAndUnservableRequests() {
        send(HttpRequest.get("/v2/runs"));
        send(HttpRequest.get("/v2/runs/job-1/else"));
        send(HttpRequest.get("/v2/runs/job-x"));
        send(HttpRequest.get("/v2/runs/job-1/withdraw"));
        send(HttpRequest.post("/v2/runs/job-1", Json.object()));
        send(HttpRequest.post("/v2/runs/job-1/withdraw", Json.object()));
        send(new HttpRequest("POST", "/v2/runs", "not json".getBytes(StandardCharsets.UTF_8)));
        send(HttpRequest.post("/v2/runs", Json.object().put("uid", "nonsense")));
        submit("job-1", job -> job.remove("crew"));
        submit("job-1", job -> job.put("crew", "nobody"));
        submit(
                "job-1",
                job -> job.put("reel", "x".repeat(200))
                        .putArray("builds")
                        .add("c4" + "x".repeat(3_000))
                        .add("c4"));
        machineTypes = Map.of();
        submit("job-1", job -> {});
        machineTypes = TYPES;
        stateService.setOutage(true);
        submit("job-1", job -> {});
        send(HttpRequest.get("/v2/runs/job-1"));
        send(HttpRequest.post("/v2/runs/job-1/withdraw", Json.object()));
        GoldenSamples.assertMatches("user-refusals.txt", transcript.toString());
    }

    private void submit(String uid, Consumer<ObjectNode> change) {
        ObjectNode job = SimCluster.job(uid, 3);
        change.accept(job);
        send(HttpRequest.post("/v2/runs", job));
    }

    private void send(HttpRequest request) {
        transcript.note("user: " + text(request));
        admission.handle(request).thenAccept(response -> transcript.note("told: " + text(response)));
        time.runFor(3_000_000);
    }
}
