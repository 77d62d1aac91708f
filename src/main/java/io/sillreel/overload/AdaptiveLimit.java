package io.sillreel.overload;

import com.netflix.concurrency.limits.Limiter;
import com.netflix.concurrency.limits.limit.Gradient2Limit;
import com.netflix.concurrency.limits.limiter.SimpleLimiter;
import io.sillreel.http.HttpHandler;
import io.sillreel.http.HttpRequest;
import io.sillreel.http.HttpResponse;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;

/**
 * A limit on users' requests in progress that sets itself from measured times. Polls may take only a part of it, so
 * that submissions and cancellations pass when everybody asks at once. What is over the limit is refused at once, but
 * not the same question for ever: one that has been refused for a while is owed an answer, and a few of those pass
 * beside the limit. Else a job could stay without an answer for as long as others are asked about.
 */
public final class AdaptiveLimit implements HttpHandler {
    private static final double POLL_SHARE = 0.7;
    private static final int MIN_LIMIT = 8;
    private static final long OVERDUE_AFTER_MICROS = 10_000_000;
    private static final int MAX_OVERDUE_IN_PROGRESS = 4;

    private final HttpHandler delegate;
    private final LongSupplier nowMicros;
    private final SimpleLimiter<Void> limiter;
    private int inProgress;
    private long refusedCount;
    private int overdueInProgress;
    /** Since when questions have been refused, the oldest first. */
    private final Map<String, Long> refusedSince;

    /**
     * @param most the upper bound of the limit, however fast requests are answered
     * @param maxRefused how many questions that were refused are remembered
     */
    public AdaptiveLimit(HttpHandler inner, int most, int maxRefused, LongSupplier nowMicros) {
        this.refusedSince = new LinkedHashMap<>() {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
                return size() > maxRefused;
            }
        };
        this.delegate = inner;
        this.nowMicros = nowMicros;
        this.limiter = SimpleLimiter.newBuilder()
                .limit(Gradient2Limit.newBuilder()
                        .initialLimit(Math.min(20, most))
                        .minLimit(Math.min(MIN_LIMIT, most))
                        .maxConcurrency(most)
                        .build())
                .build();
    }

    @Override
    public CompletableFuture<HttpResponse> handle(HttpRequest request) {
        boolean poll = request.method().equals("GET");
        Optional<Limiter.Listener> admitted;
        synchronized (this) {
            admitted = poll && inProgress >= POLL_SHARE * limiter.getLimit() ? Optional.empty() : limiter.acquire(null);
            if (admitted.isEmpty() && !(poll && isOwed(request.path()))) {
                refusedCount++;
                return CompletableFuture.completedFuture(HttpResponse.retryLater(429, "too much is asked at once", 1));
            }
            inProgress += admitted.isPresent() ? 1 : 0;
            overdueInProgress += admitted.isPresent() ? 0 : 1;
        }
        CompletableFuture<HttpResponse> answer = delegate.handle(request);
        answer.whenComplete((response, failure) -> {
            boolean served = failure == null && response.status() != 503;
            synchronized (this) {
                inProgress -= admitted.isPresent() ? 1 : 0;
                overdueInProgress -= admitted.isPresent() ? 0 : 1;
                if (served && poll) {
                    refusedSince.remove(request.path());
                }
            }
            // An outage elsewhere says nothing about how much can be asked here.
            admitted.ifPresent(served ? Limiter.Listener::onSuccess : Limiter.Listener::onIgnore);
        });
        return answer;
    }

    /** Notes that the question is refused, unless that has gone on for so long that it is answered now. */
    private boolean isOwed(String question) {
        long now = nowMicros.getAsLong();
        Long since = refusedSince.putIfAbsent(question, now);
        return since != null && now - since > OVERDUE_AFTER_MICROS && overdueInProgress < MAX_OVERDUE_IN_PROGRESS;
    }

    public synchronized int limit() {
        return limiter.getLimit();
    }

    public synchronized long refusedCount() {
        return refusedCount;
    }
}
