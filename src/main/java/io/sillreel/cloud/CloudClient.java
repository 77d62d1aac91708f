package io.sillreel.cloud;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sillreel.http.EventLoop;
import io.sillreel.http.HttpClient;
import io.sillreel.http.HttpRequest;
import io.sillreel.http.HttpResponse;
import io.sillreel.http.Json;
import io.sillreel.overload.RateLimiter;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Client of the cloud's interface, paced below the shared rate. */
public final class CloudClient {
    /** What became of a request to the cloud. UNKNOWN: it may have been executed, or may yet be. */
    public enum Outcome {
        OK,
        NO_CAPACITY,
        REFUSED,
        UNKNOWN
    }

    /** A machine as the cloud lists it. */
    public record Listed(
            String name, String address, String machineType, String zone, boolean spot, String stage, long ageMicros) {}

    /** The machine types as the cloud lists them. */
    public record MachineTypeList(Outcome outcome, JsonNode body) {}

    /** The machines that a rental request obtained. */
    public record Rented(Outcome outcome, List<String> machines) {}

    /** The list of machines, and when the request for it was sent. */
    public record Machines(Outcome outcome, List<Listed> machines, long askedMicros) {}

    /** A request without an answer is given up after so long. */
    public static final long TIMEOUT_MICROS = 6_000_000;

    private static final int PAGE = 500;
    /** The part of a full bucket that pages of a list leave to other requests. */
    private static final double RESERVED_PART = 0.5;

    private static final long PAGE_PAUSE_MICROS = 100_000;
    /** A page that has waited for so long no longer leaves anything to others. */
    private static final long MAX_PAGE_WAIT_MICROS = 3_000_000;

    private static final long PAGE_RETRY_MICROS = 1_000_000;
    private static final int MAX_PAGE_FAILURES = 2;
    /** The most machines that one request may give back. */
    public static final int MAX_RETURNED = 100;
    /** The most machines that one request may rent. */
    public static final int MAX_RENTED = 50;

    private final HttpClient httpClient;
    private final EventLoop eventLoop;
    private final String address;
    private final RateLimiter pacer;

    /** @param pacer keeps this controller below its part of the shared request rate */
    public CloudClient(HttpClient httpClient, EventLoop eventLoop, String address, RateLimiter pacer) {
        this.httpClient = httpClient;
        this.eventLoop = eventLoop;
        this.address = address;
        this.pacer = pacer;
    }

    public CompletableFuture<MachineTypeList> machineTypes() {
        return send(HttpRequest.get("/flavors"))
                .thenApply(response -> new MachineTypeList(outcome(response), response.json()));
    }

    /** Rents up to {@code count} machines under a request name that is never used for anything else. */
    public CompletableFuture<Rented> rentMachines(
            String request, String machineType, String zone, boolean spot, int count) {
        ObjectNode body = Json.object()
                .put("hire", request)
                .put("build", machineType)
                .put("yard", zone)
                .put("loaners", spot)
                .put("count", count);
        return send(HttpRequest.post("/machines", body)).thenApply(response -> {
            List<String> names = new ArrayList<>();
            response.json().path("hoppers").forEach(name -> names.add(name.asText()));
            boolean full = response.status() == 503
                    && response.json().path("error").asText().equals("no capacity");
            return new Rented(full ? Outcome.NO_CAPACITY : outcome(response), names);
        });
    }

    /** When OK comes back the machines, and all that was on them, are gone. */
    public CompletableFuture<Outcome> returnMachines(Collection<String> machines) {
        ArrayNode names = Json.array();
        machines.stream().limit(MAX_RETURNED).forEach(names::add);
        ObjectNode body = Json.object();
        body.set("hoppers", names);
        return send(HttpRequest.post("/machines/return", body)).thenApply(this::outcome);
    }

    /**
     * Lists all machines, page by page. At thousands of machines a list takes more requests than the rate allows at
     * once, so pages wait for their turn and leave part of the rate to rentals and returns, unless they have waited for
     * long. A page that is refused or lost is asked for again by itself.
     */
    public CompletableFuture<Machines> machines() {
        ListRequest list = new ListRequest(eventLoop.nowMicros());
        page(list);
        return list.result;
    }

    /** A list that is being read. */
    private static final class ListRequest {
        final long askedMicros;
        final List<Listed> machines = new ArrayList<>();
        final CompletableFuture<Machines> result = new CompletableFuture<>();
        String since = "";
        long pageDueMicros;
        int failures;

        ListRequest(long askedMicros) {
            this.askedMicros = askedMicros;
            this.pageDueMicros = askedMicros;
        }

        HttpRequest call() {
            return HttpRequest.get("/machines?limit=" + PAGE + (since.isEmpty() ? "" : "&since=" + since));
        }

        void finish(Outcome outcome) {
            result.complete(new Machines(outcome, outcome == Outcome.OK ? machines : List.of(), askedMicros));
        }
    }

    private void page(ListRequest list) {
        boolean patient = eventLoop.nowMicros() - list.pageDueMicros < MAX_PAGE_WAIT_MICROS;
        if (!pacer.tryAcquireLeaving(1, patient ? RESERVED_PART * pacer.burst() : 0)) {
            eventLoop.schedule(PAGE_PAUSE_MICROS, () -> page(list));
            return;
        }
        httpClient.send(address, list.call(), TIMEOUT_MICROS).thenAccept(response -> {
            if (response.isOk()) {
                pageRead(list, response.json());
            } else if (++list.failures <= MAX_PAGE_FAILURES) {
                eventLoop.schedule(PAGE_RETRY_MICROS, () -> page(list));
            } else {
                list.finish(outcome(response));
            }
        });
    }

    private void pageRead(ListRequest list, JsonNode body) {
        for (JsonNode node : body.path("hoppers")) {
            list.machines.add(listed(node));
        }
        if (body.path("truncated").asBoolean() && !list.machines.isEmpty()) {
            list.since = list.machines.get(list.machines.size() - 1).name();
            list.pageDueMicros = eventLoop.nowMicros();
            list.failures = 0;
            page(list);
        } else {
            list.finish(Outcome.OK);
        }
    }

    private static Listed listed(JsonNode node) {
        return new Listed(
                node.path("uid").asText(),
                node.path("addr").asText(),
                node.path("build").asText(),
                node.path("yard").asText(),
                node.path("loaners").asBoolean(),
                node.path("stage").asText(),
                Math.round(node.path("age_s").asDouble() * 1_000_000));
    }

    private CompletableFuture<HttpResponse> send(HttpRequest request) {
        if (!pacer.tryAcquire(1)) {
            return CompletableFuture.completedFuture(HttpResponse.retryLater(429, "paced", 1));
        }
        return httpClient.send(address, request, TIMEOUT_MICROS);
    }

    private Outcome outcome(HttpResponse response) {
        if (response.isOk()) {
            return Outcome.OK;
        }
        return response.isCertainlyNotExecuted() ? Outcome.REFUSED : Outcome.UNKNOWN;
    }
}
