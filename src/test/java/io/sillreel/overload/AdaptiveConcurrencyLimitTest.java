package io.sillreel.overload;

import static org.assertj.core.api.Assertions.assertThat;

import io.sillreel.http.HttpRequest;
import io.sillreel.http.HttpResponse;
import io.sillreel.http.Json;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class AdaptiveConcurrencyLimitTest {
    private long nowMicros;

    @Test
    void reservesCapacityForSubmissionsAndRefusesRequestsOverLimit() {
        List<CompletableFuture<HttpResponse>> pending = new ArrayList<>();
        AdaptiveConcurrencyLimit limit = new AdaptiveConcurrencyLimit(
                request -> {
                    CompletableFuture<HttpResponse> response = new CompletableFuture<>();
                    pending.add(response);
                    return response;
                },
                20,
                4_000,
                () -> nowMicros);
        for (int i = 0; i < 30; i++) {
            limit.handle(HttpRequest.get("/v2/runs/job-000001"));
        }
        int polls = pending.size();
        assertThat(polls).isEqualTo(14);
        CompletableFuture<HttpResponse> submission = limit.handle(HttpRequest.post("/v2/runs", Json.object()));
        assertThat(submission).isNotDone();
        for (int i = 0; i < 10; i++) {
            limit.handle(HttpRequest.post("/v2/runs", Json.object()));
        }
        CompletableFuture<HttpResponse> overLimit = limit.handle(HttpRequest.post("/v2/runs", Json.object()));
        assertThat(overLimit.join().status()).isEqualTo(429);
        assertThat(overLimit.join().retryAfterSeconds()).isPositive();
        pending.forEach(response -> response.complete(HttpResponse.of(200, Json.object())));
        assertThat(limit.handle(HttpRequest.get("/v2/runs/job-000001"))).isNotDone();
    }

    /** Guards against starvation: the status of a job must be served while others are polled continuously. */
    @Test
    void admitsPollRefusedForTenSecondsDespiteLimit() {
        List<String> forwardedPaths = new ArrayList<>();
        AdaptiveConcurrencyLimit limit = new AdaptiveConcurrencyLimit(
                request -> {
                    forwardedPaths.add(request.path());
                    return request.path().endsWith("overdue")
                            ? CompletableFuture.completedFuture(HttpResponse.of(200, Json.object()))
                            : new CompletableFuture<>();
                },
                20,
                4_000,
                () -> nowMicros);
        for (int i = 0; i < 30; i++) {
            limit.handle(HttpRequest.get("/v2/runs/others"));
        }
        assertThat(limit.handle(HttpRequest.get("/v2/runs/overdue")).join().status())
                .isEqualTo(429);
        nowMicros += 5_000_000;
        assertThat(limit.handle(HttpRequest.get("/v2/runs/overdue")).join().status())
                .isEqualTo(429);
        nowMicros += 6_000_000;
        assertThat(limit.handle(HttpRequest.get("/v2/runs/overdue")).join().status())
                .isEqualTo(200);
        assertThat(limit.handle(HttpRequest.get("/v2/runs/overdue")).join().status())
                .isEqualTo(429);
        assertThat(forwardedPaths).containsOnlyOnce("/v2/runs/overdue");
    }

    /** Guards against refusing all users after some malformed requests: a handler that threw kept its permit. */
    @Test
    void admitsRequestsAfterTheHandlerHasThrown() {
        AdaptiveConcurrencyLimit limit = new AdaptiveConcurrencyLimit(
                request -> {
                    if (request.method().equals("POST")) {
                        throw new StackOverflowError("nested too deep");
                    }
                    return CompletableFuture.completedFuture(HttpResponse.of(200, Json.object()));
                },
                20,
                4_000,
                () -> nowMicros);
        for (int i = 0; i < 50; i++) {
            assertThat(limit.handle(HttpRequest.post("/v2/runs", Json.object())))
                    .isCompletedExceptionally();
        }
        assertThat(limit.handle(HttpRequest.get("/v2/runs/job-000001")).join().status())
                .isEqualTo(200);
    }

    /** Guards against refusing all users because some requests are never answered. */
    @Test
    void releasesThePermitsOfRequestsThatAreNotAnsweredInTime() {
        AdaptiveConcurrencyLimit limit =
                new AdaptiveConcurrencyLimit(request -> new CompletableFuture<>(), 20, 4_000, () -> nowMicros);
        CompletableFuture<HttpResponse> first = limit.handle(HttpRequest.post("/v2/runs", Json.object()));
        for (int i = 0; i < 50; i++) {
            limit.handle(HttpRequest.post("/v2/runs", Json.object()));
        }
        assertThat(first).isNotDone();
        nowMicros += 21_000_000;
        assertThat(limit.handle(HttpRequest.post("/v2/runs", Json.object()))).isNotDone();
        assertThat(first.join().status()).isEqualTo(503);
    }
}
