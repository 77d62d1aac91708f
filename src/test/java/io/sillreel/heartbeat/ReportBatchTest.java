package io.sillreel.heartbeat;

import static org.assertj.core.api.Assertions.assertThat;

import io.sillreel.agent.Report;
import io.sillreel.http.Reply;
import io.sillreel.peer.PeerMessages;
import io.sillreel.sim.SimTime;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class ReportBatchTest {
    private static final Report REPORT = new Report("host-000001", "", "c4", "a", false, 1, 1, 1, -1, List.of());

    private final SimTime time = new SimTime();
    private final SimTime.Process process = time.new Process();

    private CompletableFuture<Reply> start(int reports, int answerBytes, List<Report> decided) {
        ReportBatch batch = new ReportBatch(process, Collections.nCopies(reports, REPORT), report -> {
            decided.add(report);
            return new Reply(200, new byte[answerBytes], 0);
        });
        return batch.start();
    }

    /** Guards the renewal of the lease, which a large batch would hold up. */
    @Test
    void otherWorkGoesOnBetweenTheReportsOfABatch() {
        List<Report> decided = new ArrayList<>();
        CompletableFuture<Reply> answer = start(3 * ReportBatch.MAX_DECIDED_AT_ONCE, 10, decided);
        assertThat(decided).hasSize(ReportBatch.MAX_DECIDED_AT_ONCE);
        assertThat(answer).isNotDone();
        time.runFor(1_000);
        assertThat(PeerMessages.replies(answer.join().body()))
                .hasSize(3 * ReportBatch.MAX_DECIDED_AT_ONCE)
                .allMatch(Reply::ok);
    }

    /** Guards memory: what finds no room in the answer is not decided, so that no launch is lost with it. */
    @Test
    void reportsWhoseAnswersFindNoRoomAreRefusedUndecided() {
        List<Report> decided = new ArrayList<>();
        CompletableFuture<Reply> answer = start(40, ReportBatch.MAX_ANSWER_BYTES / 10, decided);
        time.runFor(1_000);
        List<Reply> replies = PeerMessages.replies(answer.join().body());
        assertThat(replies).hasSize(40);
        assertThat(replies.stream().filter(Reply::ok)).hasSameSizeAs(decided).hasSizeLessThan(13);
        assertThat(replies.get(39).status()).isEqualTo(503);
    }
}
