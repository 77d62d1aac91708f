package io.sillreel.overload;

import com.netflix.concurrency.limits.Limiter;
import com.netflix.concurrency.limits.limit.Gradient2Limit;
import com.netflix.concurrency.limits.limiter.SimpleLimiter;
import io.sillreel.http.HttpHandler;
import io.sillreel.http.HttpRequest;
import io.sillreel.http.HttpResponse;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;

/**
 * Limits the number of user requests in progress and adapts the limit to the measured response times. Status polls may
 * use only a fraction of the limit, so that submissions and cancellations are still admitted under load. A request over
 * the limit is refused at once with status 429. A poll that has been refused for ten seconds is overdue; a few overdue
 * polls are admitted beyond the limit, since the polls of a job could otherwise be refused for as long as the load
 * lasts. A request that has had no answer for much longer than users wait is answered with 503, so that requests that
 * are never answered do not take up the limit for ever. Thread-safe; all state is guarded by {@code this}.
 */
public final class AdaptiveConcurrencyLimit implements HttpHandler {
    private static final double MAX_POLL_FRACTION = 0.7;
    private static final int INITIAL_LIMIT = 20;
    private static final int MIN_LIMIT = 8;
    private static final long OVERDUE_AFTER_MICROS = 10_000_000;
    private static final int MAX_OVERDUE_IN_PROGRESS = 4;
    /** Users wait for at most five seconds, and no step of an answer takes longer. */
    private static final long MAX_RESPONSE_MICROS = 20_000_000;

    private record StartedRequest(long startedMicros, CompletableFuture<HttpResponse> response) {}

    private final HttpHandler delegate;
    private final LongSupplier nowMicros;
    private final SimpleLimiter<Void> limiter;
    private int inProgress;
    private long refusedCount;
    private int overdueInProgress;
    /** Time of the first refusal of each poll by path, in insertion order. */
    private final Map<String, Long> firstRefusalByPath;
    /** The requests in progress and some that are answered, in the order of their start. */
    private final Deque<StartedRequest> startedRequests = new ArrayDeque<>();

    private long timedOutCount;

    /**
     * @param maxLimit the upper bound of the limit, however fast requests are handled
     * @param maxTrackedPolls the number of refused polls that are tracked; beyond it the eldest are evicted
     * @param nowMicros monotonic time in microseconds
     */
    public AdaptiveConcurrencyLimit(HttpHandler delegate, int maxLimit, int maxTrackedPolls, LongSupplier nowMicros) {
        this.firstRefusalByPath = new LinkedHashMap<>() {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
                return size() > maxTrackedPolls;
            }
        };
        this.delegate = delegate;
        this.nowMicros = nowMicros;
        this.limiter = SimpleLimiter.newBuilder()
                .limit(Gradient2Limit.newBuilder()
                        .initialLimit(Math.min(INITIAL_LIMIT, maxLimit))
                        .minLimit(Math.min(MIN_LIMIT, maxLimit))
                        .maxConcurrency(maxLimit)
                        .build())
                .build();
    }

    @Override
    public CompletableFuture<HttpResponse> handle(HttpRequest request) {
        answerTimedOut();
        boolean isPoll = request.method().equals("GET");
        Optional<Limiter.Listener> admitted;
        synchronized (this) {
            admitted = isPoll && inProgress >= MAX_POLL_FRACTION * limiter.getLimit()
                    ? Optional.empty()
                    : limiter.acquire(null);
            if (admitted.isEmpty() && !(isPoll && isOverdue(request.path()))) {
                refusedCount++;
                return CompletableFuture.completedFuture(HttpResponse.retryLater(429, "too much is asked at once", 1));
            }
            inProgress += admitted.isPresent() ? 1 : 0;
            overdueInProgress += admitted.isPresent() ? 0 : 1;
        }
        CompletableFuture<HttpResponse> responseFuture = new CompletableFuture<>();
        responseFuture.whenComplete((response, failure) -> {
            boolean isServed = failure == null && response.status() != 503;
            synchronized (this) {
                inProgress -= admitted.isPresent() ? 1 : 0;
                overdueInProgress -= admitted.isPresent() ? 0 : 1;
                if (isServed && isPoll) {
                    firstRefusalByPath.remove(request.path());
                }
            }
            // A failure of another service does not indicate the capacity of this process.
            admitted.ifPresent(isServed ? Limiter.Listener::onSuccess : Limiter.Listener::onIgnore);
        });
        forward(request, responseFuture);
        return responseFuture;
    }

    /** Passes the request on; whatever the delegate throws completes the response exceptionally. */
    private void forward(HttpRequest request, CompletableFuture<HttpResponse> responseFuture) {
        try {
            delegate.handle(request).whenComplete((response, failure) -> {
                if (failure == null) {
                    responseFuture.complete(response);
                } else {
                    responseFuture.completeExceptionally(failure);
                }
            });
        } catch (Throwable e) {
            responseFuture.completeExceptionally(e);
        }
        if (!responseFuture.isDone()) {
            synchronized (this) {
                startedRequests.add(new StartedRequest(nowMicros.getAsLong(), responseFuture));
            }
        }
    }

    /**
     * Answers the requests whose time is over; called before each request, since only then their permits are needed.
     */
    private void answerTimedOut() {
        List<CompletableFuture<HttpResponse>> timedOut = new ArrayList<>();
        synchronized (this) {
            long startedBefore = nowMicros.getAsLong() - MAX_RESPONSE_MICROS;
            while (!startedRequests.isEmpty()
                    && (startedRequests.peek().response().isDone()
                            || startedRequests.peek().startedMicros() < startedBefore)) {
                timedOut.add(startedRequests.poll().response());
            }
        }
        for (CompletableFuture<HttpResponse> response : timedOut) {
            if (response.complete(HttpResponse.retryLater(503, "no answer in time", 1))) {
                countTimedOut();
            }
        }
    }

    private synchronized void countTimedOut() {
        timedOutCount++;
    }

    /** Returns the number of requests that were not answered in time since the process started. */
    public synchronized long timedOutCount() {
        return timedOutCount;
    }

    /** Records the refusal of a poll; returns true if the poll is overdue and may be admitted. */
    private boolean isOverdue(String path) {
        long now = nowMicros.getAsLong();
        Long firstRefusal = firstRefusalByPath.putIfAbsent(path, now);
        return firstRefusal != null
                && now - firstRefusal > OVERDUE_AFTER_MICROS
                && overdueInProgress < MAX_OVERDUE_IN_PROGRESS;
    }

    /** Returns the current limit on requests in progress. */
    public synchronized int limit() {
        return limiter.getLimit();
    }

    /** Returns the number of requests refused since the process started. */
    public synchronized long refusedCount() {
        return refusedCount;
    }
}
