package io.sillreel.pipeline;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sillreel.http.Json;

/** The stored form of a {@link RunRecord}. */
public final class RunRecordCodec {
    private static final String TASKS = "pieces";
    private static final String DONE_TASKS = "done";
    private static final String RUNNING_TASKS = "running";
    private static final String STAGE = "stage";
    private static final String FAILED_ATTEMPTS = "attempts";
    private static final String NEXT_ATTEMPT_MICROS = "next_us";
    private static final String REASON = "reason";
    private static final String BITMAP = "bits";
    private static final String READY_MICROS = "ready_us";
    private static final String TASKS_PER_CHUNK = "per";
    private static final String CHUNK_GENERATIONS = "gens";

    private RunRecordCodec() {}

    /** Returns the stored form; fields that do not apply to the job are omitted. */
    public static ObjectNode encode(RunRecord record) {
        ObjectNode node = Json.object()
                .put(TASKS, record.tasks())
                .put(DONE_TASKS, record.doneTasks())
                .put(RUNNING_TASKS, record.runningTasks())
                .put(STAGE, record.stage());
        RetryState retry = record.retry();
        if (retry.failedAttempts() > 0) {
            node.put(FAILED_ATTEMPTS, retry.failedAttempts()).put(NEXT_ATTEMPT_MICROS, retry.nextAttemptWallMicros());
        }
        if (retry.reason() != null) {
            node.put(REASON, retry.reason());
        }
        BitmapReference bitmap = record.bitmap();
        if (bitmap.inline() != null) {
            node.put(BITMAP, bitmap.inline());
        }
        if (record.readyWallMicros() > 0) {
            node.put(READY_MICROS, record.readyWallMicros());
        }
        if (bitmap.isChunked()) {
            ArrayNode generations =
                    node.put(TASKS_PER_CHUNK, bitmap.tasksPerChunk()).putArray(CHUNK_GENERATIONS);
            for (long generation : bitmap.chunkGenerations()) {
                generations.add(generation);
            }
        }
        return node;
    }

    /** Decodes a stored record; an absent field is read as records written before its introduction require. */
    public static RunRecord decode(JsonNode node) {
        RetryState retry = new RetryState(
                node.path(FAILED_ATTEMPTS).asInt(),
                node.path(NEXT_ATTEMPT_MICROS).asLong(),
                textOrNull(node, REASON));
        return new RunRecord(
                node.path(TASKS).asInt(),
                node.path(DONE_TASKS).asInt(),
                node.path(RUNNING_TASKS).asInt(),
                node.path(STAGE).asText(),
                retry,
                decodeBitmap(node),
                node.path(READY_MICROS).asLong());
    }

    private static BitmapReference decodeBitmap(JsonNode node) {
        JsonNode stored = node.path(CHUNK_GENERATIONS);
        long[] generations = new long[stored.size()];
        for (int index = 0; index < generations.length; index++) {
            generations[index] = stored.path(index).asLong();
        }
        return new BitmapReference(
                textOrNull(node, BITMAP), node.path(TASKS_PER_CHUNK).asInt(), generations);
    }

    private static String textOrNull(JsonNode node, String field) {
        return node.hasNonNull(field) ? node.path(field).asText() : null;
    }

    /** True if a stored record marks the job as done; does not decode the rest of the record. */
    public static boolean isDone(JsonNode node) {
        return node.path(STAGE).asText().equals(RunRecord.DONE);
    }
}
