package io.sillreel.peer;

import static io.sillreel.golden.GoldenSamples.bytes;
import static io.sillreel.golden.GoldenSamples.hex;
import static io.sillreel.golden.GoldenSamples.values;

import io.sillreel.agent.Heartbeat;
import io.sillreel.golden.GoldenSamples;
import io.sillreel.http.HttpRequest;
import io.sillreel.http.HttpResponse;
import java.io.UncheckedIOException;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Compares the wire format and the routes of the messages between controllers with golden samples. */
class PeerSamplesTest {
    @Test
    void readsAndWritesHellos() throws Exception {
        GoldenSamples.assertConverts("peer-hellos.txt", input -> {
            try {
                Hello hello = HelloCodec.decode(bytes(input));
                return values(hello) + "\n" + hex(HelloCodec.encode(hello));
            } catch (UncheckedIOException e) {
                return "unreadable";
            }
        });
    }

    @Test
    void readsAndWritesCancellations() throws Exception {
        GoldenSamples.assertConverts("peer-cancellations.txt", input -> {
            List<String> uids = CancellationCodec.decode(bytes(input));
            StringBuilder lines = new StringBuilder(values(uids));
            for (String uid : uids) {
                lines.append('\n').append(line(CancellationCodec.toRequest(uid)));
            }
            return lines.toString();
        });
    }

    @Test
    void readsAndWritesRelayedHeartbeats() throws Exception {
        GoldenSamples.assertConverts("peer-heartbeats.txt", input -> {
            List<Heartbeat> heartbeats = HeartbeatBatchCodec.decodeHeartbeats(bytes(input));
            List<List<Object>> fields =
                    heartbeats.stream().map(GoldenSamples::fields).toList();
            return values(fields) + "\n" + line(HeartbeatBatchCodec.toRequest(heartbeats));
        });
    }

    @Test
    void readsAndWritesResponsesToRelayedHeartbeats() throws Exception {
        GoldenSamples.assertConverts("peer-responses.txt", input -> {
            List<HttpResponse> responses = HeartbeatBatchCodec.decodeResponses(bytes(input));
            return values(responses) + "\n" + hex(HeartbeatBatchCodec.encodeResponses(responses));
        });
    }

    @Test
    void matchesRouteNames() {
        GoldenSamples.assertMatches(
                "peer-routes.txt",
                String.join("\n", PeerRoutes.HEARTBEATS, PeerRoutes.HELLO, PeerRoutes.CANCELLED) + "\n");
    }

    private static String line(HttpRequest request) {
        return request.method() + " " + request.path() + " " + hex(request.body());
    }
}
