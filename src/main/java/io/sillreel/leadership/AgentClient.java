package io.sillreel.leadership;

import io.sillreel.agent.AgentCommands;
import io.sillreel.agent.AgentRoutes;
import io.sillreel.agent.HeartbeatCodec;
import io.sillreel.cluster.Machine;
import io.sillreel.heartbeat.HeartbeatProcessor;
import io.sillreel.http.HttpClient;
import io.sillreel.http.HttpRequest;
import io.sillreel.http.HttpResponse;
import io.sillreel.http.UnexpectedErrors;

/**
 * Sends requests to the agents of machines without waiting for their next heartbeats. A lost request is not retried:
 * the response to the next heartbeat repeats its commands. Runs on the event loop.
 */
final class AgentClient {
    private static final long COMMAND_TIMEOUT_MICROS = 3_000_000;
    private static final long STATUS_TIMEOUT_MICROS = 3_000_000;

    private final UnexpectedErrors errors;
    private final HttpClient httpClient;
    private final long term;
    private boolean closed;

    AgentClient(UnexpectedErrors errors, HttpClient httpClient, long term) {
        this.errors = errors;
        this.httpClient = httpClient;
        this.term = term;
    }

    /** Ignores all responses from now on. */
    void close() {
        closed = true;
    }

    /** Sends a reconciled machine its pending commands, if any, and processes the heartbeat in the response. */
    void sendCommands(Machine machine, HeartbeatProcessor processor) {
        if (machine.address() == null || !machine.isReconciled()) {
            return;
        }
        AgentCommands commands = new AgentCommands();
        processor.addCommands(machine, commands);
        if (commands.isEmpty()) {
            return;
        }
        HttpRequest request = commands.toRequest(term, machine.heartbeatOrder().epoch());
        errors.whenDone(httpClient.send(machine.address(), request, COMMAND_TIMEOUT_MICROS), "a command", response -> {
            // 409: the fencing token or epoch was stale and no command was executed, but the heartbeat is valid.
            if (!closed && (response.status() == 200 || response.status() == 409)) {
                processCommandResponse(response, processor);
            }
        });
    }

    private static void processCommandResponse(HttpResponse response, HeartbeatProcessor processor) {
        HeartbeatCodec.decode(response.body()).ifPresent(processor::processCommandResponse);
    }

    /** Queries the heartbeat sequence of the machine, which shows whether its agent has restarted. */
    void queryStatus(Machine machine, HeartbeatProcessor processor) {
        if (machine.address() == null) {
            return;
        }
        long epoch = machine.heartbeatOrder().epoch();
        long sequence = machine.heartbeatOrder().sequence();
        errors.whenDone(
                httpClient.send(machine.address(), HttpRequest.get(AgentRoutes.STATUS), STATUS_TIMEOUT_MICROS),
                "a status query",
                response -> {
                    if (!closed && response.isOk()) {
                        HeartbeatCodec.decode(response.body())
                                .filter(heartbeat -> heartbeat.machine().equals(machine.name()))
                                .ifPresent(heartbeat -> processor.processStatusResponse(heartbeat, epoch, sequence));
                    }
                });
    }
}
