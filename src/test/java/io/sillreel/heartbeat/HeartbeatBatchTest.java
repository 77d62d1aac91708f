package io.sillreel.heartbeat;

import static org.assertj.core.api.Assertions.assertThat;

import io.sillreel.agent.Heartbeat;
import io.sillreel.agent.Heartbeat.MachineDescription;
import io.sillreel.http.HttpResponse;
import io.sillreel.peer.HeartbeatBatchCodec;
import io.sillreel.sim.SimTime;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class HeartbeatBatchTest {
    private static final Heartbeat REPORT =
            new Heartbeat("host-000001", "", new MachineDescription("c4", "a", false), 1, 1, 1, -1, List.of());

    private final SimTime time = new SimTime();
    private final SimTime.Process process = time.new Process();

    private CompletableFuture<HttpResponse> start(int reports, int answerBytes, List<Heartbeat> decided) {
        HeartbeatBatch batch = new HeartbeatBatch(process, Collections.nCopies(reports, REPORT), heartbeat -> {
            decided.add(heartbeat);
            return new HttpResponse(200, new byte[answerBytes], 0);
        });
        return batch.start();
    }

    /** Guards the renewal of the lease, which a large batch would hold up. */
    @Test
    void otherWorkGoesOnBetweenTheReportsOfABatch() {
        List<Heartbeat> decided = new ArrayList<>();
        CompletableFuture<HttpResponse> answer = start(3 * HeartbeatBatch.MAX_HEARTBEATS_PER_CHUNK, 10, decided);
        assertThat(decided).hasSize(HeartbeatBatch.MAX_HEARTBEATS_PER_CHUNK);
        assertThat(answer).isNotDone();
        time.runFor(1_000);
        assertThat(HeartbeatBatchCodec.decodeResponses(answer.join().body()))
                .hasSize(3 * HeartbeatBatch.MAX_HEARTBEATS_PER_CHUNK)
                .allMatch(HttpResponse::isOk);
    }

    /** Guards memory: what finds no room in the answer is not decided, so that no launch is lost with it. */
    @Test
    void reportsWhoseAnswersFindNoRoomAreRefusedUndecided() {
        List<Heartbeat> decided = new ArrayList<>();
        CompletableFuture<HttpResponse> answer = start(40, HeartbeatBatch.MAX_RESPONSE_BYTES / 10, decided);
        time.runFor(1_000);
        List<HttpResponse> replies =
                HeartbeatBatchCodec.decodeResponses(answer.join().body());
        assertThat(replies).hasSize(40);
        assertThat(replies.stream().filter(HttpResponse::isOk))
                .hasSameSizeAs(decided)
                .hasSizeLessThan(13);
        assertThat(replies.get(39).status()).isEqualTo(503);
    }
}
