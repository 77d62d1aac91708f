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
final class ChangeFollower {
    private static final String ALL_KEYS = "";
    private static final long WATCH_MICROS = 2_000_000;
    private static final long RETRY_MICROS = 500_000;
    /** A watch without a change, its answer and the pause before the next one take less. */
    private static final long BEHIND_MICROS = 3_500_000;

    private final StateStore store;
    private final EventLoop eventLoop;
    private final ChangeLog log;
    private final long pauseMicros;
    private final BooleanSupplier paused;
    private final Consumer<RecoveryRecord> onRecord;
    private final Consumer<String> onLoss;
    /** Counts how often the following has begun anew; what was asked for before ends then. */
    private long run;

    private long followedMicros;

    /**
     * @param pauseMicros how long changes gather before they are asked for
     * @param paused true while nothing is to be followed
     * @param onRecord told of each stored verdict
     * @param onLoss told what shows that writes have been lost
     */
    ChangeFollower(
            StateStore store,
            EventLoop eventLoop,
            ChangeLog log,
            long pauseMicros,
            BooleanSupplier paused,
            Consumer<RecoveryRecord> onRecord,
            Consumer<String> onLoss) {
        this.store = store;
        this.eventLoop = eventLoop;
        this.log = log;
        this.pauseMicros = pauseMicros;
        this.paused = paused;
        this.onRecord = onRecord;
        this.onLoss = onLoss;
    }

    /** Begins to follow anew; what was remembered is forgotten. */
    void restart() {
        begin(++run, true);
    }

    /** Goes on from a revision up to which nothing had been lost, or begins anew where that is not known. */
    void resume(long kept) {
        if (log.rebase(kept)) {
            follow(++run, kept);
        } else {
            restart();
        }
    }

    /** True if changes have not been heard of for so long that a loss may have been noticed elsewhere meanwhile. */
    boolean isBehind() {
        return eventLoop.nowMicros() - followedMicros > BEHIND_MICROS;
    }

    /** Ends the following until it is begun anew. */
    void stop() {
        run++;
    }

    /**
     * @param fromLandmark true to follow from the last change of a key that is never removed: if that is still there
     *     after a loss, then all that was lost is remembered
     */
    private void begin(long thisRun, boolean fromLandmark) {
        store.list(RecoveryRecord.KEY).thenAcceptBoth(store.get(LeaderElection.TERM_KEY), (verdict, term) -> {
            if (thisRun != run) {
                return;
            }
            if (verdict.outcome() == StoreOutcome.OK && term.isConclusive()) {
                begin(thisRun, fromLandmark, verdict, term);
            } else {
                eventLoop.schedule(RETRY_MICROS, () -> begin(thisRun, fromLandmark));
            }
        });
    }

    private void begin(long thisRun, boolean fromLandmark, ListResult verdict, ReadResult term) {
        Optional<StoredEntry> stored = verdict.entries().stream()
                .filter(entry -> entry.key().equals(RecoveryRecord.KEY))
                .findFirst();
        onRecord.accept(stored.map(entry -> RecoveryRecord.of(entry.value())).orElse(RecoveryRecord.NONE));
        if (thisRun != run) {
            return;
        }
        Stream<StoredEntry> landmarks = Stream.concat(stored.stream(), term.entry().stream());
        Optional<StoredEntry> latest = landmarks.max(Comparator.comparingLong(StoredEntry::revision));
        long since = fromLandmark
                ? latest.map(StoredEntry::revision).orElse(verdict.storeRevision())
                : verdict.storeRevision();
        log.restart(since, eventLoop.wallMicros());
        latest.ifPresent(entry -> log.addLandmark(RecentChange.of(entry.key(), entry.value(), entry.revision())));
        followedMicros = eventLoop.nowMicros();
        follow(thisRun, since);
    }

    private void follow(long thisRun, long since) {
        if (thisRun != run || paused.getAsBoolean()) {
            return;
        }
        store.watch(ALL_KEYS, since, WATCH_MICROS).thenAccept(result -> {
            if (thisRun != run || paused.getAsBoolean()) {
                return;
            }
            if (result.outcome() == StoreOutcome.OK) {
                followedMicros = eventLoop.nowMicros();
                long reached = Math.max(since, result.storeRevision());
                take(result, reached);
                eventLoop.schedule(pauseMicros, () -> follow(thisRun, reached));
            } else if (result.outcome() == StoreOutcome.COMPACTED) {
                begin(thisRun, false);
            } else {
                eventLoop.schedule(RETRY_MICROS, () -> follow(thisRun, since));
            }
        });
    }

    private void take(WatchResult result, long reached) {
        List<RecentChange> changes = new ArrayList<>();
        for (WatchEvent change : result.events()) {
            changes.add(RecentChange.of(change.key(), change.value(), change.revision()));
            if (change.key().equals(RecoveryRecord.KEY) && change.value() != null) {
                onRecord.accept(RecoveryRecord.of(change.value()));
            }
        }
        log.addFollowed(changes, reached)
                .ifPresent(key -> onLoss.accept("the last change of " + key + " is not among those that were stored"));
    }
}
