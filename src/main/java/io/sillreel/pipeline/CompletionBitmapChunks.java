package io.sillreel.pipeline;

import io.sillreel.http.Json;
import io.sillreel.statestore.KeyChange;
import io.sillreel.statestore.PendingWrite;
import io.sillreel.statestore.SingleKeyWrite;
import io.sillreel.statestore.WriteUrgency;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * A done set that is too large for one value. Each part lies under a key of its own generation, and the head names the
 * generations that count: so parts may be written one after the other, and readers see either all of a new set or all
 * of the old one. What no head names any more is removed.
 */
final class CompletionBitmapChunks {
    static final String PREFIX = "bits/";

    private final String uid;
    private final int tasksPerChunk;
    private final long[] referencedGenerations;
    private final Set<Integer> changedChunks = new HashSet<>();
    private final Map<Integer, Chunk> pending = new LinkedHashMap<>();
    /** Stamps of what is stored, by key; what is not named by the next head is removed after it. */
    private final Map<String, Long> storedRevisions = new HashMap<>();

    private final Consumer<CompletionBitmapChunks> onAllStored;
    private long lastGeneration;

    /** @param onStored told when all parts that the next head is to name are stored */
    CompletionBitmapChunks(String uid, int tasks, int per, Consumer<CompletionBitmapChunks> onStored) {
        this.uid = uid;
        this.tasksPerChunk = per;
        this.referencedGenerations = new long[(tasks + per - 1) / per];
        this.onAllStored = onStored;
    }

    static String key(String uid, int index, long generation) {
        return PREFIX + uid + "/" + index + "/" + generation;
    }

    /** The job that a part belongs to. */
    static String uidOf(String key) {
        return key.substring(PREFIX.length(), key.indexOf('/', PREFIX.length()));
    }

    /** Takes over what the head names, if it was cut alike; else everything is written anew. */
    void inherit(RunRecord.Head head, Map<String, Long> stamps, BitSet done) {
        storedRevisions.putAll(stamps);
        for (String key : stamps.keySet()) {
            if (key.startsWith(PREFIX)) {
                lastGeneration = Math.max(lastGeneration, Long.parseLong(key.substring(key.lastIndexOf('/') + 1)));
            }
        }
        if (head.tasksPerChunk() == tasksPerChunk && head.chunkGenerations().length == referencedGenerations.length) {
            System.arraycopy(head.chunkGenerations(), 0, referencedGenerations, 0, referencedGenerations.length);
        } else {
            for (int task = done.nextSetBit(0);
                    task >= 0;
                    task = done.nextSetBit((task / tasksPerChunk + 1) * tasksPerChunk)) {
                changedChunks.add(task / tasksPerChunk);
            }
        }
    }

    int tasksPerChunk() {
        return tasksPerChunk;
    }

    void markChanged(int task) {
        changedChunks.add(task / tasksPerChunk);
    }

    /** Parts to be written before the next head; none once all that it is to name are stored. */
    List<PendingWrite> pendingWrites(BitSet done) {
        changedChunks.removeIf(index -> {
            Chunk older = pending.get(index);
            if (older != null && !older.isStored()) {
                // One generation at a time: what has come since goes with the next.
                return false;
            }
            if (older != null) {
                storedRevisions.put(older.key(), older.revision());
            }
            pending.put(
                    index,
                    new Chunk(index, ++lastGeneration, done.get(index * tasksPerChunk, (index + 1) * tasksPerChunk)));
            return true;
        });
        return pending.values().stream()
                .filter(part -> !part.isStored())
                .map(PendingWrite.class::cast)
                .toList();
    }

    /** The generations that the head is to name now. */
    long[] generations() {
        long[] next = referencedGenerations.clone();
        pending.values().stream().filter(Chunk::isStored).forEach(part -> next[part.index] = part.generation);
        return next;
    }

    /** Marks in the set what the named parts hold besides what was named before. */
    void copyInto(BitSet set) {
        for (Chunk part : pending.values()) {
            if (part.isStored()) {
                part.bits.stream().forEach(bit -> set.set(part.index * tasksPerChunk + bit));
            }
        }
    }

    /** The head with those generations is stored: what it does not name is to be removed. */
    List<PendingWrite> headStored(long[] generations) {
        System.arraycopy(generations, 0, referencedGenerations, 0, referencedGenerations.length);
        pending.values().removeIf(part -> {
            if (part.isStored() && referencedGenerations[part.index] == part.generation) {
                storedRevisions.put(part.key(), part.revision());
                return true;
            }
            return false;
        });
        Set<String> kept = new HashSet<>();
        for (int index = 0; index < referencedGenerations.length; index++) {
            kept.add(key(uid, index, referencedGenerations[index]));
        }
        pending.values().forEach(part -> kept.add(part.key()));
        return remove(kept);
    }

    /** The job is over: nothing of it is needed any more. */
    List<PendingWrite> removeAll() {
        pending.values().forEach(part -> storedRevisions.put(part.key(), part.revision()));
        pending.clear();
        return remove(Set.of());
    }

    private List<PendingWrite> remove(Set<String> kept) {
        List<PendingWrite> removals = new ArrayList<>();
        storedRevisions.entrySet().removeIf(entry -> {
            if (kept.contains(entry.getKey())) {
                return false;
            }
            removals.add(new Removal(entry.getKey(), entry.getValue()));
            return true;
        });
        return removals;
    }

    /** One part of the set as it was when it was cut. */
    private final class Chunk extends SingleKeyWrite {
        final int index;
        final long generation;
        final BitSet bits;
        private boolean isStored;

        Chunk(int index, long generation, BitSet bits) {
            super(CompletionBitmapChunks.key(uid, index, generation), 0);
            this.index = index;
            this.generation = generation;
            this.bits = bits;
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
                    : KeyChange.put(Json.object().put("bits", RunRecord.encodeBitmap(bits)));
        }

        @Override
        public void onStored(long newRevision) {
            super.onStored(newRevision);
            isStored = true;
            if (pending.values().stream().allMatch(Chunk::isStored)) {
                onAllStored.accept(CompletionBitmapChunks.this);
            }
        }
    }

    /** The end of a key that nobody needs any more. */
    static final class Removal extends SingleKeyWrite {
        Removal(String key, long revision) {
            super(key, revision);
        }

        @Override
        public WriteUrgency urgency() {
            return WriteUrgency.PROGRESS;
        }

        @Override
        public KeyChange change() {
            return revision() > 0 ? KeyChange.REMOVAL : KeyChange.NONE;
        }

        @Override
        public void onStored(long newRevision) {
            super.onStored(0);
        }
    }
}
