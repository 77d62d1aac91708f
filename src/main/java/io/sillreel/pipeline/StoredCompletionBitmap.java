package io.sillreel.pipeline;

import io.sillreel.settings.ValueLimits;
import io.sillreel.statestore.PendingWrite;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/**
 * Which tasks of a job are done, and which of those the state service knows of. A set that is small enough lies in the
 * job's head; a larger one lies in parts ({@link CompletionBitmapChunks}), and the head names the parts that count.
 */
final class StoredCompletionBitmap {
    /** What the head says of the set; {@code bits} is null if the head's stage or its parts say it. */
    record InHead(String bits, int per, long[] generations) {}

    private final String uid;
    private final int tasks;
    /** Null if the set fits into the head under all limits. */
    private final CompletionBitmapChunks chunks;
    /**
     * False while the set is written into the head though it will not fit there under the announced limits. The
     * previous version reads no parts; it would start tasks again that are done. Once the state service refuses the
     * head for its size the announced limits are in force, which they are only after the upgrade.
     */
    private boolean usesChunks;

    private final BitSet done = new BitSet();
    private final BitSet stored = new BitSet();
    private final BitSet sent = new BitSet();
    private int count;
    private long[] sentGenerations = {};
    /** What another version stored beside the head and this one does not: removed once the head says all. */
    private final List<PendingWrite> obsoleteChunks = new ArrayList<>();

    /** @param partsStored run when all parts that the next head is to name are stored */
    StoredCompletionBitmap(String uid, int tasks, ValueLimits limits, Runnable partsStored) {
        this.uid = uid;
        this.tasks = tasks;
        int per = RunRecord.tasksPerChunk(limits.announcedBytes());
        this.chunks = tasks <= per ? null : new CompletionBitmapChunks(uid, tasks, per, all -> partsStored.run());
        this.usesChunks = tasks > RunRecord.tasksPerChunk(limits.presentBytes());
    }

    /** Takes over what is stored. */
    void inherit(RunRecord.Head head, RunRecord.StoredChunks storedParts) {
        done.or(storedParts.read(uid, head));
        stored.or(done);
        count = done.cardinality();
        usesChunks |= head.tasksPerChunk() > 0;
        if (chunks != null) {
            chunks.inherit(head, storedParts.revisions(), done);
        } else if (!storedParts.revisions().isEmpty()) {
            obsoleteChunks.addAll(storedParts.removeAll());
        }
    }

    /** Adds the task; true if it is one of the job's and was not in the set. */
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

    boolean isStored(int task) {
        return stored.get(task);
    }

    int count() {
        return count;
    }

    boolean isComplete() {
        return count == tasks;
    }

    /** Adds all tasks of the set to another one. */
    void copyInto(BitSet other) {
        other.or(done);
    }

    /** What has to be stored before the head. */
    List<PendingWrite> prerequisites() {
        return writesChunks() ? chunks.pendingWrites(done) : List.of();
    }

    /** What the head that is written now says of the set. */
    InHead write() {
        sent.clear();
        if (writesChunks()) {
            sent.or(stored);
            chunks.copyInto(sent);
            sentGenerations = chunks.generations();
            return new InHead(null, chunks.tasksPerChunk(), sentGenerations);
        }
        sent.or(done);
        return new InHead(isComplete() ? null : RunRecord.encodeBitmap(done), 0, RunRecord.NO_CHUNKS);
    }

    /**
     * The head last written is stored.
     *
     * @param doneStored true if a head is stored that says that the whole job is done
     * @return removals of what no head needs any more
     */
    List<PendingWrite> headStored(boolean doneStored) {
        stored.or(sent);
        List<PendingWrite> unneeded = new ArrayList<>(obsoleteChunks);
        obsoleteChunks.clear();
        if (doneStored && chunks != null) {
            unneeded.addAll(chunks.removeAll());
        } else if (usesChunks) {
            unneeded.addAll(chunks.headStored(sentGenerations));
        }
        return unneeded;
    }

    /** The head with the set in it was refused for its size; true if the set can be stored in parts instead. */
    boolean moveToChunks() {
        boolean movable = chunks != null && !usesChunks;
        usesChunks |= movable;
        return movable;
    }

    /** Removals of everything that is stored beside the head. */
    List<PendingWrite> removalsOfChunks() {
        return chunks == null ? List.copyOf(obsoleteChunks) : chunks.removeAll();
    }

    private boolean writesChunks() {
        return usesChunks && !isComplete();
    }
}
