package io.sillreel.recovery;

import io.sillreel.http.EventLoop;
import io.sillreel.leadership.LeaderElection;
import io.sillreel.statestore.ListResult;
import io.sillreel.statestore.ReadResult;
import io.sillreel.statestore.StateStore;
import io.sillreel.statestore.StoreOutcome;
import io.sillreel.statestore.StoredEntry;
import io.sillreel.statestore.WatchEvent;
import io.sillreel.statestore.WatchResult;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.stream.Stream;

/** Follows all changes of the state service into the log, and tells of those of the stored verdict. */
final class ChangeLogWatcher {
    private static final String ALL_KEYS = "";
    private static final long WATCH_MICROS = 2_000_000;
    private static final long RETRY_MICROS = 500_000;
    /** A watch without a change, its answer and the pause before the next one take less. */
    private static final long MAX_WATCH_SILENCE_MICROS = 3_500_000;

    private final StateStore store;
    private final EventLoop eventLoop;
    private final ChangeLog log;
    private final long batchingDelayMicros;
    private final BooleanSupplier suspended;
    private final Consumer<RecoveryRecord> onRecord;
    private final Consumer<String> onLoss;
    /** Counts how often the following has begun anew; what was asked for before ends then. */
    private long currentSession;

    private long lastWatchMicros;

    /**
     * @param batchingDelayMicros how long changes gather before they are asked for
     * @param suspended true while nothing is to be followed
     * @param onRecord told of each stored verdict
     * @param onLoss told what shows that writes have been lost
     */
    ChangeLogWatcher(
            StateStore store,
            EventLoop eventLoop,
            ChangeLog log,
            long batchingDelayMicros,
            BooleanSupplier suspended,
            Consumer<RecoveryRecord> onRecord,
            Consumer<String> onLoss) {
        this.store = store;
        this.eventLoop = eventLoop;
        this.log = log;
        this.batchingDelayMicros = batchingDelayMicros;
        this.suspended = suspended;
        this.onRecord = onRecord;
        this.onLoss = onLoss;
    }

    /** Begins to follow anew; what was remembered is forgotten. */
    void restart() {
        startSession(++currentSession, true);
    }

    /** Goes on from a revision up to which nothing had been lost, or begins anew where that is not known. */
    void resume(long keptRevision) {
        if (log.truncateAfter(keptRevision)) {
            watch(++currentSession, keptRevision);
        } else {
            restart();
        }
    }

    /** True if changes have not been heard of for so long that a loss may have been noticed elsewhere meanwhile. */
    boolean isLagging() {
        return eventLoop.nowMicros() - lastWatchMicros > MAX_WATCH_SILENCE_MICROS;
    }

    /** Ends the following until it is begun anew. */
    void stop() {
        currentSession++;
    }

    /**
     * @param fromPermanentKey true to follow from the last change of a key that is never removed: if that is still
     *     there after a loss, then all that was lost is remembered
     */
    private void startSession(long session, boolean fromPermanentKey) {
        store.list(RecoveryRecord.KEY).thenAcceptBoth(store.get(LeaderElection.TERM_KEY), (listing, term) -> {
            if (session != currentSession) {
                return;
            }
            if (listing.outcome() == StoreOutcome.OK && term.isConclusive()) {
                startSession(session, fromPermanentKey, listing, term);
            } else {
                eventLoop.schedule(RETRY_MICROS, () -> startSession(session, fromPermanentKey));
            }
        });
    }

    private void startSession(long session, boolean fromPermanentKey, ListResult listing, ReadResult term) {
        Optional<StoredEntry> stored = listing.entries().stream()
                .filter(entry -> entry.key().equals(RecoveryRecord.KEY))
                .findFirst();
        onRecord.accept(stored.map(entry -> RecoveryRecord.of(entry.value())).orElse(RecoveryRecord.NONE));
        if (session != currentSession) {
            return;
        }
        Stream<StoredEntry> permanentEntries = Stream.concat(stored.stream(), term.entry().stream());
        Optional<StoredEntry> latest = permanentEntries.max(Comparator.comparingLong(StoredEntry::revision));
        long since = fromPermanentKey
                ? latest.map(StoredEntry::revision).orElse(listing.storeRevision())
                : listing.storeRevision();
        log.reset(since, eventLoop.wallMicros());
        latest.ifPresent(entry -> log.addRead(RecentChange.of(entry.key(), entry.value(), entry.revision())));
        lastWatchMicros = eventLoop.nowMicros();
        watch(session, since);
    }

    private void watch(long session, long since) {
        if (session != currentSession || suspended.getAsBoolean()) {
            return;
        }
        store.watch(ALL_KEYS, since, WATCH_MICROS).thenAccept(result -> {
            if (session != currentSession || suspended.getAsBoolean()) {
                return;
            }
            if (result.outcome() == StoreOutcome.OK) {
                lastWatchMicros = eventLoop.nowMicros();
                long watchedRevision = Math.max(since, result.storeRevision());
                recordEvents(result, watchedRevision);
                eventLoop.schedule(batchingDelayMicros, () -> watch(session, watchedRevision));
            } else if (result.outcome() == StoreOutcome.COMPACTED) {
                startSession(session, false);
            } else {
                eventLoop.schedule(RETRY_MICROS, () -> watch(session, since));
            }
        });
    }

    private void recordEvents(WatchResult result, long watchedRevision) {
        List<RecentChange> changes = new ArrayList<>();
        for (WatchEvent change : result.events()) {
            changes.add(RecentChange.of(change.key(), change.value(), change.revision()));
            if (change.key().equals(RecoveryRecord.KEY) && change.value() != null) {
                onRecord.accept(RecoveryRecord.of(change.value()));
            }
        }
        log.addWatched(changes, watchedRevision)
                .ifPresent(key -> onLoss.accept("the last change of " + key + " is not among those that were stored"));
    }
}
