package io.sillreel.heartbeat;

import io.sillreel.agent.Heartbeat;
import io.sillreel.http.EventLoop;
import io.sillreel.http.HttpClient;
import io.sillreel.http.HttpRequest;
import io.sillreel.http.HttpResponse;
import io.sillreel.peer.PeerMessages;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntSupplier;

/**
 * Hands workers' reports on to the lease leader, many in one request, and each worker the answer that was decided
 * there. A batch that gets no answer is refused to its workers as 503: what it carried was then decided for nobody, and
 * the workers' next reports show that.
 */
public final class HeartbeatRelay {
    /**
     * Each batch costs both sides a request, whatever is in it. With a few workers that is little, and their answers
     * are not held up for it; with hundreds of them batches of one or two reports were most of the work of a
     * controller.
     */
    private static final long MIN_GATHER_MICROS = 15_000;

    private static final long MAX_GATHER_MICROS = 150_000;
    private static final long GATHER_PER_WORKER_MICROS = 1_000;
    private static final long TIMEOUT_MICROS = 2_500_000;
    private static final int MIN_BATCH_REPORTS = 64;
    /**
     * A batch may carry the reports of so large a part of the workers, or a leader far away could not be kept up with.
     */
    private static final int BATCH_PART = 16;
    /** What the reports of one batch may take, unless it is a single one; the leader takes in a multiple. */
    private static final int MAX_BATCH_BYTES = 1 << 20;

    private static final int BATCHES_AT_ONCE = 2;
    /** After a batch was lost nothing is handed on for so long. */
    private static final long BROKEN_MICROS = 2_000_000;
    /**
     * One batch without an answer may just be late, at a leader that has much to do; sending its workers there by
     * themselves would give it more. One that could not even be sent, or two in a row, mean that there is no way.
     */
    private static final int MAX_LATE_BATCHES = 1;

    private static final HttpResponse LOST = HttpResponse.retryLater(503, "the leader can't be reached", 1);

    private record Waiting(Heartbeat report, long sinceMicros, CompletableFuture<HttpResponse> answer) {}

    private final EventLoop eventLoop;
    private final HttpClient httpClient;
    private final IntSupplier workers;
    private final Deque<Waiting> waiting = new ArrayDeque<>();
    private String leader = "";
    private int batches;
    private int unansweredInARow;
    private boolean gathering;
    private long brokenUntilMicros = Long.MIN_VALUE;
    private long relayedCount;
    private long lostCount;
    private long batchCount;

    /** @param workers how many workers report here */
    public HeartbeatRelay(EventLoop eventLoop, HttpClient httpClient, IntSupplier workers) {
        this.eventLoop = eventLoop;
        this.httpClient = httpClient;
        this.workers = workers;
    }

    /** True unless the last batch to this lease leader was lost a moment ago. */
    public synchronized boolean isReachable(String leaderAddress) {
        return !leader.equals(leaderAddress) || eventLoop.nowMicros() >= brokenUntilMicros;
    }

    public synchronized long relayedCount() {
        return relayedCount;
    }

    public synchronized long lostCount() {
        return lostCount;
    }

    public synchronized long batchCount() {
        return batchCount;
    }

    /** Passes the report to the leader with the next batch and completes with the leader's answer to it. */
    public CompletableFuture<HttpResponse> relay(Heartbeat heartbeat, String leaderAddress) {
        CompletableFuture<HttpResponse> answer = new CompletableFuture<>();
        synchronized (this) {
            if (!leader.equals(leaderAddress)) {
                leader = leaderAddress;
                brokenUntilMicros = Long.MIN_VALUE;
                unansweredInARow = 0;
            }
            waiting.add(new Waiting(heartbeat, eventLoop.nowMicros(), answer));
            if (gathering || batches >= BATCHES_AT_ONCE) {
                return answer;
            }
            gathering = true;
        }
        eventLoop.schedule(gatherMicros(), this::send);
        return answer;
    }

    private long gatherMicros() {
        return Math.max(MIN_GATHER_MICROS, Math.min(MAX_GATHER_MICROS, GATHER_PER_WORKER_MICROS * workers.getAsInt()));
    }

    /** Takes what goes into the next batch; reports whose workers wait no longer would only cost the leader time. */
    private List<Waiting> nextBatch(List<Waiting> givenUp) {
        List<Waiting> batch = new ArrayList<>();
        int maxReports = Math.max(MIN_BATCH_REPORTS, workers.getAsInt() / BATCH_PART);
        int bytes = 0;
        while (!waiting.isEmpty() && batch.size() < maxReports) {
            Waiting next = waiting.peek();
            if (eventLoop.nowMicros() - next.sinceMicros() > Heartbeat.RESPONSE_TIMEOUT_MICROS) {
                givenUp.add(waiting.poll());
                continue;
            }
            bytes += PeerMessages.approximateBytes(next.report());
            if (bytes > MAX_BATCH_BYTES && !batch.isEmpty()) {
                break;
            }
            batch.add(waiting.poll());
        }
        return batch;
    }

    private void send() {
        List<Waiting> batch;
        List<Waiting> givenUp = new ArrayList<>();
        String to;
        synchronized (this) {
            gathering = false;
            batch = nextBatch(givenUp);
            batches += batch.isEmpty() ? 0 : 1;
            batchCount += batch.isEmpty() ? 0 : 1;
            to = leader;
        }
        givenUp.forEach(each -> each.answer().complete(LOST));
        if (batch.isEmpty()) {
            return;
        }
        HttpRequest request =
                PeerMessages.heartbeats(batch.stream().map(Waiting::report).toList());
        httpClient.send(to, request, TIMEOUT_MICROS).thenAccept(response -> {
            List<HttpResponse> replies = response.isOk() ? PeerMessages.decodeResponses(response.body()) : List.of();
            boolean more;
            synchronized (this) {
                batches--;
                if (replies.size() != batch.size()) {
                    lostCount += batch.size();
                    boolean broken =
                            response.status() != HttpResponse.NO_RESPONSE || ++unansweredInARow > MAX_LATE_BATCHES;
                    if (broken && to.equals(leader)) {
                        brokenUntilMicros = eventLoop.nowMicros() + BROKEN_MICROS;
                    }
                } else {
                    relayedCount += batch.size();
                    unansweredInARow = 0;
                }
                more = !waiting.isEmpty() && !gathering;
                gathering |= more;
            }
            for (int i = 0; i < batch.size(); i++) {
                batch.get(i).answer().complete(replies.size() == batch.size() ? replies.get(i) : LOST);
            }
            if (more) {
                eventLoop.schedule(0, this::send);
            }
        });
    }
}
