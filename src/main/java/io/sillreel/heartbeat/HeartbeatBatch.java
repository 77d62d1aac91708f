package io.sillreel.heartbeat;

import io.sillreel.agent.Heartbeat;
import io.sillreel.http.EventLoop;
import io.sillreel.http.HttpResponse;
import io.sillreel.peer.PeerMessages;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/**
 * Reports that another controller has handed on, and their answers so far. A few are decided at a time, so that neither
 * the renewal of the lease nor the other controllers wait for a whole batch.
 */
final class HeartbeatBatch {
    static final int MAX_DECIDED_AT_ONCE = 12;
    /** What the answers to one batch may take; those that find no room are to be asked for again. */
    static final int MAX_ANSWER_BYTES = 1 << 20;

    private static final HttpResponse FULL = HttpResponse.retryLater(503, "too much is to be told at once", 1);

    private final EventLoop eventLoop;
    private final List<Heartbeat> reports;
    private final Function<Heartbeat, HttpResponse> decide;
    private final List<HttpResponse> replies = new ArrayList<>();
    private final CompletableFuture<HttpResponse> answer = new CompletableFuture<>();
    private int bytes;

    /** @param decide decides about one report */
    HeartbeatBatch(EventLoop eventLoop, List<Heartbeat> reports, Function<Heartbeat, HttpResponse> decide) {
        this.eventLoop = eventLoop;
        this.reports = reports;
        this.decide = decide;
    }

    /** Begins to decide; completes with the answers to all reports, in their order. */
    CompletableFuture<HttpResponse> start() {
        decideSome();
        return answer;
    }

    private void decideSome() {
        int upTo = Math.min(reports.size(), replies.size() + MAX_DECIDED_AT_ONCE);
        while (replies.size() < upTo) {
            HttpResponse response = bytes > MAX_ANSWER_BYTES ? FULL : decide.apply(reports.get(replies.size()));
            bytes += response.body().length;
            replies.add(response);
        }
        if (replies.size() == reports.size()) {
            answer.complete(new HttpResponse(200, PeerMessages.encodeResponses(replies), 0));
        } else {
            eventLoop.schedule(1, this::decideSome);
        }
    }
}
