package io.sillreel.agent;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import io.sillreel.agent.Heartbeat.MachineDescription;
import io.sillreel.agent.Heartbeat.TaskStage;
import io.sillreel.agent.Heartbeat.TaskStatus;
import io.sillreel.http.HttpResponse;
import io.sillreel.http.Json;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Decodes the heartbeats of worker agents from JSON, and encodes the responses that carry no commands. Uses a streaming
 * parser instead of a tree, since heartbeats are most of the requests that a controller receives.
 */
public final class HeartbeatCodec {
    private static final long MICROS_PER_SECOND = 1_000_000;

    private HeartbeatCodec() {}

    /** Decodes a heartbeat; empty if the body is not a JSON object, has a malformed value or lacks the machine name. */
    public static Optional<Heartbeat> decode(byte[] body) {
        try (JsonParser in = Json.createParser(body)) {
            return in.nextToken() == JsonToken.START_OBJECT ? readHeartbeat(in) : Optional.empty();
        } catch (IOException | NumberFormatException e) {
            return Optional.empty();
        }
    }

    private static Optional<Heartbeat> readHeartbeat(JsonParser in) throws IOException {
        String machine = "";
        String address = "";
        String machineType = "";
        String zone = "";
        boolean isSpot = false;
        long epoch = 0;
        long sequence = 0;
        long fencingToken = 0;
        long interruptionMicros = -1;
        List<TaskStatus> tasks = List.of();
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String field = in.currentName();
            in.nextToken();
            switch (field) {
                case "hopper" -> machine = in.getValueAsString("");
                case "addr" -> address = in.getValueAsString("");
                case "build" -> machineType = in.getValueAsString("");
                case "yard" -> zone = in.getValueAsString("");
                case "loaners" -> isSpot = in.getValueAsBoolean();
                case "shift" -> epoch = in.getValueAsLong();
                case "tally" -> sequence = in.getValueAsLong();
                case "baton" -> fencingToken = in.getValueAsLong();
                case "recall_s" -> interruptionMicros = readMicros(in);
                case "pieces" -> tasks = in.currentToken() == JsonToken.START_ARRAY ? readTasks(in) : tasks;
                default -> in.skipChildren();
            }
        }
        if (machine.isEmpty()) {
            return Optional.empty();
        }
        MachineDescription description = new MachineDescription(machineType, zone, isSpot);
        return Optional.of(
                new Heartbeat(machine, address, description, epoch, sequence, fencingToken, interruptionMicros, tasks));
    }

    /** Reads a number of seconds as microseconds; -1 if the value is not a number. */
    private static long readMicros(JsonParser in) throws IOException {
        return in.currentToken().isNumeric() ? Math.round(in.getDoubleValue() * MICROS_PER_SECOND) : -1;
    }

    /** Returns the response to a body that {@link #decode} rejected. */
    public static HttpResponse malformedResponse() {
        return HttpResponse.error(400, "hopper: is missing");
    }

    /** Returns the response that redirects the agent to the controller with the given node name. */
    public static HttpResponse redirectResponse(String nodeName) {
        return HttpResponse.of(421, Json.object().put("foreman", nodeName));
    }

    private static List<TaskStatus> readTasks(JsonParser in) throws IOException {
        List<TaskStatus> tasks = new ArrayList<>();
        while (in.nextToken() == JsonToken.START_OBJECT) {
            readTask(in, tasks);
        }
        return tasks;
    }

    /** Reads one task; a task whose name lacks a slash, which precedes the index, is skipped. */
    private static void readTask(JsonParser in, List<TaskStatus> tasks) throws IOException {
        String task = "";
        long attempt = 0;
        String stage = "";
        String cause = "";
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String field = in.currentName();
            in.nextToken();
            switch (field) {
                case "piece" -> task = in.getValueAsString("");
                case "try" -> attempt = in.getValueAsLong();
                case "stage" -> stage = in.getValueAsString("");
                case "cause" -> cause = in.getValueAsString("");
                default -> in.skipChildren();
            }
        }
        int slash = task.lastIndexOf('/');
        if (slash >= 0) {
            int index = Integer.parseInt(task.substring(slash + 1));
            tasks.add(new TaskStatus(task.substring(0, slash), index, attempt, stageOf(stage), cause));
        }
    }

    private static TaskStage stageOf(String stage) {
        return switch (stage) {
            case "pulling" -> TaskStage.PULLING;
            case "flushing" -> TaskStage.CHECKPOINTING;
            case "ended" -> TaskStage.ENDED;
            default -> TaskStage.RUNNING;
        };
    }
}
