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
    private final List<Integer> batchSizes = new ArrayList<>();

    private CompletableFuture<HttpResponse> respond(HttpRequest request) {
        int heartbeatCount =
                HeartbeatBatchCodec.decodeHeartbeats(request.body()).size();
        batchSizes.add(heartbeatCount);
        List<HttpResponse> responses = new ArrayList<>();
        for (int i = 0; i < heartbeatCount; i++) {
            responses.add(new HttpResponse(200, new byte[0], 0));
        }
        return CompletableFuture.completedFuture(
                new HttpResponse(200, HeartbeatBatchCodec.encodeResponses(responses), 0));
    }

    /** Relays 100 heartbeats, one every 15 ms, and returns how many were answered within 15 ms of their arrival. */
    private int countPromptResponses(int workerCount) {
        HeartbeatRelay heartbeatRelay = new HeartbeatRelay(
                time.new Process(), (address, request, timeout) -> respond(request), () -> workerCount);
        int promptCount = 0;
        for (int i = 0; i < 100; i++) {
            Heartbeat heartbeat = new Heartbeat(
                    "host-%06d".formatted(i), "", new MachineDescription("c4", "a", true), 1, i, 1, -1, List.of());
            CompletableFuture<HttpResponse> response = heartbeatRelay.relay(heartbeat, "leader:1");
            time.runFor(10_000);
            time.runFor(5_000);
            promptCount += response.isDone() ? 1 : 0;
        }
        time.runFor(200_000);
        return promptCount;
    }

    /**
     * Guards the leader against batches of one or two heartbeats: with hundreds of workers they were most of its load.
     */
    @Test
    void delaysBatchesLongerWithManyWorkers() {
        countPromptResponses(400);
        assertThat(batchSizes.stream().mapToInt(Integer::intValue).sum()).isEqualTo(100);
        assertThat(batchSizes.size()).isLessThan(16);
    }

    @Test
    void answersPromptlyWithFewWorkers() {
        assertThat(countPromptResponses(10)).isGreaterThan(90);
    }

    private static Heartbeat heartbeat(int machineNumber, List<TaskStatus> tasks) {
        return new Heartbeat(
                "host-%06d".formatted(machineNumber), "", new MachineDescription("c4", "a", true), 1, 1, 1, -1, tasks);
    }

    /**
     * Guards a follower with thousands of workers: two batches of 64 heartbeats per round trip of 100 ms limited it to
     * 1,300 heartbeats per second.
     */
    @Test
    void scalesBatchesWithWorkersUpToByteLimit() {
        HeartbeatRelay heartbeatRelay =
                new HeartbeatRelay(time.new Process(), (address, request, timeout) -> respond(request), () -> 4_000);
        for (int machineNumber = 0; machineNumber < 600; machineNumber++) {
            heartbeatRelay.relay(heartbeat(machineNumber, List.of()), "leader:1");
        }
        time.runFor(500_000);
        assertThat(batchSizes).containsExactly(250, 250, 100);
        batchSizes.clear();
        List<TaskStatus> manyTasks =
                Collections.nCopies(800, new TaskStatus("job-000001", 0, 1, TaskStage.RUNNING, ""));
        for (int machineNumber = 0; machineNumber < 200; machineNumber++) {
            heartbeatRelay.relay(heartbeat(machineNumber, manyTasks), "leader:1");
        }
        time.runFor(500_000);
        assertThat(batchSizes.stream().mapToInt(Integer::intValue).sum()).isEqualTo(200);
        assertThat(batchSizes).allMatch(size -> size < 30);
    }

    /** Guards an overloaded leader against heartbeats whose workers have already retried at another controller. */
    @Test
    void dropsHeartbeatsAfterResponseTimeout() {
        List<CompletableFuture<HttpResponse>> pendingResponses = new ArrayList<>();
        HeartbeatRelay heartbeatRelay = new HeartbeatRelay(
                time.new Process(),
                (address, request, timeout) -> {
                    batchSizes.add(
                            HeartbeatBatchCodec.decodeHeartbeats(request.body()).size());
                    pendingResponses.add(new CompletableFuture<>());
                    return pendingResponses.get(pendingResponses.size() - 1);
                },
                () -> 1);
        heartbeatRelay.relay(heartbeat(1, List.of()), "leader:1");
        time.runFor(100_000);
        heartbeatRelay.relay(heartbeat(2, List.of()), "leader:1");
        time.runFor(100_000);
        CompletableFuture<HttpResponse> expired = heartbeatRelay.relay(heartbeat(3, List.of()), "leader:1");
        time.runFor(5_000_000);
        heartbeatRelay.relay(heartbeat(4, List.of()), "leader:1");
        pendingResponses.forEach(pending -> pending.complete(HttpResponse.noResponse()));
        time.runFor(100_000);
        assertThat(expired.join().status()).isEqualTo(503);
        assertThat(batchSizes).containsExactly(1, 1, 1);
    }

    private HeartbeatRelay relayBatches(HttpResponse response, int batchCount) {
        HeartbeatRelay heartbeatRelay = new HeartbeatRelay(
                time.new Process(),
                (address, request, timeout) -> CompletableFuture.completedFuture(response),
                () -> 1);
        for (int i = 0; i < batchCount; i++) {
            heartbeatRelay.relay(
                    new Heartbeat("host-000001", "", new MachineDescription("c4", "a", true), 1, i, 1, -1, List.of()),
                    "leader:1");
            time.runFor(100_000);
        }
        return heartbeatRelay;
    }

    /** Guards a slow leader against redirected workers, whose heartbeats would cost it more than relayed batches. */
    @Test
    void toleratesOneLateBatchBeforeLeaderIsUnreachable() {
        assertThat(relayBatches(HttpResponse.noResponse(), 1).isReachable("leader:1"))
                .isTrue();
        assertThat(relayBatches(HttpResponse.noResponse(), 2).isReachable("leader:1"))
                .isFalse();
        assertThat(relayBatches(HttpResponse.notSent(), 1).isReachable("leader:1"))
                .isFalse();
    }

    /** Guards the workers of a follower: an error with two batches ended the relay of all later heartbeats. */
    @Test
    void relaysLaterHeartbeatsAfterErrorsWithTheResponsesToEarlierOnes() {
        SimTime.Process process = time.new Process();
        time.tolerateUnexpectedErrors();
        int[] requests = {0};
        HeartbeatRelay heartbeatRelay = new HeartbeatRelay(
                process,
                (address, request, timeout) -> ++requests[0] <= 4
                        ? CompletableFuture.failedFuture(new IllegalStateException("no response can be read"))
                        : respond(request),
                () -> 1);
        for (int i = 0; i < 4; i++) {
            CompletableFuture<HttpResponse> response = heartbeatRelay.relay(heartbeat(i, List.of()), "leader:1");
            time.runFor(1_000_000);
            assertThat(response).isCompletedWithValueMatching(each -> each.status() == 503);
        }
        CompletableFuture<HttpResponse> response = heartbeatRelay.relay(heartbeat(9, List.of()), "leader:1");
        time.runFor(1_000_000);
        assertThat(response).isCompletedWithValueMatching(HttpResponse::isOk);
    }

    /** Guards the other workers of a follower against one whose texts can't be encoded, such as half a character. */
    @Test
    void relaysTheOtherHeartbeatsOfABatchThatHoldsAnUnencodableOne() {
        SimTime.Process process = time.new Process();
        time.tolerateUnexpectedErrors();
        HeartbeatRelay heartbeatRelay =
                new HeartbeatRelay(process, (address, request, timeout) -> respond(request), () -> 1);
        TaskStatus unencodable = new TaskStatus("job-\ud800", 0, 1, TaskStage.RUNNING, "");
        for (int round = 0; round < 4; round++) {
            CompletableFuture<HttpResponse> faulty =
                    heartbeatRelay.relay(heartbeat(1, List.of(unencodable)), "leader:1");
            CompletableFuture<HttpResponse> other = heartbeatRelay.relay(heartbeat(2, List.of()), "leader:1");
            time.runFor(1_000_000);
            assertThat(faulty).isCompletedWithValueMatching(each -> each.status() == 503);
            assertThat(other).isCompletedWithValueMatching(HttpResponse::isOk);
        }
    }
}
