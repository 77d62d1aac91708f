package io.sillreel.heartbeat;

import static org.assertj.core.api.Assertions.assertThat;

import io.sillreel.agent.Heartbeat;
import io.sillreel.agent.Heartbeat.MachineDescription;
import io.sillreel.agent.Heartbeat.TaskStage;
import io.sillreel.agent.Heartbeat.TaskStatus;
import io.sillreel.http.HttpRequest;
import io.sillreel.http.HttpResponse;
import io.sillreel.peer.HeartbeatBatchCodec;
import io.sillreel.sim.SimTime;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class HeartbeatRelayTest {
    private final SimTime time = new SimTime();
    private final List<Integer> batches = new ArrayList<>();

    private CompletableFuture<HttpResponse> answer(HttpRequest request) {
        int reports = HeartbeatBatchCodec.decodeHeartbeats(request.body()).size();
        batches.add(reports);
        List<HttpResponse> replies = new ArrayList<>();
        for (int i = 0; i < reports; i++) {
            replies.add(new HttpResponse(200, new byte[0], 0));
        }
        return CompletableFuture.completedFuture(
                new HttpResponse(200, HeartbeatBatchCodec.encodeResponses(replies), 0));
    }

    /** Hands on a report every 10 ms for a second, and returns how many had been answered 15 ms after they came. */
    private int play(int workers) {
        HeartbeatRelay heartbeatRelay =
                new HeartbeatRelay(time.new Process(), (address, request, timeout) -> answer(request), () -> workers);
        int soon = 0;
        for (int i = 0; i < 100; i++) {
            Heartbeat heartbeat = new Heartbeat(
                    "host-%06d".formatted(i), "", new MachineDescription("c4", "a", true), 1, i, 1, -1, List.of());
            CompletableFuture<HttpResponse> reply = heartbeatRelay.relay(heartbeat, "leader:1");
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

    private static Heartbeat report(int number, List<TaskStatus> tasks) {
        return new Heartbeat(
                "host-%06d".formatted(number), "", new MachineDescription("c4", "a", true), 1, 1, 1, -1, tasks);
    }

    /** Guards a follower of thousands: two batches of 64 a round trip were 1,300 reports a second at 100 ms. */
    @Test
    void batchesGrowWithTheWorkersAndNotBeyondWhatALeaderTakesIn() {
        HeartbeatRelay heartbeatRelay =
                new HeartbeatRelay(time.new Process(), (address, request, timeout) -> answer(request), () -> 4_000);
        for (int number = 0; number < 600; number++) {
            heartbeatRelay.relay(report(number, List.of()), "leader:1");
        }
        time.runFor(500_000);
        assertThat(batches).containsExactly(250, 250, 100);
        batches.clear();
        List<TaskStatus> many = Collections.nCopies(800, new TaskStatus("job-000001", 0, 1, TaskStage.RUNNING, ""));
        for (int number = 0; number < 200; number++) {
            heartbeatRelay.relay(report(number, many), "leader:1");
        }
        time.runFor(500_000);
        assertThat(batches.stream().mapToInt(Integer::intValue).sum()).isEqualTo(200);
        assertThat(batches).allMatch(reports -> reports < 30);
    }

    /** Guards a leader that is behind against reports whose workers have long asked elsewhere. */
    @Test
    void reportsWhoseWorkersWaitNoLongerAreNotHandedOn() {
        List<CompletableFuture<HttpResponse>> held = new ArrayList<>();
        HeartbeatRelay heartbeatRelay = new HeartbeatRelay(
                time.new Process(),
                (address, request, timeout) -> {
                    batches.add(
                            HeartbeatBatchCodec.decodeHeartbeats(request.body()).size());
                    held.add(new CompletableFuture<>());
                    return held.get(held.size() - 1);
                },
                () -> 1);
        heartbeatRelay.relay(report(1, List.of()), "leader:1");
        time.runFor(100_000);
        heartbeatRelay.relay(report(2, List.of()), "leader:1");
        time.runFor(100_000);
        CompletableFuture<HttpResponse> givenUp = heartbeatRelay.relay(report(3, List.of()), "leader:1");
        time.runFor(5_000_000);
        heartbeatRelay.relay(report(4, List.of()), "leader:1");
        held.forEach(answer -> answer.complete(HttpResponse.noResponse()));
        time.runFor(100_000);
        assertThat(givenUp.join().status()).isEqualTo(503);
        assertThat(batches).containsExactly(1, 1, 1);
    }

    private HeartbeatRelay handedOnTo(HttpResponse response, int batches) {
        HeartbeatRelay heartbeatRelay = new HeartbeatRelay(
                time.new Process(),
                (address, request, timeout) -> CompletableFuture.completedFuture(response),
                () -> 1);
        for (int i = 0; i < batches; i++) {
            heartbeatRelay.relay(
                    new Heartbeat("host-000001", "", new MachineDescription("c4", "a", true), 1, i, 1, -1, List.of()),
                    "leader:1");
            time.runFor(100_000);
        }
        return heartbeatRelay;
    }

    /** Guards a leader that is only late against the workers themselves, who would be more work than their batches. */
    @Test
    void oneLateBatchSendsNobodyToTheLeader() {
        assertThat(handedOnTo(HttpResponse.noResponse(), 1).isReachable("leader:1"))
                .isTrue();
        assertThat(handedOnTo(HttpResponse.noResponse(), 2).isReachable("leader:1"))
                .isFalse();
        assertThat(handedOnTo(HttpResponse.notSent(), 1).isReachable("leader:1"))
                .isFalse();
    }
}
