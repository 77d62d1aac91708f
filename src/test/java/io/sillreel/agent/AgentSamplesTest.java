package io.sillreel.agent;

import static io.sillreel.golden.GoldenSamples.text;
import static io.sillreel.golden.GoldenSamples.values;

import io.sillreel.golden.GoldenSamples;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Compares the wire format of heartbeats and agent commands with golden samples. */
class AgentSamplesTest {
    @Test
    void readsHeartbeats() throws Exception {
        GoldenSamples.assertConverts(
                "heartbeats.txt",
                input -> HeartbeatCodec.decode(input.getBytes(StandardCharsets.UTF_8))
                        .map(heartbeat -> values(GoldenSamples.fields(heartbeat)))
                        .orElse("null"));
    }

    @Test
    void writesCommandsInResponsesAndInDirectRequests() {
        AgentCommands commands = new AgentCommands();
        String none = text(commands.toResponse(0));
        commands.launch("job-1", 0, 1);
        commands.launch("job-\"2\"", 99_999, Long.MAX_VALUE);
        commands.stop("job-3", 7, 4_294_967_296L, 2_500_000);
        commands.stop("job-4", 8, 5, 0);
        commands.acknowledge("job-5", 9, 6);
        String response = text(commands.toResponse(4_294_967_297L));
        String request = text(commands.toRequest(3, 9));
        GoldenSamples.assertMatches("agent-commands.txt", String.join("\n", none, response, request) + "\n");
    }
}
