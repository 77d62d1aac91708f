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
 * Reports that another controller has handed on, and their answers so far. A few are decided at a time, so that neither
 * the renewal of the lease nor the other controllers wait for a whole batch.
 */
final class HeartbeatBatch {
    static final int MAX_HEARTBEATS_PER_CHUNK = 12;
    /** What the answers to one batch may take; those that find no room are to be asked for again. */
    static final int MAX_RESPONSE_BYTES = 1 << 20;

    private static final HttpResponse FULL = HttpResponse.retryLater(503, "too much is to be told at once", 1);

    private final EventLoop eventLoop;
    private final List<Heartbeat> heartbeats;
    private final Function<Heartbeat, HttpResponse> decide;
    private final List<HttpResponse> responses = new ArrayList<>();
    private final CompletableFuture<HttpResponse> result = new CompletableFuture<>();
    private int responseBytes;

    /** @param decide decides about one report */
    HeartbeatBatch(EventLoop eventLoop, List<Heartbeat> heartbeats, Function<Heartbeat, HttpResponse> decide) {
        this.eventLoop = eventLoop;
        this.heartbeats = heartbeats;
        this.decide = decide;
    }

    /** Begins to decide; completes with the answers to all reports, in their order. */
    CompletableFuture<HttpResponse> start() {
        decideNextChunk();
        return result;
    }

    private void decideNextChunk() {
        int upTo = Math.min(heartbeats.size(), responses.size() + MAX_HEARTBEATS_PER_CHUNK);
        while (responses.size() < upTo) {
            HttpResponse response =
                    responseBytes > MAX_RESPONSE_BYTES ? FULL : decide.apply(heartbeats.get(responses.size()));
            responseBytes += response.body().length;
            responses.add(response);
        }
        if (responses.size() == heartbeats.size()) {
            result.complete(new HttpResponse(200, HeartbeatBatchCodec.encodeResponses(responses), 0));
        } else {
            eventLoop.schedule(1, this::decideNextChunk);
        }
    }
}
