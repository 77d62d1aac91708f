package io.sillreel.overload;

import static org.assertj.core.api.Assertions.assertThat;

import io.sillreel.http.HttpRequest;
import io.sillreel.http.HttpResponse;
import io.sillreel.http.Json;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class AdaptiveLimitTest {
    private long nowMicros;

    @Test
    void pollsLeaveRoomForSubmissionsAndRequestsOverTheLimitAreRefused() {
        List<CompletableFuture<HttpResponse>> held = new ArrayList<>();
        AdaptiveLimit limit = new AdaptiveLimit(
                request -> {
                    CompletableFuture<HttpResponse> answer = new CompletableFuture<>();
                    held.add(answer);
                    return answer;
                },
                20,
                4_000,
                () -> nowMicros);
        for (int i = 0; i < 30; i++) {
            limit.handle(HttpRequest.get("/v2/runs/job-000001"));
        }
        int polls = held.size();
        assertThat(polls).isEqualTo(14);
        CompletableFuture<HttpResponse> submission = limit.handle(HttpRequest.post("/v2/runs", Json.object()));
        assertThat(submission).isNotDone();
        for (int i = 0; i < 10; i++) {
            limit.handle(HttpRequest.post("/v2/runs", Json.object()));
        }
        CompletableFuture<HttpResponse> tooMany = limit.handle(HttpRequest.post("/v2/runs", Json.object()));
        assertThat(tooMany.join().status()).isEqualTo(429);
        assertThat(tooMany.join().retryAfterSeconds()).isPositive();
        held.forEach(answer -> answer.complete(HttpResponse.of(200, Json.object())));
        assertThat(limit.handle(HttpRequest.get("/v2/runs/job-000001"))).isNotDone();
    }

    /** Guards against a job whose status is never returned while others are polled without end. */
    @Test
    void aPollRefusedForTenSecondsPassesDespiteTheLimit() {
        List<String> asked = new ArrayList<>();
        AdaptiveLimit limit = new AdaptiveLimit(
                request -> {
                    asked.add(request.path());
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
        assertThat(asked).containsOnlyOnce("/v2/runs/overdue");
    }
}
