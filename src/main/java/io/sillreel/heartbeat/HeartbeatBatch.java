package io.sillreel.heartbeat;

import io.sillreel.agent.Heartbeat;
import io.sillreel.http.EventLoop;
import io.sillreel.http.HttpResponse;
import io.sillreel.peer.HeartbeatBatchCodec;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/**
 * A batch of heartbeats relayed by another controller, with the responses so far. It is processed in chunks, so that
 * neither the renewal of the leader lease nor the batches of other controllers wait for a whole batch. Used on the
 * event loop.
 */
final class HeartbeatBatch {
    static final int MAX_HEARTBEATS_PER_CHUNK = 12;
    /**
     * Limits the responses to one batch. Heartbeats beyond it are refused unprocessed; their workers send them again.
     */
    static final int MAX_RESPONSE_BYTES = 1 << 20;

    private static final HttpResponse INTERNAL_ERROR = HttpResponse.retryLater(503, "internal error", 1);
    private static final HttpResponse RESPONSE_LIMIT_REACHED =
            HttpResponse.retryLater(503, "too much is to be told at once", 1);

    private final EventLoop eventLoop;
    private final List<Heartbeat> heartbeats;
    private final Function<Heartbeat, HttpResponse> process;
    private final List<HttpResponse> responses = new ArrayList<>();
    private final CompletableFuture<HttpResponse> result = new CompletableFuture<>();
    private int responseBytes;

    /** @param process processes one heartbeat */
    HeartbeatBatch(EventLoop eventLoop, List<Heartbeat> heartbeats, Function<Heartbeat, HttpResponse> process) {
        this.eventLoop = eventLoop;
        this.heartbeats = heartbeats;
        this.process = process;
    }

    /** Processes the first chunk; completes with the responses to all heartbeats, in their order. */
    CompletableFuture<HttpResponse> start() {
        processNextChunk();
        return result;
    }

    private void processNextChunk() {
        int upTo = Math.min(heartbeats.size(), responses.size() + MAX_HEARTBEATS_PER_CHUNK);
        while (responses.size() < upTo) {
            HttpResponse response = responseBytes > MAX_RESPONSE_BYTES
                    ? RESPONSE_LIMIT_REACHED
                    : processConfined(heartbeats.get(responses.size()));
            responseBytes += response.body().length;
            responses.add(response);
        }
        if (responses.size() == heartbeats.size()) {
            result.complete(new HttpResponse(200, HeartbeatBatchCodec.encodeResponses(responses), 0));
        } else {
            eventLoop.schedule(1, this::processNextChunk);
        }
    }

    /** An error with one heartbeat must not leave the others of the batch without a response. */
    private HttpResponse processConfined(Heartbeat heartbeat) {
        return eventLoop
                .unexpectedErrors()
                .callConfined(
                        "the heartbeat of machine " + heartbeat.machine(),
                        () -> process.apply(heartbeat),
                        INTERNAL_ERROR);
    }
}
