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
 * Relays the heartbeats of workers to the leader in batches, and returns the leader's responses to the workers. If a
 * batch gets no response, its workers get status 503: any launches in the lost responses did not happen, which the next
 * heartbeats show. Thread-safe; the mutable state is guarded by this.
 */
public final class HeartbeatRelay {
    /**
     * The batch delay grows with the number of workers: each batch costs both sides a request, whatever its size, and
     * with hundreds of workers, batches of one or two heartbeats would be most of the load of a controller.
     */
    private static final long MIN_BATCH_DELAY_MICROS = 15_000;

    private static final long MAX_BATCH_DELAY_MICROS = 150_000;
    private static final long BATCH_DELAY_PER_WORKER_MICROS = 1_000;
    private static final long TIMEOUT_MICROS = 2_500_000;
    private static final int MIN_BATCH_HEARTBEATS = 64;
    /**
     * One heartbeat of every worker fits into this many batches. With smaller batches, the round-trip time to a distant
     * leader would limit the rate.
     */
    private static final int BATCHES_PER_WORKER_CYCLE = 16;
    /** Limit on the estimated size of a batch of more than one heartbeat; a leader accepts a multiple of it. */
    private static final int MAX_BATCH_BYTES = 1 << 20;

    private static final int MAX_PENDING_BATCHES = 2;
    /** How long a leader is considered unreachable after a lost batch. */
    private static final long UNREACHABLE_MICROS = 2_000_000;
    /**
     * A single batch without a response may be delayed by a busy leader, and redirecting workers to it would add to its
     * load. A batch that could not be sent, or two in a row without a response, mean that the leader is unreachable.
     */
    private static final int MAX_LATE_BATCHES = 1;

    private static final HttpResponse LEADER_UNREACHABLE =
            HttpResponse.retryLater(503, "the leader can't be reached", 1);

    private static final HttpResponse UNENCODABLE = HttpResponse.retryLater(503, "the report can't be handed on", 1);

    private record PendingHeartbeat(Heartbeat heartbeat, long receivedMicros, CompletableFuture<HttpResponse> result) {}

    private final EventLoop eventLoop;
    private final HttpClient httpClient;
    private final IntSupplier workerCount;
    private final Deque<PendingHeartbeat> queue = new ArrayDeque<>();
    private String currentLeader = "";
    private int pendingBatches;
    private int consecutiveLateBatches;
    private boolean sendScheduled;
    private long unreachableUntilMicros = Long.MIN_VALUE;
    private long relayedCount;
    private long lostCount;
    private long batchCount;

    /** @param workerCount how many workers send their heartbeats to this controller */
    public HeartbeatRelay(EventLoop eventLoop, HttpClient httpClient, IntSupplier workerCount) {
        this.eventLoop = eventLoop;
        this.httpClient = httpClient;
        this.workerCount = workerCount;
    }

    /** True unless batches to this leader were lost within the last two seconds. */
    public synchronized boolean isReachable(String leaderAddress) {
        return !currentLeader.equals(leaderAddress) || eventLoop.nowMicros() >= unreachableUntilMicros;
    }

    /** Returns how many heartbeats the leader has answered. */
    public synchronized long relayedCount() {
        return relayedCount;
    }

    /** Returns how many heartbeats were in batches without a response. */
    public synchronized long lostCount() {
        return lostCount;
    }

    /** Returns how many batches were sent. */
    public synchronized long batchCount() {
        return batchCount;
    }

    /** Relays the heartbeat with the next batch; completes with the leader's response to it, or with status 503. */
    public CompletableFuture<HttpResponse> relay(Heartbeat heartbeat, String leaderAddress) {
        CompletableFuture<HttpResponse> result = new CompletableFuture<>();
        synchronized (this) {
            if (!currentLeader.equals(leaderAddress)) {
                currentLeader = leaderAddress;
                unreachableUntilMicros = Long.MIN_VALUE;
                consecutiveLateBatches = 0;
            }
            queue.add(new PendingHeartbeat(heartbeat, eventLoop.nowMicros(), result));
            if (sendScheduled || pendingBatches >= MAX_PENDING_BATCHES) {
                return result;
            }
            sendScheduled = true;
        }
        eventLoop.schedule(batchDelayMicros(), this::sendBatch);
        return result;
    }

    private long batchDelayMicros() {
        return Math.max(
                MIN_BATCH_DELAY_MICROS,
                Math.min(MAX_BATCH_DELAY_MICROS, BATCH_DELAY_PER_WORKER_MICROS * workerCount.getAsInt()));
    }

