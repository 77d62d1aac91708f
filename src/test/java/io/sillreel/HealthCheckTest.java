package io.sillreel;

import static org.assertj.core.api.Assertions.assertThat;

import io.sillreel.http.HttpClient;
import io.sillreel.http.HttpRequest;
import io.sillreel.http.HttpResponse;
import io.sillreel.http.RequestQueue.RequestClass;
import io.sillreel.limits.ProcessLimits;
import io.sillreel.settings.OperatorProperties;
import io.sillreel.settings.Settings;
import io.sillreel.settings.SettingsReader;
import io.sillreel.sim.SimClusterSettings;
import io.sillreel.sim.SimTime;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class HealthCheckTest {
    private static final long SECOND = 1_000_000;

    private final SimTime time = new SimTime();
    private final SimTime.Process process = time.new Process();
    private final Controller controller = newController();

    private Controller newController() {
        HttpClient unreachable =
                (address, request, timeout) -> CompletableFuture.completedFuture(HttpResponse.notSent());
        Settings settings =
                SettingsReader.parse(SimClusterSettings.small(1, 100).toml(0, true));
        return new Controller(
                process,
                unreachable,
                unreachable,
                settings,
                OperatorProperties.defaults(),
                ProcessLimits.of(settings, 64 * 1024 * 1024));
    }

    private int healthStatus() {
        return controller.handlePublic(HttpRequest.get("/up")).join().status();
    }

    private void enqueue(long handlingMicros) {
        controller.requestQueue().enqueue(RequestClass.USERS, 0, () -> true, () -> process.occupy(handlingMicros));
    }

    /** Guards against a node that the load balancer keeps although it answers no user: its health checks were 200. */
    @Test
    void isUnhealthyWhileNoQueuedRequestIsHandled() {
        assertThat(healthStatus()).isEqualTo(200);
        // No task of the event loop runs from now on, while health checks are still answered.
        process.kill();
        enqueue(0);
        time.runFor(2 * SECOND);
        assertThat(healthStatus()).isEqualTo(200);
        time.runFor(2 * SECOND);
        assertThat(healthStatus()).isEqualTo(503);
    }

    /** An overloaded controller is healthy: without it, the others would have to take its load as well. */
    @Test
    void staysHealthyWhileAnOverloadedQueueMakesProgress() {
        for (int i = 0; i < 10; i++) {
            enqueue(SECOND);
        }
        for (int i = 0; i < 12; i++) {
            time.runFor(SECOND);
            assertThat(healthStatus()).isEqualTo(200);
        }
    }
}
