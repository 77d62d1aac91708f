package io.sillreel.heartbeat;

import io.sillreel.agent.Report;
import io.sillreel.http.Loop;
import io.sillreel.http.Reply;
import io.sillreel.peer.PeerMessages;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/**
 * Reports that another controller has handed on, and their answers so far. A few are decided at a time, so that neither
 * the renewal of the lease nor the other controllers wait for a whole batch.
 */
final class ReportBatch {
    static final int MAX_DECIDED_AT_ONCE = 12;
    /** What the answers to one batch may take; those that find no room are to be asked for again. */
    static final int MAX_ANSWER_BYTES = 1 << 20;

    private static final Reply FULL = Reply.later(503, "too much is to be told at once", 1);

    private final Loop loop;
    private final List<Report> reports;
    private final Function<Report, Reply> decide;
    private final List<Reply> replies = new ArrayList<>();
    private final CompletableFuture<Reply> answer = new CompletableFuture<>();
    private int bytes;

    /** @param decide decides about one report */
    ReportBatch(Loop loop, List<Report> reports, Function<Report, Reply> decide) {
        this.loop = loop;
        this.reports = reports;
        this.decide = decide;
    }

    /** Begins to decide; completes with the answers to all reports, in their order. */
    CompletableFuture<Reply> start() {
        decideSome();
        return answer;
    }

    private void decideSome() {
        int upTo = Math.min(reports.size(), replies.size() + MAX_DECIDED_AT_ONCE);
        while (replies.size() < upTo) {
            Reply reply = bytes > MAX_ANSWER_BYTES ? FULL : decide.apply(reports.get(replies.size()));
            bytes += reply.body().length;
            replies.add(reply);
        }
        if (replies.size() == reports.size()) {
            answer.complete(new Reply(200, PeerMessages.answers(replies), 0));
        } else {
            loop.after(1, this::decideSome);
        }
    }
}
