package io.sillreel.pipeline;

import io.sillreel.settings.ValueLimits;
import io.sillreel.statestore.PendingWrite;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/**
 * Tracks which tasks of a job are done and for which of them the completion is stored. A small bitmap is stored in the
 * job's record; a larger one is stored in chunks ({@link CompletionBitmapChunks}) to which the record refers.
 */
final class StoredCompletionBitmap {
    private final String uid;
    private final int tasks;
    /** Null if the bitmap fits into the record under all limits. */
    private final CompletionBitmapChunks chunks;
    /**
     * False while the bitmap is written into the record although it will not fit under the announced limits. The
     * previous version does not read chunks and would run completed tasks again. The announced limits come into force
     * only after the upgrade, which shows in the state service rejecting the record for its size.
     */
    private boolean usesChunks;

    private final BitSet done = new BitSet();
    private final BitSet stored = new BitSet();
    private final BitSet sent = new BitSet();
    private int count;
    private long[] sentGenerations = {};
    /** Removals of chunks written by another version; sent once a record of this version is stored. */
    private final List<PendingWrite> obsoleteChunks = new ArrayList<>();

    /** @param onChunksStored run when all chunks to which the next record will refer are stored */
    StoredCompletionBitmap(String uid, int tasks, ValueLimits limits, Runnable onChunksStored) {
        this.uid = uid;
        this.tasks = tasks;
        int tasksPerChunk = CompletionBitmapCodec.tasksPerChunk(limits.announcedBytes());
        this.chunks =
                tasks <= tasksPerChunk ? null : new CompletionBitmapChunks(uid, tasks, tasksPerChunk, onChunksStored);
        this.usesChunks = tasks > CompletionBitmapCodec.tasksPerChunk(limits.currentBytes());
    }

    /** Restores the stored bitmap. */
    void inherit(BitmapReference reference, StoredChunks storedChunks) {
        done.or(storedChunks.completedTasks(uid, reference));
        stored.or(done);
        count = done.cardinality();
        usesChunks |= reference.isChunked();
        if (chunks != null) {
            chunks.inherit(reference, storedChunks.revisions(), done);
        } else if (!storedChunks.revisions().isEmpty()) {
            obsoleteChunks.addAll(storedChunks.removals());
        }
    }

    /** Marks a task as done; returns false if the job has no such task or it was already done. */
    boolean add(int task) {
        if (task < 0 || task >= tasks || done.get(task)) {
            return false;
        }
        done.set(task);
        count++;
        if (chunks != null) {
            chunks.markChanged(task);
        }
        return true;
    }

    boolean contains(int task) {
        return done.get(task);
    }

    /** True once a record that marks the task as done is stored. */
    boolean isStored(int task) {
        return stored.get(task);
    }

    /** The number of tasks that are done. */
    int count() {
        return count;
    }

    /** True if all tasks are done. */
    boolean isComplete() {
        return count == tasks;
    }

    /** Adds all tasks that are done to the given set. */
    void addDoneTasksTo(BitSet other) {
        other.or(done);
    }

    /** Returns the writes of chunks that have to be stored before the record. */
    List<PendingWrite> prerequisites() {
        return writesChunks() ? chunks.pendingWrites(done) : List.of();
    }

    /**
     * Returns the bitmap reference for the record that is written now, and keeps its state for {@link #recordStored}.
     */
    BitmapReference beginRecordWrite() {
        sent.clear();
        if (writesChunks()) {
            sent.or(stored);
            chunks.addStoredTasksTo(sent);
            sentGenerations = chunks.generations();
            return BitmapReference.chunks(chunks.tasksPerChunk(), sentGenerations);
        }
        sent.or(done);
        return BitmapReference.inline(isComplete() ? null : CompletionBitmapCodec.encode(done));
    }

    /**
     * Marks the last written record as stored.
     *
     * @param isCompletionStored true if a record that marks the whole job as done is stored
     * @return removals of chunks that are no longer referenced
     */
    List<PendingWrite> recordStored(boolean isCompletionStored) {
        stored.or(sent);
        List<PendingWrite> removals = new ArrayList<>(obsoleteChunks);
        obsoleteChunks.clear();
        if (isCompletionStored && chunks != null) {
            removals.addAll(chunks.removalsOfAll());
        } else if (usesChunks) {
            removals.addAll(chunks.recordStored(sentGenerations));
        }
        return removals;
    }

    /** Handles the rejection of a record for its size; returns true if the bitmap is stored in chunks from now on. */
    boolean moveToChunks() {
        boolean canMove = chunks != null && !usesChunks;
        usesChunks |= canMove;
        return canMove;
    }

    /** Returns the removals of all chunks. */
    List<PendingWrite> removalsOfChunks() {
        return chunks == null ? List.copyOf(obsoleteChunks) : chunks.removalsOfAll();
    }

    private boolean writesChunks() {
        return usesChunks && !isComplete();
    }
}
