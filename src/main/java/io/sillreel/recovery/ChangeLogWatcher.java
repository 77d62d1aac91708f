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
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.stream.Stream;

/**
 * Watches all keys of the state service, adds the changes to the change log and reports changes of the stored recovery
 * record. Runs on the event loop.
 */
final class ChangeLogWatcher {
    private static final String ALL_KEYS = "";
    private static final long WATCH_MICROS = 2_000_000;
    private static final long RETRY_MICROS = 500_000;
    /** Longer than an idle watch, its response and the delay before the next watch take together. */
    private static final long MAX_WATCH_SILENCE_MICROS = 3_500_000;

    private final StateStore store;
    private final EventLoop eventLoop;
    private final ChangeLog log;
    private final long watchDelayMicros;
    private final BooleanSupplier suspended;
    private final Consumer<RecoveryRecord> onRecord;
    private final Consumer<String> onLoss;
    /** Incremented at each restart, resume and stop; responses that belong to an earlier session are ignored. */
    private long currentSession;

    private long lastWatchMicros;

    /**
     * @param watchDelayMicros the delay between two watches, in which changes accumulate
     * @param suspended true while nothing is to be watched
     * @param onRecord receives each recovery record that is read or changed
     * @param onLoss receives the evidence when lost writes are detected
     */
    ChangeLogWatcher(
            StateStore store,
            EventLoop eventLoop,
            ChangeLog log,
            long watchDelayMicros,
            BooleanSupplier suspended,
            Consumer<RecoveryRecord> onRecord,
            Consumer<String> onLoss) {
        this.store = store;
        this.eventLoop = eventLoop;
        this.log = log;
        this.watchDelayMicros = watchDelayMicros;
        this.suspended = suspended;
        this.onRecord = onRecord;
        this.onLoss = onLoss;
    }

    /** Clears the change log and starts a new watch. */
    void restart() {
        startSession(++currentSession, true);
    }

    /**
     * Continues from the last revision that was not lost; clears the change log and starts a new watch if the log does
     * not reach back to that revision.
     */
    void resume(long keptRevision) {
        if (log.truncateAfter(keptRevision)) {
            watch(++currentSession, keptRevision);
        } else {
            restart();
        }
    }

    /** True if no watch has succeeded for so long that peers may have detected a loss in the meantime. */
    boolean isLagging() {
        return eventLoop.nowMicros() - lastWatchMicros > MAX_WATCH_SILENCE_MICROS;
    }

    /** Stops watching until the next restart or resume. */
    void stop() {
        currentSession++;
    }

    /**
     * @param fromPermanentKey true to watch from the last change of a key that is never removed: if that change is
     *     still stored after a loss, the change log covers everything that was lost
     */
    private void startSession(long session, boolean fromPermanentKey) {
        Runnable retry = () -> {
            if (session == currentSession) {
                eventLoop.schedule(RETRY_MICROS, () -> startSession(session, fromPermanentKey));
            }
        };
        CompletableFuture<Runnable> start = store.list(RecoveryRecord.KEY)
                .thenCombine(
                        store.get(LeaderElection.TERM_KEY),
                        (listing, term) -> listing.outcome() == StoreOutcome.OK && term.isConclusive()
                                ? () -> startSession(session, fromPermanentKey, listing, term)
                                : retry);
        eventLoop.unexpectedErrors().whenDone(start, "the start of the change log", Runnable::run, retry);
    }

    private void startSession(long session, boolean fromPermanentKey, ListResult listing, ReadResult term) {
        if (session != currentSession) {
            return;
        }
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
        Runnable retry = () -> eventLoop.schedule(RETRY_MICROS, () -> watch(session, since));
        eventLoop
                .unexpectedErrors()
                .whenDone(
                        store.watch(ALL_KEYS, since, WATCH_MICROS),
                        "the watch of all changes",
                        result -> handleWatch(session, since, result, retry),
                        retry);
    }

    private void handleWatch(long session, long since, WatchResult result, Runnable retry) {
        if (session != currentSession || suspended.getAsBoolean()) {
            return;
        }
        if (result.outcome() == StoreOutcome.OK) {
            lastWatchMicros = eventLoop.nowMicros();
            long watchedRevision = Math.max(since, result.storeRevision());
            recordEvents(result, watchedRevision);
            eventLoop.schedule(watchDelayMicros, () -> watch(session, watchedRevision));
        } else if (result.outcome() == StoreOutcome.COMPACTED) {
            startSession(session, false);
        } else {
            retry.run();
        }
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
