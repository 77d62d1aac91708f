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
 * The last changes of the state service, the newest of each key, within a bound on memory. What was followed is known
 * without gaps from one revision to another; what was stored by this controller itself is known beyond that at once.
 */
final class ChangeLog {
    private final long maxBytes;
    /** In the order of their stamps, but for own writes that have not been followed yet. */
    private final Map<String, RecentChange> changes = new LinkedHashMap<>();

    /** The keys that this controller changed at each revision that has not been followed yet. */
    private final NavigableMap<Long, Set<String>> ownKeysByRevision = new TreeMap<>();

    /** The latest change of a key that nobody ever removes, or null. */
    private RecentChange latestPermanent;

    private long sizeBytes;
    private long completeFrom = Long.MAX_VALUE;
    private long completeTo;
    private long recordingSinceMicros = Long.MAX_VALUE;

    /** @param maxBytes about what the changes may take of the memory */
    ChangeLog(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * Forgets everything; from now on all changes after the revision are followed.
     *
     * @param wallMicros the time of day
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
     * A loss has been made good: what was remembered up to the revision is still true, and what was stored after it is
     * followed anew. False if too little is remembered for that.
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

    /** A change that was read; it is as good as one that was followed. */
    synchronized void addRead(RecentChange change) {
        put(change);
    }

    /**
     * All changes up to the revision have been followed.
     *
     * @return a key that was changed by this controller, as it was told, and whose change is not among the news; empty
     *     unless the state service has lost it
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
        for (Map.Entry<Long, Set<String>> own :
                ownKeysByRevision.headMap(storeRevision, true).entrySet()) {
            for (String key : own.getValue()) {
                if (!watched.contains(own.getKey() + key)) {
                    return Optional.of(key);
                }
            }
        }
        return Optional.empty();
    }

    /** One transaction of this controller has been stored. */
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
        // The leader's key ends with its lease.
        if (outdated || change.key().equals(LeaderElection.LEADER_KEY)) {
            return;
        }
        // Taken out first, so that the change comes last in the order.
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

    /** The stamp of the last known change of a key that is stored as far as is known, or 0. */
    synchronized long revisionOf(String key) {
        RecentChange change = changes.get(key);
        return change == null || change.isRemoval() ? 0 : change.revision();
    }

    /**
     * The key of the latest change that can be looked at to see whether it is still there: what is lost is always what
     * came last.
     */
    synchronized Optional<String> latestPermanentKey() {
        return Optional.ofNullable(latestPermanent).map(RecentChange::key);
    }

    /**
     * Everything that is remembered.
     *
     * @param observedBeforeLossMicros a time of day at which the state service had certainly not lost anything yet, or
     *     0
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

    /** The first revision from which all changes are known. */
    synchronized long completeFrom() {
        return completeFrom;
    }

    /**
     * What one controller remembers.
     *
     * @param changes the newest known change of each key
     * @param completeFrom the first revision from which all changes are known, if that is not beyond the last
     * @param completeTo the last revision up to which all changes are known
     * @param ownRevisions later revisions that are known since they were written here
     * @param recordingSinceMicros the time of day from which it remembers without a break
     * @param observedBeforeLossMicros a time of day at which the state service had certainly not lost anything yet, or
     *     0
     */
    record Snapshot(
            List<RecentChange> changes,
            long completeFrom,
            long completeTo,
            List<Long> ownRevisions,
            long recordingSinceMicros,
            long observedBeforeLossMicros) {
        /** True if all of it was stored before the loss. */
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
