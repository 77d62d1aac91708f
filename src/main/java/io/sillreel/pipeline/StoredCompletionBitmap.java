package io.sillreel.pipeline;

import io.sillreel.settings.ValueLimits;
import io.sillreel.statestore.PendingWrite;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/**
 * Which tasks of a job are done, and which of those the state store knows of. A bitmap that is small enough is stored
 * in the job's record; a larger one is stored in chunks ({@link CompletionBitmapChunks}) to which the record refers.
 */
final class StoredCompletionBitmap {
    private final String uid;
    private final int tasks;
    /** Null if the bitmap fits into the record under all limits. */
    private final CompletionBitmapChunks chunks;
    /**
     * False while the bitmap is written into the record though it will not fit there under the announced limits. The
     * previous version reads no chunks; it would start tasks again that are done. Once the state store refuses the
     * record for its size, the announced limits are in force, which they are only after the upgrade.
     */
    private boolean usesChunks;

    private final BitSet done = new BitSet();
    private final BitSet stored = new BitSet();
    private final BitSet sent = new BitSet();
    private int count;
    private long[] sentGenerations = {};
    /** Removals of chunks that only another version writes; made once this version's record is stored. */
    private final List<PendingWrite> obsoleteChunks = new ArrayList<>();

    /** @param onChunksStored run when all chunks to which the next record is to refer are stored */
    StoredCompletionBitmap(String uid, int tasks, ValueLimits limits, Runnable onChunksStored) {
        this.uid = uid;
        this.tasks = tasks;
        int tasksPerChunk = CompletionBitmapCodec.tasksPerChunk(limits.announcedBytes());
        this.chunks =
                tasks <= tasksPerChunk ? null : new CompletionBitmapChunks(uid, tasks, tasksPerChunk, onChunksStored);
        this.usesChunks = tasks > CompletionBitmapCodec.tasksPerChunk(limits.presentBytes());
    }

    /** Takes over what is stored. */
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

    /** Adds the task; true if it is one of the job's and was not done before. */
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

    /** True once a record is stored that says that the task is done. */
    boolean isStored(int task) {
        return stored.get(task);
    }

    /** How many tasks are done. */
    int count() {
        return count;
    }

    /** True if all tasks are done. */
    boolean isComplete() {
        return count == tasks;
    }

    /** Adds all tasks that are done to another set. */
    void addDoneTasksTo(BitSet other) {
        other.or(done);
    }

    /** Chunks that have to be stored before the record. */
    List<PendingWrite> prerequisites() {
        return writesChunks() ? chunks.pendingWrites(done) : List.of();
    }

    /** Returns what the record that is written now says of the bitmap, and remembers it for {@link #recordStored}. */
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
     * The record last written is stored.
     *
     * @param isCompletionStored true if a record is stored that says that the whole job is done
     * @return removals of the chunks to which no record refers any more
     */
    List<PendingWrite> recordStored(boolean isCompletionStored) {
        stored.or(sent);
        List<PendingWrite> removals = new ArrayList<>(obsoleteChunks);
        obsoleteChunks.clear();
        if (isCompletionStored && chunks != null) {
            removals.addAll(chunks.removeAll());
        } else if (usesChunks) {
            removals.addAll(chunks.recordStored(sentGenerations));
        }
        return removals;
    }

    /** The record was refused for its size; true if the bitmap can be stored in chunks instead. */
    boolean moveToChunks() {
        boolean isMovable = chunks != null && !usesChunks;
        usesChunks |= isMovable;
        return isMovable;
    }

    /** Removals of everything that is stored beside the record. */
    List<PendingWrite> removalsOfChunks() {
        return chunks == null ? List.copyOf(obsoleteChunks) : chunks.removeAll();
    }

    private boolean writesChunks() {
        return usesChunks && !isComplete();
    }
}
