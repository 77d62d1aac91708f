package io.sillreel.pipeline;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sillreel.http.Json;
import io.sillreel.statestore.PendingWrite;
import io.sillreel.statestore.StoredEntry;
import java.util.ArrayList;
import java.util.Base64;
import java.util.BitSet;
import java.util.List;
import java.util.Map;

/**
 * The stored form of a pipeline: {@code run/UID} is its head; done sets too large for one value lie in parts that the
 * head names ({@link CompletionBitmapChunks}). The first version cut them into {@code run/UID/N}, written together with
 * the head, by the largest value that it knew of; what it stored is still read.
 */
public final class RunRecord {
    public static final String PREFIX = "run/";
    public static final String DONE = "done";

    static final long[] NO_CHUNKS = {};

    private RunRecord() {}

    /**
     * What is stored of a job beside its head.
     *
     * @param values what the keys hold, by key; {@code stamps} are theirs
     * @param firstVersionPer how many tasks the first version put into one value
     */
    public record StoredChunks(Map<String, String> values, Map<String, Long> revisions, int firstVersionTasksPerChunk) {
        public static final StoredChunks NONE = new StoredChunks(Map.of(), Map.of(), 0);

        /** The done set of the head and of the parts that it names. */
        BitSet read(String uid, Head head) {
            BitSet done = decodeBitmap(head.bitmap());
            if (head.tasksPerChunk() > 0) {
                for (int index = 0; index < head.chunkGenerations().length; index++) {
                    int from = index * head.tasksPerChunk();
                    decodeBitmap(values.get(CompletionBitmapChunks.key(uid, index, head.chunkGenerations()[index])))
                            .stream()
                            .forEach(bit -> done.set(from + bit));
                }
                return done;
            }
            if (head.bitmap() == null) {
                values.forEach((key, bits) -> {
                    if (key.startsWith(PREFIX)) {
                        int from =
                                firstVersionTasksPerChunk * Integer.parseInt(key.substring(key.lastIndexOf('/') + 1));
                        decodeBitmap(bits).stream().forEach(bit -> done.set(from + bit));
                    }
                });
            }
            return done;
        }

        /** Adds a stored entry. */
        public void add(StoredEntry entry) {
            values.put(entry.key(), entry.value().path("bits").asText());
            revisions.put(entry.key(), entry.revision());
        }

        /** What takes all of them away. */
        public List<PendingWrite> removeAll() {
            List<PendingWrite> removals = new ArrayList<>();
            revisions.forEach((key, stamp) -> removals.add(new CompletionBitmapChunks.Removal(key, stamp)));
            return removals;
        }
    }

    /** How many tasks' done bits fit into one value, leaving half of it for everything else. */
    public static int tasksPerChunk(int valueBytes) {
        return Math.max(8, valueBytes / 2 / 4 * 3 * 8);
    }

    /** True if the stored head says that the job is done; cheaper than to read all of it. */
    public static boolean isDone(JsonNode head) {
        return head.path("stage").asText().equals(DONE);
    }

    public static String key(String uid) {
        return PREFIX + uid;
    }

    /** The prefix of the parts that heads name. */
    public static String chunksPrefix() {
        return CompletionBitmapChunks.PREFIX;
    }

    /** The job that a part belongs to. */
    public static String uidOfChunk(String key) {
        return CompletionBitmapChunks.uidOf(key);
    }

    /**
     * What the head says; {@code readyMicros} is 0 for a job that awaited no other, {@code per} is 0 if no parts are
     * named.
     */
    public record Head(
            int tasks,
            int doneTasks,
            int runningTasks,
            int failedAttempts,
            long nextAttemptWallMicros,
            String stage,
            String reason,
            String bitmap,
            long readyWallMicros,
            int tasksPerChunk,
            long[] chunkGenerations) {

        public boolean isDone() {
            return DONE.equals(stage);
        }

        /** Returns the form that is stored; fields without meaning for this job are left out. */
        public ObjectNode toJson() {
            ObjectNode node = Json.object()
                    .put("pieces", tasks)
                    .put("done", doneTasks)
                    .put("running", runningTasks)
                    .put("stage", stage);
            if (failedAttempts > 0) {
                node.put("attempts", failedAttempts).put("next_us", nextAttemptWallMicros);
            }
            if (reason != null) {
                node.put("reason", reason);
            }
            if (bitmap != null) {
                node.put("bits", bitmap);
            }
            if (readyWallMicros > 0) {
                node.put("ready_us", readyWallMicros);
            }
            if (tasksPerChunk > 0) {
                ArrayNode named = node.put("per", tasksPerChunk).putArray("gens");
                for (long generation : chunkGenerations) {
                    named.add(generation);
                }
            }
            return node;
        }

        /** Reads a stored head; absent fields have the meaning that they had before the field was introduced. */
        public static Head fromJson(JsonNode node) {
            return new Head(
                    node.path("pieces").asInt(),
                    node.path("done").asInt(),
                    node.path("running").asInt(),
                    node.path("attempts").asInt(),
                    node.path("next_us").asLong(),
                    node.path("stage").asText(),
                    node.hasNonNull("reason") ? node.path("reason").asText() : null,
                    node.hasNonNull("bits") ? node.path("bits").asText() : null,
                    node.path("ready_us").asLong(),
                    node.path("per").asInt(),
                    chunkGenerations(node.path("gens")));
        }

        private static long[] chunkGenerations(JsonNode named) {
            long[] generations = named.isEmpty() ? NO_CHUNKS : new long[named.size()];
            for (int index = 0; index < generations.length; index++) {
                generations[index] = named.path(index).asLong();
            }
            return generations;
        }
    }

    public static String encodeBitmap(BitSet set) {
        return Base64.getEncoder().encodeToString(set.toByteArray());
    }

    public static BitSet decodeBitmap(String bits) {
        return bits == null ? new BitSet() : BitSet.valueOf(Base64.getDecoder().decode(bits));
    }
}
