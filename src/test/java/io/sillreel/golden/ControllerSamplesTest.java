package io.sillreel.golden;

import io.sillreel.Controller;
import io.sillreel.golden.GoldenSamples.Transcript;
import io.sillreel.http.HttpRequest;
import io.sillreel.http.HttpResponse;
import io.sillreel.limits.ProcessLimits;
import io.sillreel.settings.OperatorProperties;
import io.sillreel.settings.Settings;
import io.sillreel.settings.SettingsReader;
import io.sillreel.sim.SimStateService;
import io.sillreel.sim.SimTime;
import java.util.List;
import java.util.Properties;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.junit.jupiter.api.Test;

/** The names of the metrics and the routes of both ports. */
class ControllerSamplesTest {
    private static final long HEAP_BYTES = 50L << 20;
    private static final long START_MICROS = 20_000_000;
    private static final long RESPONSE_MICROS = 3_000_000;
    private static final List<String> PATHS = List.of(
            "/v2/runs",
            "/v2/runs/",
            "/v2/runs/job-1",
            "/v2/runs/job-1/withdraw",
            "/v2/runsX",
            "/agent/beat",
            "/agent/beat/",
            "/up",
            "/metrics",
            "/peer/hello",
            "/recovery/status",
            "/nothing",
            "/peer/beats",
            "/peer/withdrawn",
            "/peer/recovery",
            "/peer/recovery/changes",
            "/recovery/accept-loss",
            "/recovery/nothing",
            "/do",
            "/status");

    private final SimTime time = new SimTime();
    private final Transcript transcript = new Transcript(request -> null);

    /** A controller whose cloud and peers can't be reached, some time after its start. */
    private Controller start(String recoveryEnabled) {
        SimStateService stateService = new SimStateService(time, 20, 8_192, 1_000);
        Settings settings = SettingsReader.parse(GoldenSamples.read("settings.toml"));
        Properties properties = new Properties();
        properties.setProperty("recovery.enabled", recoveryEnabled);
        Controller controller = new Controller(
                time.new Process(),
                (address, request, timeout) -> address.equals("state:1")
                        ? stateService.handle(request)
                        : CompletableFuture.completedFuture(HttpResponse.notSent()),
                (address, request, timeout) -> stateService.handle(request),
                settings,
                OperatorProperties.of(properties),
                ProcessLimits.of(settings, HEAP_BYTES));
        controller.start(() -> {});
        time.runFor(START_MICROS);
        return controller;
    }

    @Test
    void namesTheMetrics() {
        transcript.note("# leading, without protection against lost writes");
        noteMetrics(start("0"));
        transcript.note("# with protection against lost writes");
        noteMetrics(start("1"));
        GoldenSamples.assertMatches("metrics.txt", transcript.toString());
    }

    private void noteMetrics(Controller controller) {
        TreeSet<String> names = new TreeSet<>();
        HttpResponse response =
                controller.handleInternal(HttpRequest.get("/metrics")).join();
        response.json().fieldNames().forEachRemaining(names::add);
        names.stream().filter(name -> name.startsWith("sillreel.")).forEach(transcript::note);
    }

    @Test
    void tellsOperatorsThatNothingIsKnownToBeLost() {
        Controller controller = start("1");
        transcript.note(GoldenSamples.text(
                controller.handleInternal(HttpRequest.get("/recovery/status")).join()));
        GoldenSamples.assertMatches("recovery-status.txt", transcript.toString());
    }

    @Test
    void servesTheRoutesOfBothPorts() {
        transcript.note("# without protection against lost writes");
        noteRoutes(start("0"));
        transcript.note("# with protection against lost writes");
        noteRoutes(start("1"));
        GoldenSamples.assertMatches("routes.txt", transcript.toString());
    }

    private void noteRoutes(Controller controller) {
        for (String path : PATHS) {
            for (String method : List.of("GET", "POST")) {
                HttpRequest request = new HttpRequest(method, path, HttpRequest.NO_BODY);
                transcript.note(method + " " + path + " public: " + statusOf(controller::handlePublic, request));
                transcript.note(method + " " + path + " internal: " + statusOf(controller::handleInternal, request));
            }
        }
    }

    private String statusOf(Function<HttpRequest, CompletableFuture<HttpResponse>> port, HttpRequest request) {
        try {
            CompletableFuture<HttpResponse> future = port.apply(request);
            time.runFor(RESPONSE_MICROS);
            HttpResponse response = future.join();
            return response.status() + " " + response.json().path("error").asText("-");
        } catch (RuntimeException e) {
            return "fails";
        }
    }
}
