package io.sillreel.agent;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sillreel.cluster.Machine;
import io.sillreel.http.Json;
import io.sillreel.http.NettyHttpServer;
import org.junit.jupiter.api.Test;

/** Checks that the largest heartbeats and command messages stay below the protocol limit of 64 KiB. */
class MessageSizeTest {
    private static final String LONGEST_UID = "job-" + "9".repeat(18);
    private static final int LAST_TASK = 99_999;

    @Test
    void largestCommandMessageFitsSizeLimit() {
        AgentCommands commands = new AgentCommands();
        while (!commands.isFull()) {
            commands.stop(LONGEST_UID, LAST_TASK, Long.MAX_VALUE, 3_600_500_000L);
        }
        assertThat(Json.bytes(commands.toJson(Long.MAX_VALUE)).length).isLessThan(NettyHttpServer.MAX_BODY_BYTES);
    }

    /** Guards a machine with hundreds of tasks: its lease expires if its heartbeats are rejected for their size. */
    @Test
    void heartbeatOfFullMachineFitsSizeLimit() {
        ObjectNode heartbeat = Json.object()
                .put("hopper", "host-" + "9".repeat(18))
                .put("addr", "255.255.255.255:65535")
                .put("build", "t".repeat(200))
                .put("yard", "z".repeat(200))
                .put("loaners", false)
                .put("shift", Long.MAX_VALUE)
                .put("tally", Long.MAX_VALUE)
                .put("baton", Long.MAX_VALUE)
                .put("recall_s", 12345.678901);
        ArrayNode tasks = heartbeat.putArray("pieces");
        for (int task = 0; task < Machine.MAX_TASKS; task++) {
            tasks.addObject()
                    .put("piece", "job-" + "9".repeat(9) + "/" + LAST_TASK)
                    .put("try", Long.MAX_VALUE)
                    .put("stage", "ended")
                    .put("cause", "stopped")
                    .put("kept", true);
        }
        assertThat(Json.bytes(heartbeat).length).isLessThan(NettyHttpServer.MAX_BODY_BYTES);
    }
}
