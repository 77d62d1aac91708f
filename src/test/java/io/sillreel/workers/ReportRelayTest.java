package io.sillreel.workers;

import static org.assertj.core.api.Assertions.assertThat;

import io.sillreel.http.Call;
import io.sillreel.http.Reply;
import io.sillreel.peer.PeerMessages;
import io.sillreel.sim.SimTime;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class ReportRelayTest {
    private final SimTime time = new SimTime();
    private final List<Integer> batches = new ArrayList<>();

    private CompletableFuture<Reply> answer(Call call) {
        int reports = PeerMessages.reports(call.body()).size();
        batches.add(reports);
        List<Reply> replies = new ArrayList<>();
        for (int i = 0; i < reports; i++) {
            replies.add(new Reply(200, new byte[0], 0));
        }
        return CompletableFuture.completedFuture(new Reply(200, PeerMessages.answers(replies), 0));
    }

    /** Hands on a report every 10 ms for a second, and returns how many had been answered 15 ms after they came. */
    private int play(int workers) {
        ReportRelay relay =
                new ReportRelay(time.new Process(), (address, call, timeout) -> answer(call), () -> workers);
        int soon = 0;
        for (int i = 0; i < 100; i++) {
            Report report = new Report("host-%06d".formatted(i), "", "c4", "a", true, 1, i, 1, -1, List.of());
            CompletableFuture<Reply> reply = relay.pass(report, "leader:1");
            time.runFor(10_000);
            time.runFor(5_000);
            soon += reply.isDone() ? 1 : 0;
        }
        time.runFor(200_000);
        return soon;
    }

    /**
     * Guards the leader against a request for each report or two: with hundreds of workers that was most of its work.
     */
    @Test
    void manyWorkersReportsAreGatheredForLonger() {
        play(400);
        assertThat(batches.stream().mapToInt(Integer::intValue).sum()).isEqualTo(100);
        assertThat(batches.size()).isLessThan(16);
    }

    @Test
    void fewWorkersDoNotWaitForEachOther() {
        assertThat(play(10)).isGreaterThan(90);
    }

    private ReportRelay handedOnTo(Reply reply, int batches) {
        ReportRelay relay = new ReportRelay(
                time.new Process(), (address, call, timeout) -> CompletableFuture.completedFuture(reply), () -> 1);
        for (int i = 0; i < batches; i++) {
            relay.pass(new Report("host-000001", "", "c4", "a", true, 1, i, 1, -1, List.of()), "leader:1");
            time.runFor(100_000);
        }
        return relay;
    }

    /** Guards a leader that is only late against the workers themselves, who would be more work than their batches. */
    @Test
    void oneLateBatchSendsNobodyToTheLeader() {
        assertThat(handedOnTo(Reply.noAnswer(), 1).works("leader:1")).isTrue();
        assertThat(handedOnTo(Reply.noAnswer(), 2).works("leader:1")).isFalse();
        assertThat(handedOnTo(Reply.notSent(), 1).works("leader:1")).isFalse();
    }
}
