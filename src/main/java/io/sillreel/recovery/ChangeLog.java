package io.sillreel.recovery;

import io.sillreel.leadership.LeaderElection;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * The recent changes of the state service, the newest of each key, limited in memory. Watched changes are complete from
 * {@code completeFrom} to {@code completeTo}; this controller's own commits are added at once, even if they lie beyond
 * that range. Thread-safe; all state is guarded by this.
 */
final class ChangeLog {
    private final long maxBytes;
    /** By key, in the order of their revisions except for own commits that the watch has not reported yet. */
    private final Map<String, RecentChange> changes = new LinkedHashMap<>();

    /** The keys that this controller changed, by revision, as far as the watch has not reported them yet. */
    private final NavigableMap<Long, Set<String>> ownKeysByRevision = new TreeMap<>();

    /** The latest change of a key that is never removed, or null. */
    private RecentChange latestPermanent;

    private long sizeBytes;
    private long completeFrom = Long.MAX_VALUE;
    private long completeTo;
    private long recordingSinceMicros = Long.MAX_VALUE;

    /** @param maxBytes approximate limit on the memory that the changes take */
    ChangeLog(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * Clears the log; all changes after the revision are watched from now on.
     *
     * @param wallMicros the current wall-clock time
     */
    synchronized void reset(long storeRevision, long wallMicros) {
        recordingSinceMicros = wallMicros;
        clear();
        completeFrom = storeRevision + 1;
        completeTo = storeRevision;
    }

    private void clear() {
        changes.clear();
        ownKeysByRevision.clear();
        latestPermanent = null;
        sizeBytes = 0;
    }

    /**
     * Removes all changes after the revision once a loss has been repaired; changes up to it are still valid, later
     * ones are watched again. Returns false without any change if the log does not reach back to the revision.
     */
    synchronized boolean truncateAfter(long keptRevision) {
        if (keptRevision == 0 || completeFrom > keptRevision + 1) {
            return false;
        }
        List<RecentChange> logged = List.copyOf(changes.values());
        clear();
        logged.stream().filter(change -> change.revision() <= keptRevision).forEach(this::put);
        completeTo = keptRevision;
        return true;
    }

    /** Adds a change that was read; it counts like a watched one. */
    synchronized void addRead(RecentChange change) {
        put(change);
    }

    /**
     * Adds the changes up to the revision that a watch has reported.
     *
     * @return a key for which the state service confirmed a commit of this controller that is not among the events,
     *     which proves that the write was lost; empty if no such commit is missing
     */
    synchronized Optional<String> addWatched(Collection<RecentChange> events, long storeRevision) {
        Optional<String> lost = findMissingOwnKey(events, storeRevision);
        if (lost.isPresent()) {
            return lost;
        }
        events.forEach(this::put);
        completeTo = Math.max(completeTo, storeRevision);
        ownKeysByRevision.headMap(completeTo, true).clear();
        evictOldest();
        return lost;
    }

    private Optional<String> findMissingOwnKey(Collection<RecentChange> events, long storeRevision) {
        Set<String> watched = new HashSet<>();
        events.forEach(change -> watched.add(change.revision() + change.key()));
        for (Map.Entry<Long, Set<String>> ownKeys :
                ownKeysByRevision.headMap(storeRevision, true).entrySet()) {
            for (String key : ownKeys.getValue()) {
                if (!watched.contains(ownKeys.getKey() + key)) {
                    return Optional.of(key);
                }
            }
        }
        return Optional.empty();
    }

    /** Adds the changes of a transaction that this controller has committed. */
    synchronized void addCommitted(Collection<RecentChange> changesMade, long storeRevision) {
        changesMade.forEach(this::put);
        if (storeRevision > completeTo) {
            changesMade.forEach(change -> ownKeysByRevision
                    .computeIfAbsent(storeRevision, each -> new HashSet<>())
                    .add(change.key()));
        }
        evictOldest();
    }

    private void put(RecentChange change) {
        RecentChange older = changes.get(change.key());
        boolean outdated = older != null && older.revision() >= change.revision();
        // The leader key is bound to a lease, so it is never restored.
        if (outdated || change.key().equals(LeaderElection.LEADER_KEY)) {
            return;
        }
        // Removed first, since a put that replaces a value would keep its old position in the order.
        changes.remove(change.key());
        changes.put(change.key(), change);
        sizeBytes += change.sizeBytes() - (older == null ? 0 : older.sizeBytes());
        boolean latest = latestPermanent == null || change.revision() > latestPermanent.revision();
        if (latest && !change.isRemoval() && PermanentKeys.isPermanent(change.key())) {
            latestPermanent = change;
        }
    }

    private void evictOldest() {
        Iterator<RecentChange> oldestFirst = changes.values().iterator();
        while (sizeBytes > maxBytes && oldestFirst.hasNext()) {
            RecentChange oldest = oldestFirst.next();
            oldestFirst.remove();
            sizeBytes -= oldest.sizeBytes();
            completeFrom = Math.max(completeFrom, oldest.revision() + 1);
        }
    }

    /** The revision of the newest known change of the key, or 0 if there is none or the key was removed. */
    synchronized long revisionOf(String key) {
        RecentChange change = changes.get(key);
        return change == null || change.isRemoval() ? 0 : change.revision();
    }

    /**
     * The key that was changed last among those that are never removed. A loss always affects the latest writes, so
     * reading this key shows whether a loss has occurred.
     */
    synchronized Optional<String> latestPermanentKey() {
        return Optional.ofNullable(latestPermanent).map(RecentChange::key);
    }

    /**
     * A copy of the log's content.
     *
     * @param observedBeforeLossMicros a wall-clock time at which the state service had certainly not lost any writes
     *     yet, or 0 if none is known
     */
    synchronized Snapshot snapshot(long observedBeforeLossMicros) {
        return new Snapshot(
                List.copyOf(changes.values()),
                completeFrom,
                completeTo,
                new ArrayList<>(ownKeysByRevision.keySet()),
                recordingSinceMicros,
                observedBeforeLossMicros);
    }

    synchronized long sizeBytes() {
        return sizeBytes;
    }

    /** The revision from which on the log is complete; {@link Long#MAX_VALUE} before the first watch. */
    synchronized long completeFrom() {
        return completeFrom;
    }

    /**
     * The content of one controller's change log.
     *
     * @param changes the newest known change of each key
     * @param completeFrom the revision from which on the changes are complete; none are if it lies beyond completeTo
     * @param completeTo the revision up to which the changes are complete
     * @param ownRevisions later revisions, at which this controller committed changes itself
     * @param recordingSinceMicros the wall-clock time since which changes have been recorded without interruption
     * @param observedBeforeLossMicros a wall-clock time at which the state service had certainly not lost any writes
     *     yet, or 0 if none is known
     */
    record Snapshot(
            List<RecentChange> changes,
            long completeFrom,
            long completeTo,
            List<Long> ownRevisions,
            long recordingSinceMicros,
            long observedBeforeLossMicros) {
        /** True if the controller observed the state service before the loss, so that all changes precede the loss. */
        boolean observedBeforeLoss() {
            return observedBeforeLossMicros > 0;
        }

        Snapshot withChanges(List<RecentChange> otherChanges) {
            return new Snapshot(
                    otherChanges,
                    completeFrom,
                    completeTo,
                    ownRevisions,
                    recordingSinceMicros,
                    observedBeforeLossMicros);
        }
    }
}
