package io.sillreel.pipeline;

import io.sillreel.statestore.AbstractPendingWrite;
import io.sillreel.statestore.KeyChange;
import io.sillreel.statestore.PendingWrite;
import io.sillreel.statestore.WriteUrgency;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A completion bitmap that is too large for one value and is stored in chunks. Each generation of a chunk has its own
 * key, and the job's record refers to the current generation of each chunk. Chunks can therefore be written one after
 * the other, while readers see either all of the new bitmap or all of the old one. Unreferenced generations are
 * removed.
 */
final class CompletionBitmapChunks {
    private final String uid;
    private final int tasksPerChunk;
    /** Generations to which the stored record refers, by chunk index. */
    private final long[] referencedGenerations;

    private final Set<Integer> changedChunks = new HashSet<>();
    /** Chunks that are being written or are stored and to which the next record will refer, by chunk index. */
    private final Map<Integer, ChunkWrite> pending = new LinkedHashMap<>();
    /** Revisions of stored chunks by key; chunks that the next record does not refer to are removed after it. */
    private final Map<String, Long> storedRevisions = new HashMap<>();

    private final Runnable onAllStored;
    private long lastGeneration;

    /** @param onAllStored run when all chunks to which the next record will refer are stored */
    CompletionBitmapChunks(String uid, int tasks, int tasksPerChunk, Runnable onAllStored) {
        this.uid = uid;
        this.tasksPerChunk = tasksPerChunk;
        this.referencedGenerations = new long[(tasks + tasksPerChunk - 1) / tasksPerChunk];
        this.onAllStored = onAllStored;
    }

    /** Adopts the chunks to which the record refers if they have the same size; otherwise rewrites all chunks. */
    void inherit(BitmapReference reference, Map<String, Long> revisions, BitSet completed) {
        storedRevisions.putAll(revisions);
        for (String key : revisions.keySet()) {
            if (key.startsWith(ChunkKey.PREFIX)) {
                lastGeneration = Math.max(lastGeneration, ChunkKey.generation(key));
            }
        }
        long[] generations = reference.chunkGenerations();
        if (reference.tasksPerChunk() == tasksPerChunk && generations.length == referencedGenerations.length) {
            System.arraycopy(generations, 0, referencedGenerations, 0, generations.length);
        } else {
            markAllChanged(completed);
        }
    }

    private void markAllChanged(BitSet completed) {
        int task = completed.nextSetBit(0);
        while (task >= 0) {
            int index = task / tasksPerChunk;
            changedChunks.add(index);
            task = completed.nextSetBit((index + 1) * tasksPerChunk);
        }
    }

    int tasksPerChunk() {
        return tasksPerChunk;
    }

    void markChanged(int task) {
        changedChunks.add(task / tasksPerChunk);
    }

    /** Returns the chunks to write before the next record; empty once all that it will refer to are stored. */
    List<PendingWrite> pendingWrites(BitSet completed) {
        changedChunks.removeIf(index -> startWrite(index, completed));
        return pending.values().stream()
                .filter(chunk -> !chunk.isStored())
                .map(PendingWrite.class::cast)
                .toList();
    }

    /** Starts to write the next generation of a chunk; returns false while the previous one is being written. */
    private boolean startWrite(int index, BitSet completed) {
        ChunkWrite previous = pending.get(index);
        if (previous != null && !previous.isStored()) {
            return false;
        }
        if (previous != null) {
            storedRevisions.put(previous.key(), previous.revision());
        }
        BitSet tasks = completed.get(index * tasksPerChunk, (index + 1) * tasksPerChunk);
        pending.put(index, new ChunkWrite(index, ++lastGeneration, tasks));
        return true;
    }

    /** Returns the generations to which a record written now has to refer. */
    long[] generations() {
        long[] generations = referencedGenerations.clone();
        for (ChunkWrite chunk : pending.values()) {
            if (chunk.isStored()) {
                generations[chunk.index] = chunk.generation;
            }
        }
        return generations;
    }

    /** Adds the tasks of stored chunks to which the stored record does not refer yet. */
    void addStoredTasksTo(BitSet completed) {
        for (ChunkWrite chunk : pending.values()) {
            if (chunk.isStored()) {
                chunk.tasks.stream().forEach(bit -> completed.set(chunk.index * tasksPerChunk + bit));
            }
        }
    }

    /**
     * Marks the record that refers to the given generations as stored.
     *
     * @return removals of the generations to which the record does not refer
     */
    List<PendingWrite> recordStored(long[] generations) {
        System.arraycopy(generations, 0, referencedGenerations, 0, referencedGenerations.length);
        pending.values().removeIf(chunk -> {
            if (chunk.isStored() && referencedGenerations[chunk.index] == chunk.generation) {
                storedRevisions.put(chunk.key(), chunk.revision());
                return true;
            }
            return false;
        });
        Set<String> retainedKeys = new HashSet<>();
        for (int index = 0; index < referencedGenerations.length; index++) {
            retainedKeys.add(ChunkKey.of(uid, index, referencedGenerations[index]));
        }
        pending.values().forEach(chunk -> retainedKeys.add(chunk.key()));
        return removalsExcept(retainedKeys);
    }

    /** Returns the removals of all chunks of a job that has ended. */
    List<PendingWrite> removalsOfAll() {
        pending.values().forEach(chunk -> storedRevisions.put(chunk.key(), chunk.revision()));
        pending.clear();
        return removalsExcept(Set.of());
    }

    private List<PendingWrite> removalsExcept(Set<String> retainedKeys) {
        List<PendingWrite> removals = new ArrayList<>();
        storedRevisions.entrySet().removeIf(entry -> {
            if (retainedKeys.contains(entry.getKey())) {
                return false;
            }
            removals.add(new KeyRemoval(entry.getKey(), entry.getValue()));
            return true;
        });
        return removals;
    }

    private void chunkStored() {
        if (pending.values().stream().allMatch(ChunkWrite::isStored)) {
            onAllStored.run();
        }
    }

    /** The write of one generation of a chunk, with the tasks that were done when the write was created. */
    private final class ChunkWrite extends AbstractPendingWrite {
        final int index;
        final long generation;
        final BitSet tasks;
        private boolean isStored;

        ChunkWrite(int index, long generation, BitSet tasks) {
            super(ChunkKey.of(uid, index, generation), 0);
            this.index = index;
            this.generation = generation;
            this.tasks = tasks;
        }

        boolean isStored() {
            return isStored;
        }

        @Override
        public WriteUrgency urgency() {
            return WriteUrgency.PROGRESS;
        }

        @Override
        public KeyChange change() {
            return pending.get(index) != this
                    ? KeyChange.NONE
                    : KeyChange.put(CompletionBitmapCodec.encodeChunk(tasks));
        }

        @Override
        public void onStored(long newRevision) {
            super.onStored(newRevision);
            isStored = true;
            chunkStored();
        }
    }
}
