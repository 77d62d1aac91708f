package io.sillreel.agent;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sillreel.http.HttpRequest;
import io.sillreel.http.HttpResponse;
import io.sillreel.http.Json;

/**
 * Encodes the commands to one worker agent, in the order in which the agent executes them. They are written directly
 * into the message, since most responses carry commands. Not thread-safe.
 */
public final class AgentCommands {
    /** Keeps a message below the 64 KiB that an agent accepts. */
    static final int MAX_COMMANDS = 400;

    private static final double MICROS_PER_SECOND = 1_000_000.0;

    private final ArrayNode commands = Json.array();

    /** Starts a task. */
    public void launch(String uid, int index, long attempt) {
        add("launch", uid, index, attempt);
    }

    /** Stops a task, which may save a checkpoint within the grace period; 0 stops it at once. */
    public void stop(String uid, int index, long attempt, long gracePeriodMicros) {
        add("halt", uid, index, attempt).put("wind_down_s", gracePeriodMicros / MICROS_PER_SECOND);
    }

    /** Acknowledges the end of a task, so that the agent omits the task from its heartbeats. */
    public void acknowledge(String uid, int index, long attempt) {
        add("reap", uid, index, attempt);
    }

    /** True if no further command may be added. */
    public boolean isFull() {
        return commands.size() >= MAX_COMMANDS;
    }

    public boolean isEmpty() {
        return commands.isEmpty();
    }

    /** Returns the response to a heartbeat. */
    public HttpResponse toResponse(long fencingToken) {
        return HttpResponse.of(200, toJson(fencingToken));
    }

    /** Returns a direct command, which the agent executes only if it is still in the given agent epoch. */
    public HttpRequest toRequest(long fencingToken, long agentEpoch) {
        return HttpRequest.post(AgentRoutes.COMMANDS, toJson(fencingToken).put("shift", agentEpoch));
    }

    ObjectNode toJson(long fencingToken) {
        ObjectNode body = Json.object().put("baton", fencingToken);
        body.set("orders", commands);
        return body;
    }

    private ObjectNode add(String verb, String uid, int index, long attempt) {
        return commands.addObject()
                .put("verb", verb)
                .put("piece", uid + "/" + index)
                .put("try", attempt);
    }
}
