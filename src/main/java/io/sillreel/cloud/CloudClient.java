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
 * Client of the cloud's API, limited to this controller's share of the request rate. Futures never complete
 * exceptionally: every failure is an {@link Outcome}. Thread-safe.
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
        /** No usable response was received: the request may have been executed, or may still be. */
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
     * @param address where the machine accepts commands; empty if the cloud does not report it
     * @param hasFailed true if the machine has failed and its tasks are lost
     */
    public record ListedMachine(
            String name, String address, String machineType, String zone, boolean isSpot, boolean hasFailed) {}

    /** The available machine types; the list is empty unless the outcome is OK. */
    record MachineTypesResult(Outcome outcome, MachineTypeList list) {}

    /** The names of the machines that a provisioning request obtained, fewer than requested if the cloud ran out. */
    public record ProvisioningResult(Outcome outcome, List<String> machines) {}

    /** All machines of this operator; empty unless the outcome is OK. */
    public record MachineList(Outcome outcome, List<ListedMachine> machines) {}

    /** Timeout of a request, in microseconds. */
    public static final long TIMEOUT_MICROS = 6_000_000;
    /** Maximum number of machines in one return request. */
    public static final int MAX_MACHINES_PER_RETURN = 100;
    /** Maximum number of machines in one provisioning request. */
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

    CompletableFuture<MachineTypesResult> listMachineTypes() {
        return send(HttpRequest.get("/flavors"))
                .thenApply(response ->
                        new MachineTypesResult(Outcome.of(response), CloudCodec.readMachineTypes(response.json())));
    }

    /**
     * Provisions up to {@code count} machines. The request is idempotent: if it is repeated under the same name, it
     * returns the machines that it has already obtained.
     *
     * @param requestName unique name of the request
     * @param count at most {@link #MAX_MACHINES_PER_REQUEST}
     */
    public CompletableFuture<ProvisioningResult> provisionMachines(
            String requestName, String machineType, String zone, boolean isSpot, int count) {
        return send(HttpRequest.post(
                        "/machines", CloudCodec.provisioningRequest(requestName, machineType, zone, isSpot, count)))
                .thenApply(response -> new ProvisioningResult(
                        provisioningOutcome(response), CloudCodec.readProvisionedMachines(response.json())));
    }

    private static Outcome provisioningOutcome(HttpResponse response) {
        return response.status() == SERVICE_UNAVAILABLE && CloudCodec.isNoCapacityError(response.json())
                ? Outcome.NO_CAPACITY
                : Outcome.of(response);
    }

    /**
     * Returns the first {@link #MAX_MACHINES_PER_RETURN} of the machines to the cloud. Once the outcome is OK, the
     * machines and all data on them are gone.
     */
    public CompletableFuture<Outcome> returnMachines(Collection<String> machines) {
        List<String> batch = machines.stream().limit(MAX_MACHINES_PER_RETURN).toList();
        return send(HttpRequest.post("/machines/return", CloudCodec.returnRequest(batch)))
                .thenApply(Outcome::of);
    }

    /** Lists all machines; a long list takes several requests, which are sent as the rate limit allows. */
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
