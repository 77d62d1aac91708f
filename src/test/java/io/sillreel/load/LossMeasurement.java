package io.sillreel.load;

import com.fasterxml.jackson.databind.JsonNode;
import io.sillreel.http.EventLoop;
import io.sillreel.sim.SimStateService;
import io.sillreel.sim.SimStateService.Snapshot;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** Turns the state service back by some seconds, and measures how long the controllers take to make that good. */
final class LossMeasurement {
    private static final long GIVE_UP_MICROS = 120_000_000;

    private final EventLoop eventLoop;
    private final SimStateService stateService;
    private final SimulatedServices standIns;
    private final Supplier<JsonNode> status;

    /** @param status what the controller that leads says of the loss */
    LossMeasurement(
            EventLoop eventLoop, SimStateService stateService, SimulatedServices standIns, Supplier<JsonNode> status) {
        this.eventLoop = eventLoop;
        this.stateService = stateService;
        this.standIns = standIns;
        this.status = status;
    }

    /** Loses what is written within so many seconds, and prints what becomes of it. */
    void measure(int lostSeconds) throws InterruptedException {
        Snapshot image = inLoop(stateService::snapshot);
        TimeUnit.SECONDS.sleep(lostSeconds);
        long storeRevision = inLoop(stateService::revision);
        long begun = eventLoop.nowMicros();
        inLoop(() -> {
            stateService.restore(image);
            return true;
        });
        long lost = storeRevision - inLoop(stateService::revision);
        double noticed =
                untilSeconds(begun, () -> status.get().path("generation").asLong() > 0);
        double closed =
                untilSeconds(begun, () -> !status.get().path("suspended").asBoolean(true));
        long launched = standIns.launched();
        double launching = untilSeconds(begun, () -> standIns.launched() > launched);
        System.out.printf(
                "a loss of %d revisions (%d s): known to the leader after %.2f s, made good after %.2f s, "
                        + "launches after %.2f s; %s%n",
                lost, lostSeconds, noticed, closed, launching, status.get());
    }

    private double untilSeconds(long begun, BooleanSupplier condition) throws InterruptedException {
        while (!condition.getAsBoolean() && eventLoop.nowMicros() - begun < GIVE_UP_MICROS) {
            TimeUnit.MILLISECONDS.sleep(20);
        }
        return (eventLoop.nowMicros() - begun) / 1e6;
    }

    private <T> T inLoop(Supplier<T> work) {
        CompletableFuture<T> result = new CompletableFuture<>();
        eventLoop.execute(() -> result.complete(work.get()));
        return result.join();
    }
}
