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
    private static final Heartbeat HEARTBEAT =
            new Heartbeat("host-000001", "", new MachineDescription("c4", "a", false), 1, 1, 1, -1, List.of());

    private final SimTime time = new SimTime();
    private final SimTime.Process process = time.new Process();

    private CompletableFuture<HttpResponse> start(int heartbeatCount, int responseBytes, List<Heartbeat> processed) {
        HeartbeatBatch batch =
                new HeartbeatBatch(process, Collections.nCopies(heartbeatCount, HEARTBEAT), heartbeat -> {
                    processed.add(heartbeat);
                    return new HttpResponse(200, new byte[responseBytes], 0);
                });
        return batch.start();
    }

    /** Guards the renewal of the leader lease, which a large batch would delay. */
    @Test
    void runsOtherEventsBetweenChunksOfBatch() {
        List<Heartbeat> processed = new ArrayList<>();
        CompletableFuture<HttpResponse> result = start(3 * HeartbeatBatch.MAX_HEARTBEATS_PER_CHUNK, 10, processed);
        assertThat(processed).hasSize(HeartbeatBatch.MAX_HEARTBEATS_PER_CHUNK);
        assertThat(result).isNotDone();
        time.runFor(1_000);
        assertThat(HeartbeatBatchCodec.decodeResponses(result.join().body()))
                .hasSize(3 * HeartbeatBatch.MAX_HEARTBEATS_PER_CHUNK)
                .allMatch(HttpResponse::isOk);
    }

    /**
     * Guards the memory limit: a heartbeat whose response would not fit is not processed, so that no launch is lost.
     */
    @Test
    void refusesHeartbeatsBeyondResponseLimitUnprocessed() {
        List<Heartbeat> processed = new ArrayList<>();
        CompletableFuture<HttpResponse> result = start(40, HeartbeatBatch.MAX_RESPONSE_BYTES / 10, processed);
        time.runFor(1_000);
        List<HttpResponse> responses =
                HeartbeatBatchCodec.decodeResponses(result.join().body());
        assertThat(responses).hasSize(40);
        assertThat(responses.stream().filter(HttpResponse::isOk))
                .hasSameSizeAs(processed)
                .hasSizeLessThan(13);
        assertThat(responses.get(39).status()).isEqualTo(503);
    }

    /** Guards the other workers of a batch: an error in one heartbeat left all of them without a response. */
    @Test
    void refusesOnlyTheHeartbeatThatCausesAnError() {
        time.tolerateUnexpectedErrors();
        int[] processed = {0};
        int faulty = HeartbeatBatch.MAX_HEARTBEATS_PER_CHUNK + 1;
        HeartbeatBatch batch = new HeartbeatBatch(process, Collections.nCopies(20, HEARTBEAT), heartbeat -> {
            if (processed[0]++ == faulty) {
                throw new IndexOutOfBoundsException("task -5");
            }
            return new HttpResponse(200, new byte[0], 0);
        });
        CompletableFuture<HttpResponse> result = batch.start();
        time.runFor(1_000);
        assertThat(result).isDone();
        List<HttpResponse> responses =
                HeartbeatBatchCodec.decodeResponses(result.join().body());
        assertThat(responses).hasSize(20);
        assertThat(responses.get(faulty).status()).isEqualTo(503);
        assertThat(responses).filteredOn(HttpResponse::isOk).hasSize(19);
    }
}
