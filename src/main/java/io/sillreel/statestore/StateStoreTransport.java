package io.sillreel.statestore;

import io.sillreel.http.EventLoop;
import io.sillreel.http.HttpClient;
import io.sillreel.http.HttpRequest;
import io.sillreel.http.HttpResponse;
import io.sillreel.overload.RateLimiter;
import java.util.concurrent.CompletableFuture;

/**
 * Sends requests to the state service within this controller's share of the request rate and tracks whether the service
 * responds. Thread-safe.
 */
final class StateStoreTransport {
    private static final long LEASE_TIMEOUT_MICROS = 1_500_000;
    private static final int UNRESPONSIVE_AFTER_FAILURES = 2;

    private final HttpClient httpClient;
    private final HttpClient leaseHttpClient;
    private final EventLoop eventLoop;
    private final String address;
    private final RateLimiter requestLimiter;
    /** Guarded by this. */
    private long lastConclusiveResponseMicros = Long.MIN_VALUE;
    /** Guarded by this. */
    private int consecutiveFailures;

    StateStoreTransport(
            HttpClient httpClient,
            HttpClient leaseHttpClient,
            EventLoop eventLoop,
            String address,
            RateLimiter requestLimiter) {
        this.httpClient = httpClient;
        this.leaseHttpClient = leaseHttpClient;
        this.eventLoop = eventLoop;
        this.address = address;
        this.requestLimiter = requestLimiter;
    }

    synchronized long lastConclusiveResponseMicros() {
        return lastConclusiveResponseMicros;
    }

    synchronized boolean isUnresponsive() {
        return consecutiveFailures >= UNRESPONSIVE_AFTER_FAILURES;
    }

    /** Acquires one request from the rate limiter; returns false if none is available now. */
    boolean tryAcquireRequest() {
        return requestLimiter.tryAcquire(1);
    }

    /** Sends a request if the rate allows it, otherwise completes immediately with status 429. */
    CompletableFuture<HttpResponse> send(HttpRequest request, long timeoutMicros) {
        if (!tryAcquireRequest()) {
            return CompletableFuture.completedFuture(
                    HttpResponse.retryLater(StateStoreCodec.TOO_MANY_REQUESTS, "paced", 1));
        }
        return sendAcquired(request, timeoutMicros);
    }

    /** Sends a request that {@link #tryAcquireRequest} has been called for. */
    CompletableFuture<HttpResponse> sendAcquired(HttpRequest request, long timeoutMicros) {
        return sendAcquired(request, timeoutMicros, requestLimiter);
    }

    /**
     * Sends a request that {@link #tryAcquireRequest} has been called for.
     *
     * @param exceededLimiter the limiter whose rate is lowered if the service responds with status 429
     */
    CompletableFuture<HttpResponse> sendAcquired(HttpRequest request, long timeoutMicros, RateLimiter exceededLimiter) {
        return httpClient.send(address, request, timeoutMicros).thenApply(response -> {
            if (response.status() == StateStoreCodec.TOO_MANY_REQUESTS) {
                exceededLimiter.onRejected();
            }
            return response;
        });
    }

    /** Sends a lease request, which must not wait for the rate limiter or for a busy connection. */
    CompletableFuture<HttpResponse> sendLeaseRequest(HttpRequest request) {
        requestLimiter.acquireUnconditionally(1);
        return leaseHttpClient.send(address, request, LEASE_TIMEOUT_MICROS);
    }

    /** Records whether the service responded and returns the outcome that the response represents. */
    StoreOutcome recordOutcome(HttpResponse response) {
        synchronized (this) {
            consecutiveFailures = response.status() > 0 ? 0 : consecutiveFailures + 1;
            if (StateStoreCodec.isConclusive(response)) {
                lastConclusiveResponseMicros = eventLoop.nowMicros();
            }
        }
        return StateStoreCodec.outcome(response);
    }
}
