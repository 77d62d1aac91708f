package io.sillreel.agent;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import io.sillreel.http.Json;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** A worker's report. {@code recallMicros} is negative without a spot notice. */
public record Heartbeat(
        String machine,
        String address,
        String machineType,
        String zone,
        boolean spot,
        long epoch,
        long sequence,
        long fencingToken,
        long interruptionMicros,
        List<TaskStatus> tasks) {

    /** A worker waits so long for the answer to a report. */
    public static final long RESPONSE_TIMEOUT_MICROS = 4_000_000;

    /** The state of a task on its machine; the order is part of the message format between controllers. */
    public enum TaskStage {
        PULLING,
        RUNNING,
        CHECKPOINTING,
        ENDED
    }

    /** One task on the machine; the cause is empty unless it has ended. */
    public record TaskStatus(String uid, int index, long attempt, TaskStage stage, String cause) {}

    /**
     * Reads a report, or returns null if it is none. Read as a stream: reports are most of what a controller is sent.
     */
    public static Heartbeat read(byte[] body) {
        try (JsonParser in = Json.createParser(body)) {
            return in.nextToken() == JsonToken.START_OBJECT ? read(in) : null;
        } catch (IOException | NumberFormatException e) {
            return null;
        }
    }

    private static Heartbeat read(JsonParser in) throws IOException {
        String machine = "";
        String address = "";
        String machineType = "";
        String zone = "";
        boolean spot = false;
        long epoch = 0;
        long sequence = 0;
        long token = 0;
        long recallMicros = -1;
        List<TaskStatus> tasks = List.of();
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String field = in.currentName();
            JsonToken value = in.nextToken();
            switch (field) {
                case "hopper" -> machine = in.getValueAsString("");
                case "addr" -> address = in.getValueAsString("");
                case "build" -> machineType = in.getValueAsString("");
                case "yard" -> zone = in.getValueAsString("");
                case "loaners" -> spot = in.getValueAsBoolean();
                case "shift" -> epoch = in.getValueAsLong();
                case "tally" -> sequence = in.getValueAsLong();
                case "baton" -> token = in.getValueAsLong();
                case "recall_s" -> recallMicros = value.isNumeric() ? Math.round(in.getDoubleValue() * 1_000_000) : -1;
                case "pieces" -> {
                    if (value == JsonToken.START_ARRAY) {
                        tasks = tasks(in);
                    }
                }
                default -> in.skipChildren();
            }
        }
        return machine.isEmpty()
                ? null
                : new Heartbeat(machine, address, machineType, zone, spot, epoch, sequence, token, recallMicros, tasks);
    }

    private static List<TaskStatus> tasks(JsonParser in) throws IOException {
        List<TaskStatus> tasks = new ArrayList<>();
        while (in.nextToken() == JsonToken.START_OBJECT) {
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
                TaskStage known = switch (stage) {
                    case "pulling" -> TaskStage.PULLING;
                    case "flushing" -> TaskStage.CHECKPOINTING;
                    case "ended" -> TaskStage.ENDED;
                    default -> TaskStage.RUNNING;
                };
                tasks.add(new TaskStatus(
                        task.substring(0, slash), Integer.parseInt(task.substring(slash + 1)), attempt, known, cause));
            }
        }
        return tasks;
    }

    /** True if this message was made after one with the given numbers. */
    public boolean isNewerThan(long otherSession, long otherSequence) {
        return epoch > otherSession || epoch == otherSession && sequence > otherSequence;
    }
}
