package io.sillreel.recovery;

import io.sillreel.recovery.ChangeLog.Memory;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/** What the controllers that are left remember together, and whether that is everything that was lost. */
final class CollectedMemories {
    private final Map<String, Memory> memories = new LinkedHashMap<>();
    private final Map<String, RecentChange> newest = new HashMap<>();
    /** The stamps that controllers know which have certainly seen the state service before the loss. */
    private final Map<String, Long> isWitnessed = new HashMap<>();

    /** Adds what a controller remembers. */
    void add(String node, Memory memory) {
        memories.put(node, memory);
        for (RecentChange change : memory.changes()) {
            newest.merge(change.key(), change, (one, other) -> one.revision() >= other.revision() ? one : other);
            if (memory.isWitness()) {
                isWitnessed.merge(change.key(), change.revision(), Math::max);
            }
        }
    }

    /**
     * True if the change was certainly stored before the loss; whoever did not notice it may have followed later ones.
     */
    boolean isWitnessed(RecentChange change) {
        return isWitnessed.getOrDefault(change.key(), 0L) == change.revision();
    }

    /** Those whose memory has been added. */
    Set<String> nodes() {
        return new TreeSet<>(memories.keySet());
    }

    /** The newest known change of each key, the latest first. */
    List<RecentChange> newestFirst() {
        List<RecentChange> changes = new ArrayList<>(newest.values());
        changes.sort((one, other) -> Long.compare(other.revision(), one.revision()));
        return changes;
    }

    /**
     * Says why something may have been lost that nobody here remembers; empty if nothing can have been.
     *
     * @param members all controllers that may have written
     * @param kept a revision that the state service has certainly kept, or 0 if none is known
     * @param peaks what was reached before the loss
     * @param skewMicros how far two controllers' times of day may lie apart
     */
    Optional<String> findGap(Collection<String> members, long kept, HighWatermarks highWatermarks, long skewMicros) {
        long beforeLoss =
                memories.values().stream().mapToLong(Memory::seenMicros).max().orElse(0);
        if (beforeLoss == 0) {
            return Optional.of("nobody who is left has seen the state service before the loss");
        }
        if (kept == 0) {
            return Optional.of("nothing that is remembered is still stored, so more may be lost than is remembered");
        }
        return members.stream()
                .map(member -> findGap(member, kept, beforeLoss - skewMicros))
                .flatMap(Optional::stream)
                .findFirst()
                .or(() -> gap(kept, highWatermarks.storeRevision()));
    }

    private Optional<String> findGap(String member, long kept, long beforeLoss) {
        Memory memory = memories.get(member);
        if (memory == null) {
            return Optional.of(member + " does not say what it stored last");
        }
        if (memory.sinceMicros() > beforeLoss) {
            return Optional.of(member + " has begun to remember since the loss, and may have stored more before");
        }
        if (memory.knownFrom() > kept + 1) {
            return Optional.of(member + " remembers changes only from " + memory.knownFrom() + ", and those after "
                    + kept + " may be lost");
        }
        return Optional.empty();
    }

    private Optional<String> gap(long kept, long peak) {
        long known = knownWithoutGaps(kept);
        return known >= peak
                ? Optional.empty()
                : Optional.of("what was stored at " + (known + 1) + " is not remembered, and " + peak + " was reached");
    }

    /** The last revision up to which all changes after the first are known to one or another. */
    private long knownWithoutGaps(long from) {
        long known = from;
        for (Memory memory : memories.values()) {
            if (memory.isWitness() && memory.knownFrom() <= from + 1) {
                known = Math.max(known, memory.knownTo());
            }
        }
        TreeSet<Long> single = new TreeSet<>();
        memories.values().forEach(memory -> single.addAll(memory.ownRevisions()));
        while (single.contains(known + 1)) {
            known++;
        }
        return known;
    }
}
