package io.sillreel.cloud;

import com.fasterxml.jackson.databind.JsonNode;
import io.sillreel.cloud.CloudClient.ListedMachine;
import io.sillreel.cloud.CloudClient.MachineList;
import io.sillreel.cloud.CloudClient.Outcome;
import io.sillreel.http.EventLoop;
import io.sillreel.http.HttpClient;
import io.sillreel.http.HttpRequest;
import io.sillreel.http.HttpResponse;
import io.sillreel.overload.RateLimiter;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Reads the cloud's list of machines page by page. The list of a fleet of thousands takes more requests than the rate
 * limit allows at once, so each page waits for the rate limiter and leaves part of the rate to other requests, until it
 * has waited for {@link #MAX_PAGE_WAIT_MICROS}. A page that is refused or lost is retried individually.
 *
 * <p>Only one page is in flight at a time, so the fields are never accessed concurrently.
 */
final class MachineListRequest {
    private static final int PAGE_SIZE = 500;
    /** The fraction of a full bucket that pages leave to other requests. */
    private static final double RESERVED_FRACTION = 0.5;

    private static final long RATE_LIMIT_RETRY_MICROS = 100_000;
    /** A page that has waited for longer may use the whole rate, so that the listing also completes under load. */
    private static final long MAX_PAGE_WAIT_MICROS = 3_000_000;

    private static final long PAGE_RETRY_MICROS = 1_000_000;
    private static final int MAX_PAGE_FAILURES = 2;

    private final HttpClient httpClient;
    private final EventLoop eventLoop;
    private final String address;
    private final RateLimiter rateLimiter;
    private final List<ListedMachine> machines = new ArrayList<>();
    private final CompletableFuture<MachineList> result = new CompletableFuture<>();
    private String lastMachineName = "";
    private long pageWaitStartMicros;
    private int pageFailures;

    MachineListRequest(HttpClient httpClient, EventLoop eventLoop, String address, RateLimiter rateLimiter) {
        this.httpClient = httpClient;
        this.eventLoop = eventLoop;
        this.address = address;
        this.rateLimiter = rateLimiter;
    }

    /**
     * Requests the first page; the future completes with the whole list or with the outcome of the page that failed.
     */
    CompletableFuture<MachineList> start() {
        pageWaitStartMicros = eventLoop.nowMicros();
        requestPage();
        return result;
    }

    private void requestPage() {
        boolean mayWait = eventLoop.nowMicros() - pageWaitStartMicros < MAX_PAGE_WAIT_MICROS;
        if (!rateLimiter.tryAcquireKeepingReserve(1, mayWait ? RESERVED_FRACTION * rateLimiter.burst() : 0)) {
            eventLoop.schedule(RATE_LIMIT_RETRY_MICROS, this::requestPage);
            return;
        }
        String sinceParameter = lastMachineName.isEmpty() ? "" : "&since=" + lastMachineName;
        eventLoop
                .unexpectedErrors()
                .whenDone(
                        httpClient.send(
                                address,
                                HttpRequest.get("/machines?limit=" + PAGE_SIZE + sinceParameter),
                                CloudClient.TIMEOUT_MICROS),
                        "a page of the machine list",
                        this::handleResponse,
                        () -> complete(Outcome.UNKNOWN));
    }

    private void handleResponse(HttpResponse response) {
        if (response.isOk()) {
            addPage(response.json());
        } else if (++pageFailures <= MAX_PAGE_FAILURES) {
            eventLoop.schedule(PAGE_RETRY_MICROS, this::requestPage);
        } else {
            complete(Outcome.of(response));
        }
    }

    private void addPage(JsonNode body) {
        CloudCodec.readPage(body, machines);
        if (CloudCodec.isTruncated(body) && !machines.isEmpty()) {
            lastMachineName = machines.get(machines.size() - 1).name();
            pageWaitStartMicros = eventLoop.nowMicros();
            pageFailures = 0;
            requestPage();
        } else {
            complete(Outcome.OK);
        }
    }

    private void complete(Outcome outcome) {
        result.complete(new MachineList(outcome, outcome == Outcome.OK ? machines : List.of()));
    }
}
