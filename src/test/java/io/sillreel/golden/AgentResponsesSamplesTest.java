package io.sillreel.golden;

import static io.sillreel.golden.GoldenSamples.json;
import static io.sillreel.golden.GoldenSamples.text;

import io.sillreel.Controller;
import io.sillreel.golden.GoldenSamples.Transcript;
import io.sillreel.http.HttpRequest;
import io.sillreel.http.HttpResponse;
import io.sillreel.http.Json;
import io.sillreel.limits.ProcessLimits;
import io.sillreel.settings.OperatorProperties;
import io.sillreel.settings.Settings;
import io.sillreel.settings.SettingsReader;
import io.sillreel.sim.SimStateService;
import io.sillreel.sim.SimTime;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** The responses of a controller to worker agents without commands: refusals and the redirect. */
class AgentResponsesSamplesTest {
    private static final long HEAP_BYTES = 50L << 20;

    private final SimTime time = new SimTime();
    private final SimStateService stateService = new SimStateService(time, 20, 8_192, 1_000);
    private final Transcript transcript = new Transcript(stateService::handle);
    private final Controller controller = newController();

    /** The other controllers can't be reached. */
    private Controller newController() {
        Settings settings = SettingsReader.parse(GoldenSamples.read("settings.toml"));
        return new Controller(
                time.new Process(),
                (address, request, timeout) -> address.equals("state:1")
                        ? stateService.handle(request)
                        : CompletableFuture.completedFuture(HttpResponse.notSent()),
                (address, request, timeout) -> stateService.handle(request),
                settings,
                OperatorProperties.defaults(),
                ProcessLimits.of(settings, HEAP_BYTES));
    }

    @Test
    void redirectsAgentsToTheLeaderWhileItCanNotReachIt() {
        stateService.handle(HttpRequest.post(
                "/txn", json("{\"then\":[{\"set\":\"leader\",\"v\":{\"node\":\"hopper-2\",\"term\":3}}]}")));
        sendHeartbeats();
        controller.start(() -> {});
        time.runFor(2_000_000);
        sendHeartbeats();
        sendHeartbeats();
        GoldenSamples.assertMatches("agent-responses.txt", transcript.toString());
    }

    private void sendHeartbeats() {
        HttpRequest heartbeat = HttpRequest.post("/agent/beat", Json.object().put("hopper", "host-000001"));
        transcript.note(text(heartbeat));
        send(heartbeat);
        send(HttpRequest.post("/agent/beat", Json.object()));
        send(HttpRequest.get("/agent/beat"));
        time.runFor(500_000);
    }

    private void send(HttpRequest request) {
        controller.handlePublic(request).thenAccept(response -> transcript.note(text(response)));
    }
}
