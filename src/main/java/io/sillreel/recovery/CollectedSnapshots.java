package io.sillreel.recovery;

import io.sillreel.recovery.ChangeLog.Snapshot;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Merges the change log snapshots of the controllers that respond, and determines whether they cover all lost writes.
 */
final class CollectedSnapshots {
    private final Map<String, Snapshot> snapshots = new LinkedHashMap<>();
    private final Map<String, RecentChange> newestChanges = new HashMap<>();
    /**
     * The newest revision by key, from the snapshots of controllers that observed the state service before the loss.
     */
    private final Map<String, Long> revisionsBeforeLoss = new HashMap<>();

    /** Adds the snapshot of a controller. */
    void add(String node, Snapshot snapshot) {
        snapshots.put(node, snapshot);
        for (RecentChange change : snapshot.changes()) {
            newestChanges.merge(change.key(), change, (one, other) -> one.revision() >= other.revision() ? one : other);
            if (snapshot.observedBeforeLoss()) {
                revisionsBeforeLoss.merge(change.key(), change.revision(), Math::max);
            }
        }
    }

    /**
     * True if the change was certainly stored before the loss. A controller that did not notice the loss may have
     * logged changes that were made after it.
     */
    boolean isObservedBeforeLoss(RecentChange change) {
        return revisionsBeforeLoss.getOrDefault(change.key(), 0L) == change.revision();
    }

    /** The names of the controllers whose snapshots have been added. */
    Set<String> nodes() {
        return new TreeSet<>(snapshots.keySet());
    }

    /** The newest known change of each key, the latest first. */
    List<RecentChange> newestFirst() {
        List<RecentChange> changes = new ArrayList<>(newestChanges.values());
        changes.sort((one, other) -> Long.compare(other.revision(), one.revision()));
        return changes;
    }

    /**
     * Returns the reason why a write may have been lost that no snapshot contains; empty if that is ruled out.
     *
     * @param members all controllers that may have written
     * @param keptRevision a revision that the state service has certainly kept, or 0 if none is known
     * @param highWatermarks the highest values before the loss
     * @param skewMicros maximum difference between the wall clocks of two controllers
     */
    Optional<String> findGap(
            Collection<String> members, long keptRevision, HighWatermarks highWatermarks, long skewMicros) {
        long observedBeforeLossMicros = snapshots.values().stream()
                .mapToLong(Snapshot::observedBeforeLossMicros)
                .max()
                .orElse(0);
        if (observedBeforeLossMicros == 0) {
            return Optional.of("nobody who is left has seen the state service before the loss");
        }
        if (keptRevision == 0) {
            return Optional.of("nothing that is remembered is still stored, so more may be lost than is remembered");
        }
        return members.stream()
                .map(member -> findGap(member, keptRevision, observedBeforeLossMicros - skewMicros))
                .flatMap(Optional::stream)
                .findFirst()
                .or(() -> findRevisionGap(keptRevision, highWatermarks.storeRevision()));
    }

    private Optional<String> findGap(String member, long keptRevision, long observedBeforeLossMicros) {
        Snapshot snapshot = snapshots.get(member);
        if (snapshot == null) {
            return Optional.of(member + " does not say what it stored last");
        }
        if (snapshot.recordingSinceMicros() > observedBeforeLossMicros) {
            return Optional.of(member + " has begun to remember since the loss, and may have stored more before");
        }
        if (snapshot.completeFrom() > keptRevision + 1) {
            return Optional.of(member + " remembers changes only from " + snapshot.completeFrom() + ", and those after "
                    + keptRevision + " may be lost");
        }
        return Optional.empty();
    }

    private Optional<String> findRevisionGap(long keptRevision, long highestRevision) {
        long contiguous = lastContiguousRevision(keptRevision);
        return contiguous >= highestRevision
                ? Optional.empty()
                : Optional.of("what was stored at " + (contiguous + 1) + " is not remembered, and " + highestRevision
                        + " was reached");
    }

    /** The last revision up to which every change after the given one is contained in one of the snapshots. */
    private long lastContiguousRevision(long from) {
        long contiguous = from;
        for (Snapshot snapshot : snapshots.values()) {
            if (snapshot.observedBeforeLoss() && snapshot.completeFrom() <= from + 1) {
                contiguous = Math.max(contiguous, snapshot.completeTo());
            }
        }
        TreeSet<Long> ownRevisions = new TreeSet<>();
        snapshots.values().forEach(snapshot -> ownRevisions.addAll(snapshot.ownRevisions()));
        while (ownRevisions.contains(contiguous + 1)) {
            contiguous++;
        }
        return contiguous;
    }
}
