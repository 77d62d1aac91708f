package io.sillreel.recovery;

import io.sillreel.http.EventLoop;
import io.sillreel.statestore.StateStore;
import io.sillreel.statestore.StoreOutcome;
import io.sillreel.statestore.Transaction;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;

/** Stores that a loss is known, so that every controller and every later leader knows of it. */
final class RecoveryGenerationStore {
    private static final long RETRY_MICROS = 300_000;

    private final StateStore store;
    private final EventLoop eventLoop;
    private final Supplier<RecoveryRecord> wanted;
    private final Predicate<RecoveryRecord> madeGood;
    private final Consumer<RecoveryRecord> onStored;
    private boolean storing;

    /**
     * @param wanted the verdict to store, or null if there is none
     * @param madeGood true if a closed verdict covers the wanted one: then nothing has to be stored
     * @param onStored told the verdict that is stored
     */
    RecoveryGenerationStore(
            StateStore store,
            EventLoop eventLoop,
            Supplier<RecoveryRecord> wanted,
            Predicate<RecoveryRecord> madeGood,
            Consumer<RecoveryRecord> onStored) {
        this.store = store;
        this.eventLoop = eventLoop;
        this.wanted = wanted;
        this.madeGood = madeGood;
        this.onStored = onStored;
    }

    /** Stores what is wanted, until it is stored or wanted no more. */
    void storeOpenRecord() {
        if (!storing && wanted.get() != null) {
            storing = true;
            read();
        }
    }

    private void read() {
        store.get(RecoveryRecord.KEY).thenAccept(read -> {
            RecoveryRecord verdict = wanted.get();
            if (verdict == null) {
                storing = false;
            } else if (!read.isConclusive()) {
                eventLoop.schedule(RETRY_MICROS, this::read);
            } else {
                RecoveryRecord stored = RecoveryRecord.of(read);
                if (stored.generation() >= verdict.generation() && (stored.open() || madeGood.test(stored))) {
                    storing = false;
                    onStored.accept(stored);
                } else {
                    write(verdict.above(stored.generation()), read.revision());
                }
            }
        });
    }

    private void write(RecoveryRecord verdict, long revision) {
        Transaction transaction =
                new Transaction().requireRevision(RecoveryRecord.KEY, revision).set(RecoveryRecord.KEY, verdict.json());
        store.commit(transaction).thenAccept(commit -> {
            if (commit.outcome() == StoreOutcome.OK) {
                storing = false;
                onStored.accept(verdict);
                storeOpenRecord();
            } else {
                eventLoop.schedule(RETRY_MICROS, this::read);
            }
        });
    }
}
