package io.sillreel.statestore;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The pending writes of a {@link WriteQueue}, at most one for each key. Guarded by the queue's lock. */
final class WriteBacklog {
    /** How long {@link WriteUrgency#PROGRESS} writes are held back so that more of them share a transaction. */
    private static final long PROGRESS_BATCHING_DELAY_MICROS = 2_000_000;

    private static final int URGENCY_COUNT = WriteUrgency.values().length;

    private final Map<String, PendingWrite> writes = new LinkedHashMap<>();
    private final Map<String, Long> queuedAtMicros = new HashMap<>();
    private final Set<String> exclusiveKeys = new HashSet<>();

    /** Adds a write unless a write of the same key is already pending. */
    void add(PendingWrite write, long nowMicros) {
        if (writes.putIfAbsent(write.key(), write) == null) {
            queuedAtMicros.putIfAbsent(write.key(), nowMicros);
        }
    }

    void remove(PendingWrite write) {
        writes.remove(write.key());
        queuedAtMicros.remove(write.key());
    }

    void clear() {
        writes.clear();
        queuedAtMicros.clear();
    }

    /** Sets whether the key has to be written in a transaction of its own. */
    void setExclusive(PendingWrite write, boolean exclusive) {
        if (exclusive) {
            exclusiveKeys.add(write.key());
        } else {
            exclusiveKeys.remove(write.key());
        }
    }

    boolean isExclusive(PendingWrite write) {
        return exclusiveKeys.contains(write.key());
    }

    int size() {
        return writes.size();
    }

    boolean isEmpty() {
        return writes.isEmpty();
    }

    int countUrgent() {
        int count = 0;
        for (PendingWrite write : writes.values()) {
            count += write.urgency() == WriteUrgency.PROGRESS ? 0 : 1;
        }
        return count;
    }

    /** Returns the writes that may be sent now, most urgent first and in arrival order within an urgency. */
    List<PendingWrite> dueByUrgency(long nowMicros) {
        List<List<PendingWrite>> byUrgency = new ArrayList<>();
        for (int i = 0; i < URGENCY_COUNT; i++) {
            byUrgency.add(new ArrayList<>());
        }
        for (PendingWrite write : writes.values()) {
            WriteUrgency urgency = write.urgency();
            if (urgency != WriteUrgency.PROGRESS
                    || nowMicros - queuedAtMicros.get(write.key()) >= PROGRESS_BATCHING_DELAY_MICROS) {
                byUrgency.get(urgency.ordinal()).add(write);
            }
        }
        List<PendingWrite> due = new ArrayList<>();
        byUrgency.forEach(due::addAll);
        return due;
    }
}