    /**
     * Removes the heartbeats of the next batch from the queue. Called with the lock of this object held.
     *
     * @param expired receives the heartbeats whose workers no longer wait for a response; relaying them would only load
     *     the leader
     */
    private List<PendingHeartbeat> nextBatch(List<PendingHeartbeat> expired) {
        List<PendingHeartbeat> batch = new ArrayList<>();
        int maxHeartbeats = Math.max(MIN_BATCH_HEARTBEATS, workerCount.getAsInt() / BATCHES_PER_WORKER_CYCLE);
        int bytes = 0;
        while (!queue.isEmpty() && batch.size() < maxHeartbeats) {
            PendingHeartbeat next = queue.peek();
            if (eventLoop.nowMicros() - next.receivedMicros() > Heartbeat.RESPONSE_TIMEOUT_MICROS) {
                expired.add(queue.poll());
                continue;
            }
            bytes += HeartbeatBatchCodec.estimateBytes(next.heartbeat());
            if (bytes > MAX_BATCH_BYTES && !batch.isEmpty()) {
                break;
            }
            batch.add(queue.poll());
        }
        return batch;
    }

    private void sendBatch() {
        List<PendingHeartbeat> batch;
        List<PendingHeartbeat> expired = new ArrayList<>();
        String leaderAddress;
        synchronized (this) {
            sendScheduled = false;
            batch = nextBatch(expired);
            pendingBatches += batch.isEmpty() ? 0 : 1;
            batchCount += batch.isEmpty() ? 0 : 1;
            leaderAddress = currentLeader;
        }
        expired.forEach(each -> each.result().complete(LEADER_UNREACHABLE));
        if (batch.isEmpty()) {
            return;
        }
        HttpRequest request = encode(batch);
        if (request == null) {
            refuseUnencodable(batch);
            return;
        }
        eventLoop
                .unexpectedErrors()
                .whenDone(
                        httpClient.send(leaderAddress, request, TIMEOUT_MICROS),
                        "the responses to a batch of heartbeats",
                        response -> handleResponse(batch, leaderAddress, response),
                        () -> handleResponse(batch, leaderAddress, HttpResponse.noResponse()));
    }

    /** Returns the request that relays the heartbeats, or null if one of them can't be encoded. */
    private HttpRequest encode(List<PendingHeartbeat> batch) {
        List<Heartbeat> heartbeats =
                batch.stream().map(PendingHeartbeat::heartbeat).toList();
        return eventLoop
                .unexpectedErrors()
                .callConfined("encoding heartbeats", () -> HeartbeatBatchCodec.toRequest(heartbeats), null);
    }

    /** Refuses the heartbeats that can't be encoded, and queues the others of their batch again. */
    private void refuseUnencodable(List<PendingHeartbeat> batch) {
        for (PendingHeartbeat pending : batch) {
            boolean isEncodable = encode(List.of(pending)) != null;
            synchronized (this) {
                if (isEncodable) {
                    queue.add(pending);
                }
            }
            if (!isEncodable) {
                pending.result().complete(UNENCODABLE);
            }
        }
        synchronized (this) {
            pendingBatches--;
            if (queue.isEmpty() || sendScheduled) {
                return;
            }
            sendScheduled = true;
        }
        eventLoop.schedule(0, this::sendBatch);
    }

    private void handleResponse(List<PendingHeartbeat> batch, String leaderAddress, HttpResponse response) {
        List<HttpResponse> responses = response.isOk() ? decodeResponses(response) : List.of();
        boolean isAnswered = responses.size() == batch.size();
        boolean hasNextBatch;
        synchronized (this) {
            pendingBatches--;
            if (isAnswered) {
                relayedCount += batch.size();
                consecutiveLateBatches = 0;
            } else {
                recordLostBatch(batch, leaderAddress, response);
            }
            hasNextBatch = !queue.isEmpty() && !sendScheduled;
            sendScheduled |= hasNextBatch;
        }
        for (int i = 0; i < batch.size(); i++) {
            batch.get(i).result().complete(isAnswered ? responses.get(i) : LEADER_UNREACHABLE);
        }
        if (hasNextBatch) {
            eventLoop.schedule(0, this::sendBatch);
        }
    }

    private List<HttpResponse> decodeResponses(HttpResponse response) {
        return eventLoop
                .unexpectedErrors()
                .callConfined(
                        "the responses to a batch of heartbeats",
                        () -> HeartbeatBatchCodec.decodeResponses(response.body()),
                        List.of());
    }

    /** Called with the lock of this object held. */
    private void recordLostBatch(List<PendingHeartbeat> batch, String leaderAddress, HttpResponse response) {
        lostCount += batch.size();
        boolean isUnreachable =
                response.status() != HttpResponse.NO_RESPONSE || ++consecutiveLateBatches > MAX_LATE_BATCHES;
        if (isUnreachable && leaderAddress.equals(currentLeader)) {
            unreachableUntilMicros = eventLoop.nowMicros() + UNREACHABLE_MICROS;
        }
    }
}
