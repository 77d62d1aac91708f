package io.sillreel.load;

import com.fasterxml.jackson.databind.JsonNode;
import io.sillreel.http.EventLoop;
import io.sillreel.sim.SimStateService;
import io.sillreel.sim.SimStateService.Snapshot;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** Rolls the state service back by some seconds, and measures how long the controllers take to recover. */
final class LossMeasurement {
    private static final long TIMEOUT_MICROS = 120_000_000;

    private final EventLoop eventLoop;
    private final SimStateService stateService;
    private final SimulatedServices services;
    private final Supplier<JsonNode> status;

    /** @param status returns the recovery status of the leader */
    LossMeasurement(
            EventLoop eventLoop, SimStateService stateService, SimulatedServices services, Supplier<JsonNode> status) {
        this.eventLoop = eventLoop;
        this.stateService = stateService;
        this.services = services;
        this.status = status;
    }

    /** Loses the writes of the given number of seconds, and prints how long detection and recovery take. */
    void measure(int lostSeconds) throws InterruptedException {
        Snapshot snapshot = onEventLoop(stateService::snapshot);
        TimeUnit.SECONDS.sleep(lostSeconds);
        long revision = onEventLoop(stateService::revision);
        long startMicros = eventLoop.nowMicros();
        onEventLoop(() -> {
            stateService.restore(snapshot);
            return true;
        });
        long lost = revision - onEventLoop(stateService::revision);
        double detectedSeconds =
                secondsUntil(startMicros, () -> status.get().path("generation").asLong() > 0);
        double recoveredSeconds =
                secondsUntil(startMicros, () -> !status.get().path("suspended").asBoolean(true));
        long launched = services.launchCount();
        double launchSeconds = secondsUntil(startMicros, () -> services.launchCount() > launched);
        System.out.printf(
                "loss of %d revisions (%d s): detected by the leader after %.2f s, recovered after %.2f s, "
                        + "first launch after %.2f s; %s%n",
                lost, lostSeconds, detectedSeconds, recoveredSeconds, launchSeconds, status.get());
    }

    private double secondsUntil(long startMicros, BooleanSupplier condition) throws InterruptedException {
        while (!condition.getAsBoolean() && eventLoop.nowMicros() - startMicros < TIMEOUT_MICROS) {
            TimeUnit.MILLISECONDS.sleep(20);
        }
        return (eventLoop.nowMicros() - startMicros) / 1e6;
    }

    private <T> T onEventLoop(Supplier<T> work) {
        CompletableFuture<T> result = new CompletableFuture<>();
        eventLoop.execute(() -> result.complete(work.get()));
        return result.join();
    }
}
