package io.sillreel.pipeline;

import io.sillreel.statestore.PendingWrite;
import io.sillreel.statestore.StoredEntry;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Map;

/**
 * The completion bitmap chunks of a job that are stored when a term begins. The first version stored them under
 * {@code run/UID/INDEX}, in the same transaction as the record and without generations; that format is still read.
 *
 * @param values the encoded bitmaps by key
 * @param revisions the revisions of the same keys
 * @param firstVersionTasksPerChunk the number of tasks per chunk in the format of the first version
 */
public record StoredChunks(Map<String, String> values, Map<String, Long> revisions, int firstVersionTasksPerChunk) {
    /** A job without stored chunks. */
    public static final StoredChunks NONE = new StoredChunks(Map.of(), Map.of(), 0);

    /** Adds a stored chunk. */
    public void add(StoredEntry entry) {
        values.put(entry.key(), CompletionBitmapCodec.chunkText(entry.value()));
        revisions.put(entry.key(), entry.revision());
    }

    /** Returns the tasks that are done according to a record and the chunks to which it refers. */
    BitSet completedTasks(String uid, BitmapReference reference) {
        BitSet completed = CompletionBitmapCodec.decode(reference.inline());
        if (reference.isChunked()) {
            for (int index = 0; index < reference.chunkGenerations().length; index++) {
                String key = ChunkKey.of(uid, index, reference.chunkGenerations()[index]);
                addTasks(completed, index * reference.tasksPerChunk(), values.get(key));
            }
        } else if (reference.inline() == null) {
            values.forEach((key, encoded) -> {
                if (key.startsWith(RunRecord.PREFIX)) {
                    int index = Integer.parseInt(key.substring(key.lastIndexOf('/') + 1));
                    addTasks(completed, index * firstVersionTasksPerChunk, encoded);
                }
            });
        }
        return completed;
    }

    private static void addTasks(BitSet completed, int firstTask, String encoded) {
        CompletionBitmapCodec.decode(encoded).stream().forEach(bit -> completed.set(firstTask + bit));
    }

    /** Returns the writes that remove all of these chunks. */
    public List<PendingWrite> removals() {
        List<PendingWrite> removals = new ArrayList<>();
        revisions.forEach((key, revision) -> removals.add(new KeyRemoval(key, revision)));
        return removals;
    }
}
