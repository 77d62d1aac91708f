package io.sillreel.cloud;

import io.sillreel.http.EventLoop;
import io.sillreel.http.HttpClient;
import io.sillreel.http.HttpRequest;
import io.sillreel.http.HttpResponse;
import io.sillreel.overload.RateLimiter;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Client of the cloud's interface, limited to this controller's share of the request rate. Futures never complete
 * exceptionally: every failure is an {@link DependencyResolver}. Safe for use by several threads.
 */
public final class CloudClient {
    /** The result of a request to the cloud. */
    public enum Outcome {
        /** The request was executed. */
        OK,
        /** The cloud has no machine of the requested type; nothing was executed. */
        NO_CAPACITY,
        /** The request was not sent or not accepted; it was certainly not executed. */
        REFUSED,
        /** No usable answer came: the request may have been executed, or may yet be. */
        UNKNOWN;

        static Outcome of(HttpResponse response) {
            if (response.isOk()) {
                return OK;
            }
            return response.isCertainlyNotExecuted() ? REFUSED : UNKNOWN;
        }
    }

    /**
     * A machine as the cloud lists it.
     *
     * @param address where the machine accepts commands; empty if the cloud does not tell
     * @param hasFailed true if the machine has failed and its tasks are gone
     */
    public record ListedMachine(
            String name, String address, String machineType, String zone, boolean isSpot, boolean hasFailed) {}

    /** The machine types on offer; the list is empty unless the outcome is OK. */
    record MachineTypesAnswer(Outcome outcome, MachineTypeList list) {}

    /** The names of the machines that a provisioning request obtained, fewer than requested if the cloud ran out. */
    public record ProvisioningResult(Outcome outcome, List<String> machines) {}

    /** All machines of this operator; empty unless the outcome is OK. */
    public record MachineList(Outcome outcome, List<ListedMachine> machines) {}

    /** A request without an answer is given up after this time, in microseconds. */
    public static final long TIMEOUT_MICROS = 6_000_000;
    /** The most machines that one return request may name. */
    public static final int MAX_MACHINES_PER_RETURN = 100;
    /** The most machines that one provisioning request may ask for. */
    public static final int MAX_MACHINES_PER_REQUEST = 50;

    private static final int SERVICE_UNAVAILABLE = 503;

    private final HttpClient httpClient;
    private final EventLoop eventLoop;
    private final String address;
    private final RateLimiter rateLimiter;

    /** @param rateLimiter keeps this controller below its share of the request rate */
    public CloudClient(HttpClient httpClient, EventLoop eventLoop, String address, RateLimiter rateLimiter) {
        this.httpClient = httpClient;
        this.eventLoop = eventLoop;
        this.address = address;
        this.rateLimiter = rateLimiter;
    }

    CompletableFuture<MachineTypesAnswer> listMachineTypes() {
        return send(HttpRequest.get("/flavors"))
                .thenApply(response ->
                        new MachineTypesAnswer(Outcome.of(response), CloudCodec.readMachineTypes(response.json())));
    }

    /**
     * Provisions up to {@code count} machines. The request is idempotent: repeated under the same name it returns the
     * machines that it has already obtained.
     *
     * @param request name of the request, never used for another one
     * @param count at most {@link #MAX_MACHINES_PER_REQUEST}
     */
    public CompletableFuture<ProvisioningResult> provisionMachines(
            String request, String machineType, String zone, boolean isSpot, int count) {
        return send(HttpRequest.post(
                        "/machines", CloudCodec.provisioningRequest(request, machineType, zone, isSpot, count)))
                .thenApply(response -> new ProvisioningResult(
                        provisioningOutcome(response), CloudCodec.provisionedMachines(response.json())));
    }

    private static Outcome provisioningOutcome(HttpResponse response) {
        return response.status() == SERVICE_UNAVAILABLE && CloudCodec.isNoCapacityError(response.json())
                ? Outcome.NO_CAPACITY
                : Outcome.of(response);
    }

    /**
     * Returns the first {@link #MAX_MACHINES_PER_RETURN} of the machines to the cloud. Once the outcome is OK the
     * machines, and all that was on them, are gone.
     */
    public CompletableFuture<Outcome> returnMachines(Collection<String> machines) {
        List<String> named = machines.stream().limit(MAX_MACHINES_PER_RETURN).toList();
        return send(HttpRequest.post("/machines/return", CloudCodec.returnRequest(named)))
                .thenApply(Outcome::of);
    }

    /** Lists all machines; a long list takes several requests and waits for the rate to allow them. */
    public CompletableFuture<MachineList> listMachines() {
        return new MachineListRequest(httpClient, eventLoop, address, rateLimiter).start();
    }

    private CompletableFuture<HttpResponse> send(HttpRequest request) {
        if (!rateLimiter.tryAcquire(1)) {
            return CompletableFuture.completedFuture(HttpResponse.retryLater(429, "paced", 1));
        }
        return httpClient.send(address, request, TIMEOUT_MICROS);
    }
}
