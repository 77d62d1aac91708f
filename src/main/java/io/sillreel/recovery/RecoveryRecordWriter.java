package io.sillreel.recovery;

import io.sillreel.http.EventLoop;
import io.sillreel.statestore.StateStore;
import io.sillreel.statestore.StoreOutcome;
import io.sillreel.statestore.Transaction;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;

/** Stores the record of an open loss, from which all controllers and later leaders learn of the loss. */
final class RecoveryRecordWriter {
    private static final long RETRY_MICROS = 300_000;

    private final StateStore store;
    private final EventLoop eventLoop;
    private final Supplier<RecoveryRecord> openRecord;
    private final Predicate<RecoveryRecord> isRepairedBy;
    private final Consumer<RecoveryRecord> onStored;
    private boolean storing;

    /**
     * @param openRecord supplies the record to store, or null if there is none
     * @param isRepairedBy true if a closed record covers the open loss, so that nothing has to be stored
     * @param onStored receives the record that is stored
     */
    RecoveryRecordWriter(
            StateStore store,
            EventLoop eventLoop,
            Supplier<RecoveryRecord> openRecord,
            Predicate<RecoveryRecord> isRepairedBy,
            Consumer<RecoveryRecord> onStored) {
        this.store = store;
        this.eventLoop = eventLoop;
        this.openRecord = openRecord;
        this.isRepairedBy = isRepairedBy;
        this.onStored = onStored;
    }

    /** Stores the open record, with retries until it is stored or no longer needed. */
    void storeOpenRecord() {
        if (!storing && openRecord.get() != null) {
            storing = true;
            read();
        }
    }

    private void read() {
        whenDone(store.get(RecoveryRecord.KEY), read -> {
            RecoveryRecord record = openRecord.get();
            if (record == null) {
                storing = false;
            } else if (!read.isConclusive()) {
                eventLoop.schedule(RETRY_MICROS, this::read);
            } else {
                RecoveryRecord stored = RecoveryRecord.of(read);
                if (stored.generation() >= record.generation() && (stored.open() || isRepairedBy.test(stored))) {
                    storing = false;
                    onStored.accept(stored);
                } else {
                    write(record.withGenerationAbove(stored.generation()), read.revision());
                }
            }
        });
    }

    private void write(RecoveryRecord record, long revision) {
        Transaction transaction = new Transaction()
                .requireRevision(RecoveryRecord.KEY, revision)
                .set(RecoveryRecord.KEY, record.toJson());
        whenDone(store.commit(transaction), commit -> {
            if (commit.outcome() == StoreOutcome.OK) {
                storing = false;
                onStored.accept(record);
                storeOpenRecord();
            } else {
                eventLoop.schedule(RETRY_MICROS, this::read);
            }
        });
    }

    private <T> void whenDone(CompletableFuture<T> future, Consumer<T> callback) {
        eventLoop
                .unexpectedErrors()
                .whenDone(future, "the recovery record", callback, () -> eventLoop.schedule(RETRY_MICROS, this::read));
    }
}
