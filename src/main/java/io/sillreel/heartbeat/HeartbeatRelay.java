package io.sillreel.heartbeat;

import io.sillreel.agent.Heartbeat;
import io.sillreel.http.EventLoop;
import io.sillreel.http.HttpClient;
import io.sillreel.http.HttpRequest;
import io.sillreel.http.HttpResponse;
import io.sillreel.peer.HeartbeatBatchCodec;
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
    private static final long MIN_BATCH_DELAY_MICROS = 15_000;

    private static final long MAX_BATCH_DELAY_MICROS = 150_000;
    private static final long BATCH_DELAY_PER_WORKER_MICROS = 1_000;
    private static final long TIMEOUT_MICROS = 2_500_000;
    private static final int MIN_BATCH_HEARTBEATS = 64;
    /**
     * A batch may carry the reports of so large a part of the workers, or a leader far away could not be kept up with.
     */
    private static final int BATCHES_PER_WORKER_CYCLE = 16;
    /** What the reports of one batch may take, unless it is a single one; the leader takes in a multiple. */
    private static final int MAX_BATCH_BYTES = 1 << 20;

    private static final int MAX_PENDING_BATCHES = 2;
    /** After a batch was lost nothing is handed on for so long. */
    private static final long UNREACHABLE_MICROS = 2_000_000;
    /**
     * One batch without an answer may just be late, at a leader that has much to do; sending its workers there by
     * themselves would give it more. One that could not even be sent, or two in a row, mean that there is no way.
     */
    private static final int MAX_LATE_BATCHES = 1;

    private static final HttpResponse LOST = HttpResponse.retryLater(503, "the leader can't be reached", 1);

    private record Waiting(Heartbeat heartbeat, long receivedMicros, CompletableFuture<HttpResponse> answer) {}

    private final EventLoop eventLoop;
    private final HttpClient httpClient;
    private final IntSupplier workerCount;
    private final Deque<Waiting> waiting = new ArrayDeque<>();
    private String currentLeader = "";
    private int pendingBatches;
    private int consecutiveLateBatches;
    private boolean sendScheduled;
    private long unreachableUntilMicros = Long.MIN_VALUE;
    private long relayedCount;
    private long lostCount;
    private long batchCount;

    /** @param workerCount how many workers report here */
    public HeartbeatRelay(EventLoop eventLoop, HttpClient httpClient, IntSupplier workerCount) {
        this.eventLoop = eventLoop;
        this.httpClient = httpClient;
        this.workerCount = workerCount;
    }

    /** True unless the last batch to this lease leader was lost a moment ago. */
    public synchronized boolean isReachable(String leaderAddress) {
        return !currentLeader.equals(leaderAddress) || eventLoop.nowMicros() >= unreachableUntilMicros;
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
            if (!currentLeader.equals(leaderAddress)) {
                currentLeader = leaderAddress;
                unreachableUntilMicros = Long.MIN_VALUE;
                consecutiveLateBatches = 0;
            }
            waiting.add(new Waiting(heartbeat, eventLoop.nowMicros(), answer));
            if (sendScheduled || pendingBatches >= MAX_PENDING_BATCHES) {
                return answer;
            }
            sendScheduled = true;
        }
        eventLoop.schedule(batchDelayMicros(), this::sendBatch);
        return answer;
    }

    private long batchDelayMicros() {
        return Math.max(
                MIN_BATCH_DELAY_MICROS,
                Math.min(MAX_BATCH_DELAY_MICROS, BATCH_DELAY_PER_WORKER_MICROS * workerCount.getAsInt()));
    }

    /** Takes what goes into the next batch; reports whose workers wait no longer would only cost the leader time. */
    private List<Waiting> nextBatch(List<Waiting> givenUp) {
        List<Waiting> batch = new ArrayList<>();
        int maxReports = Math.max(MIN_BATCH_HEARTBEATS, workerCount.getAsInt() / BATCHES_PER_WORKER_CYCLE);
        int bytes = 0;
        while (!waiting.isEmpty() && batch.size() < maxReports) {
            Waiting next = waiting.peek();
            if (eventLoop.nowMicros() - next.receivedMicros() > Heartbeat.RESPONSE_TIMEOUT_MICROS) {
                givenUp.add(waiting.poll());
                continue;
            }
            bytes += HeartbeatBatchCodec.estimateBytes(next.heartbeat());
            if (bytes > MAX_BATCH_BYTES && !batch.isEmpty()) {
                break;
            }
            batch.add(waiting.poll());
        }
        return batch;
    }

    private void sendBatch() {
        List<Waiting> batch;
        List<Waiting> givenUp = new ArrayList<>();
        String to;
        synchronized (this) {
            sendScheduled = false;
            batch = nextBatch(givenUp);
            pendingBatches += batch.isEmpty() ? 0 : 1;
            batchCount += batch.isEmpty() ? 0 : 1;
            to = currentLeader;
        }
        givenUp.forEach(each -> each.answer().complete(LOST));
        if (batch.isEmpty()) {
            return;
        }
        HttpRequest request = HeartbeatBatchCodec.toRequest(
                batch.stream().map(Waiting::heartbeat).toList());
        httpClient.send(to, request, TIMEOUT_MICROS).thenAccept(response -> {
            List<HttpResponse> replies =
                    response.isOk() ? HeartbeatBatchCodec.decodeResponses(response.body()) : List.of();
            boolean more;
            synchronized (this) {
                pendingBatches--;
                if (replies.size() != batch.size()) {
                    lostCount += batch.size();
                    boolean broken = response.status() != HttpResponse.NO_RESPONSE
                            || ++consecutiveLateBatches > MAX_LATE_BATCHES;
                    if (broken && to.equals(currentLeader)) {
                        unreachableUntilMicros = eventLoop.nowMicros() + UNREACHABLE_MICROS;
                    }
                } else {
                    relayedCount += batch.size();
                    consecutiveLateBatches = 0;
                }
                more = !waiting.isEmpty() && !sendScheduled;
                sendScheduled |= more;
            }
            for (int i = 0; i < batch.size(); i++) {
                batch.get(i).answer().complete(replies.size() == batch.size() ? replies.get(i) : LOST);
            }
            if (more) {
                eventLoop.schedule(0, this::sendBatch);
            }
        });
    }
}
