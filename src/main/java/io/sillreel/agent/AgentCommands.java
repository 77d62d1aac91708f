package io.sillreel.agent;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sillreel.http.HttpResponse;
import io.sillreel.http.Json;

/** Commands to one worker, in the order in which it is to carry them out. */
public final class AgentCommands {
    /** Keeps a response far below the longest line that a worker reads. */
    static final int MAX_COMMANDS = 400;

    private final ArrayNode commands = Json.array();

    public void launch(String uid, int index, long attempt) {
        add("launch", uid, index, attempt);
    }

    public void stop(String uid, int index, long attempt, long windDownMicros) {
        add("halt", uid, index, attempt).put("wind_down_s", windDownMicros / 1_000_000.0);
    }

    public void acknowledge(String uid, int index, long attempt) {
        add("reap", uid, index, attempt);
    }

    public boolean isFull() {
        return commands.size() >= MAX_COMMANDS;
    }

    public boolean isEmpty() {
        return commands.isEmpty();
    }

    /** Returns the commands under that token, as the body of a response or of a direct command. */
    public ObjectNode toJson(long token) {
        ObjectNode body = Json.object().put("baton", token);
        body.set("orders", commands);
        return body;
    }

    public HttpResponse toResponse(long token) {
        return HttpResponse.of(200, toJson(token));
    }

    private ObjectNode add(String verb, String uid, int index, long attempt) {
        return commands.addObject()
                .put("verb", verb)
                .put("piece", uid + "/" + index)
                .put("try", attempt);
    }
}
