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
    private final NavigableMap<Long, Set<String>> ownRevisions = new TreeMap<>();

    /** The latest change of a key that nobody ever removes, or null. */
    private RecentChange latestPermanent;

    private long bytes;
    private long knownFrom = Long.MAX_VALUE;
    private long knownTo;
    private long sinceMicros = Long.MAX_VALUE;

    /** @param maxBytes about what the changes may take of the memory */
    ChangeLog(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * Forgets everything; from now on all changes after the revision are followed.
     *
     * @param wallMicros the time of day
     */
    synchronized void restart(long storeRevision, long wallMicros) {
        sinceMicros = wallMicros;
        forget();
        knownFrom = storeRevision + 1;
        knownTo = storeRevision;
    }

    private void forget() {
        changes.clear();
        ownRevisions.clear();
        latestPermanent = null;
        bytes = 0;
    }

    /**
     * A loss has been made good: what was remembered up to the revision is still true, and what was stored after it is
     * followed anew. False if too little is remembered for that.
     */
    synchronized boolean rebase(long kept) {
        if (kept == 0 || knownFrom > kept + 1) {
            return false;
        }
        List<RecentChange> remembered = List.copyOf(changes.values());
        forget();
        remembered.stream().filter(change -> change.revision() <= kept).forEach(this::put);
        knownTo = kept;
        return true;
    }

    /** A change that was read; it is as good as one that was followed. */
    synchronized void addLandmark(RecentChange change) {
        put(change);
    }

    /**
     * All changes up to the revision have been followed.
     *
     * @return a key that was changed by this controller, as it was told, and whose change is not among the news; empty
     *     unless the state service has lost it
     */
    synchronized Optional<String> addFollowed(Collection<RecentChange> news, long storeRevision) {
        Optional<String> lost = missing(news, storeRevision);
        if (lost.isPresent()) {
            return lost;
        }
        news.forEach(this::put);
        knownTo = Math.max(knownTo, storeRevision);
        ownRevisions.headMap(knownTo, true).clear();
        shrink();
        return lost;
    }

    private Optional<String> missing(Collection<RecentChange> news, long storeRevision) {
        Set<String> shown = new HashSet<>();
        news.forEach(change -> shown.add(change.revision() + change.key()));
        for (Map.Entry<Long, Set<String>> own :
                ownRevisions.headMap(storeRevision, true).entrySet()) {
            for (String key : own.getValue()) {
                if (!shown.contains(own.getKey() + key)) {
                    return Optional.of(key);
                }
            }
        }
        return Optional.empty();
    }

    /** One transaction of this controller has been stored. */
    synchronized void addStored(Collection<RecentChange> own, long storeRevision) {
        own.forEach(this::put);
        if (storeRevision > knownTo) {
            own.forEach(change -> ownRevisions
                    .computeIfAbsent(storeRevision, each -> new HashSet<>())
                    .add(change.key()));
        }
        shrink();
    }

    private void put(RecentChange change) {
        RecentChange older = changes.get(change.key());
        boolean known = older != null && older.revision() >= change.revision();
        // The leader's key ends with its lease.
        if (known || change.key().equals(LeaderElection.LEADER_KEY)) {
            return;
        }
        // Taken out first, so that the change comes last in the order.
        changes.remove(change.key());
        changes.put(change.key(), change);
        bytes += change.bytes() - (older == null ? 0 : older.bytes());
        boolean latest = latestPermanent == null || change.revision() > latestPermanent.revision();
        if (latest && !change.isRemoval() && PermanentKeys.isPermanent(change.key())) {
            latestPermanent = change;
        }
    }

    private void shrink() {
        Iterator<RecentChange> oldestFirst = changes.values().iterator();
        while (bytes > maxBytes && oldestFirst.hasNext()) {
            RecentChange oldest = oldestFirst.next();
            oldestFirst.remove();
            bytes -= oldest.bytes();
            knownFrom = Math.max(knownFrom, oldest.revision() + 1);
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
     * @param seenMicros a time of day at which the state service had certainly not lost anything yet, or 0
     */
    synchronized Memory memory(long seenMicros) {
        return new Memory(
                List.copyOf(changes.values()),
                knownFrom,
                knownTo,
                new ArrayList<>(ownRevisions.keySet()),
                sinceMicros,
                seenMicros);
    }

    synchronized long bytes() {
        return bytes;
    }

    /** The first revision from which all changes are known. */
    synchronized long knownFrom() {
        return knownFrom;
    }

    /**
     * What one controller remembers.
     *
     * @param changes the newest known change of each key
     * @param knownFrom the first revision from which all changes are known, if that is not beyond the last
     * @param knownTo the last revision up to which all changes are known
     * @param ownRevisions later revisions that are known since they were written here
     * @param sinceMicros the time of day from which it remembers without a break
     * @param seenMicros a time of day at which the state service had certainly not lost anything yet, or 0
     */
    record Memory(
            List<RecentChange> changes,
            long knownFrom,
            long knownTo,
            List<Long> ownRevisions,
            long sinceMicros,
            long seenMicros) {
        /** True if all of it was stored before the loss. */
        boolean isWitness() {
            return seenMicros > 0;
        }

        Memory with(List<RecentChange> otherChanges) {
            return new Memory(otherChanges, knownFrom, knownTo, ownRevisions, sinceMicros, seenMicros);
        }
    }
}
