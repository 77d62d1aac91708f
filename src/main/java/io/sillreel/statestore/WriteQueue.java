package io.sillreel.statestore;

import io.sillreel.http.EventLoop;
import io.sillreel.http.UnexpectedErrors;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes the leader's state to the state service, one transaction at a time. Each transaction requires the revision of
 * the leader key as a fencing token, so that a delayed transaction of a former leader fails. It also requires the known
 * revision of each changed key, so that a delayed transaction of this leader whose response was lost cannot undo a
 * later one. Thread-safe; all state is guarded by this.
 */
public final class WriteQueue {
    private static final Logger LOG = LoggerFactory.getLogger(WriteQueue.class);
    /** How long a write is held back so that more writes share its transaction. */
    private static final long BATCHING_DELAY_MICROS = 5_000;

    private static final long RETRY_DELAY_MICROS = 250_000;
    /** Delay before the next attempt if the write rate allows no write now. */
    private static final long RATE_LIMITED_DELAY_MICROS = 50_000;

    private static final long STUCK_AFTER_MICROS = 15_000_000;
    /** Writes reserved for cancellations and admissions on this controller, which bypass the queue. */
    private static final double RESERVED_WRITES = 2;
    /** The maximum fraction of the burst that {@link #RESERVED_WRITES} may take. */
    private static final double MAX_RESERVED_FRACTION = 0.25;
    /** The fraction of the burst that progress writes leave to more urgent ones. */
    private static final double PROGRESS_RESERVED_FRACTION = 0.3;

    private final StateStore store;
    private final EventLoop eventLoop;
    private final String leaderKey;
    private final long leaderRevision;
    private final int maxChangesPerTransaction;
    private final Consumer<String> abandonTerm;
    private final WriteBacklog backlog = new WriteBacklog();
    private boolean writeInProgress;
    private long writeStartedAtMicros;
    private boolean closed;

    /**
     * @param leaderRevision the revision of the leader key when this controller became the leader
     * @param abandonTerm called with the reason when a write shows that the leader key has changed, or that stored
     *     state is newer than that of this term; has to close the queue
     */
    public WriteQueue(
            StateStore store,
            EventLoop eventLoop,
            String leaderKey,
            long leaderRevision,
            int maxChangesPerTransaction,
            Consumer<String> abandonTerm) {
        this.store = store;
        this.eventLoop = eventLoop;
        this.leaderKey = leaderKey;
        this.leaderRevision = leaderRevision;
        this.maxChangesPerTransaction = maxChangesPerTransaction;
        this.abandonTerm = abandonTerm;
    }

    /** Queues the write unless a write of the same key is already pending. */
    public synchronized void enqueue(PendingWrite write) {
        add(write);
        scheduleWrite(BATCHING_DELAY_MICROS);
    }

    /** Stops writing and discards all pending writes; the result of a transaction in progress is not reported. */
    public synchronized void close() {
        closed = true;
        backlog.clear();
    }

    /** The number of pending writes. */
    public synchronized int pendingCount() {
        return backlog.size();
    }

    /**
     * The number of pending writes other than progress. Progress writes are held back on purpose, so their number does
     * not indicate whether the service falls behind.
     */
    public synchronized int urgentCount() {
        return backlog.countUrgent();
    }

    /** True if one transaction has been in progress for longer than its timeouts allow, which indicates a bug. */
    public synchronized boolean isStuck() {
        return writeInProgress && eventLoop.nowMicros() - writeStartedAtMicros > STUCK_AFTER_MICROS;
    }

    private synchronized void add(PendingWrite write) {
        backlog.add(write, eventLoop.nowMicros());
    }

    private synchronized void scheduleWrite(long delayMicros) {
        if (!writeInProgress && !closed) {
            writeInProgress = true;
            writeStartedAtMicros = eventLoop.nowMicros();
            eventLoop.schedule(delayMicros, this::writeNextBatch);
        }
    }

    private void scheduleNextWrite(long delayMicros) {
        synchronized (this) {
            writeInProgress = false;
            if (backlog.isEmpty()) {
                return;
            }
        }
        scheduleWrite(delayMicros);
    }

    private void writeNextBatch() {
        UnexpectedErrors errors = eventLoop.unexpectedErrors();
        if (!errors.runConfined("a batch of writes", this::sendNextBatch)) {
            scheduleNextWrite(RETRY_DELAY_MICROS);
        }
    }

    private void sendNextBatch() {
        WriteBatch batch;
        synchronized (this) {
            if (closed || backlog.isEmpty()) {
                writeInProgress = false;
                return;
            }
            batch = takeBatch();
        }
        if (batch.writes().isEmpty()) {
            scheduleNextWrite(RATE_LIMITED_DELAY_MICROS);
            return;
        }
        eventLoop
                .unexpectedErrors()
                .whenDone(
                        store.commit(batch.transaction()),
                        "the result of a batch of writes",
                        commit -> handleResult(batch.writes(), commit),
                        () -> handleResult(batch.writes(), new CommitResult(StoreOutcome.UNKNOWN, 0, List.of())));
    }

    /** Takes as many due writes from the backlog as may be sent now. */
    private WriteBatch takeBatch() {
        WriteBatch batch = new WriteBatch(leaderKey, leaderRevision);
        double burst = store.maxWriteBurst();
        double available = store.availableWrites() - Math.min(RESERVED_WRITES, MAX_RESERVED_FRACTION * burst);
        for (PendingWrite write : backlog.dueByUrgency(eventLoop.nowMicros())) {
            // Read before change(), after which the write regards its urgent part as sent.
            boolean isProgress = write.urgency() == WriteUrgency.PROGRESS;
            double allowed = isProgress ? available - PROGRESS_RESERVED_FRACTION * burst : available;
            if (!takeWrite(write, batch, Math.min(maxChangesPerTransaction, allowed))) {
                break;
            }
        }
        return batch;
    }

    /**
     * Moves a write from the backlog to the batch, or its prerequisites to the backlog. A write that can't be encoded
     * is dropped until it is queued again, since it would hold up all others.
     *
     * @return false if the batch has no room for it
     */
    private boolean takeWrite(PendingWrite write, WriteBatch batch, double maxChanges) {
        try {
            List<PendingWrite> prerequisites = write.prerequisites();
            if (!prerequisites.isEmpty()) {
                backlog.remove(write);
                prerequisites.forEach(this::add);
                return true;
            }
            KeyChange change = write.change();
            if (!change.isNone() && !batch.tryAdd(write, change, backlog.isExclusive(write), maxChanges)) {
                return false;
            }
        } catch (Throwable e) {
            eventLoop.unexpectedErrors().report("the write of " + write.key(), e);
        }
        backlog.remove(write);
        return true;
    }

    private synchronized boolean isClosed() {
        return closed;
    }

    private void handleResult(List<PendingWrite> writes, CommitResult commit) {
        if (isClosed()) {
            return;
        }
        switch (commit.outcome()) {
            case OK -> handleStored(writes, commit.storeRevision());
            case CONFLICT -> handleConflict(writes, commit.failedKeys());
            case TOO_LARGE -> handleTooLarge(writes);
            case UNKNOWN -> {
                LOG.info("transaction of {} keys got no response; rereading their revisions", writes.size());
                rereadRevisions(writes);
            }
            default -> {
                writes.forEach(this::add);
                scheduleNextWrite(RETRY_DELAY_MICROS);
            }
        }
    }

    private void handleStored(List<PendingWrite> writes, long revision) {
        setExclusive(writes, false);
        writes.forEach(write -> notifyResult(write, stored -> stored.onStored(revision)));
        scheduleNextWrite(BATCHING_DELAY_MICROS);
    }

    private void handleConflict(List<PendingWrite> writes, List<String> failedKeys) {
        if (failedKeys.contains(leaderKey)) {
            abandonTerm.accept("the leader key was overwritten");
            return;
        }
        List<PendingWrite> conflicting = new ArrayList<>();
        for (PendingWrite write : writes) {
            if (write.requiredAbsentKey().filter(failedKeys::contains).isPresent()) {
                notifyResult(write, PendingWrite::onPreconditionFailed);
            } else if (failedKeys.contains(write.key())) {
                conflicting.add(write);
            } else {
                add(write);
            }
        }
        rereadRevisions(conflicting);
    }

    /** Writes that are too large together are sent one by one; a write that is too large on its own is not retried. */
    private void handleTooLarge(List<PendingWrite> writes) {
        if (writes.size() > 1) {
            setExclusive(writes, true);
            writes.forEach(this::add);
        } else {
            PendingWrite write = writes.get(0);
            int bytes = write.change().bytes();
            LOG.error(
                    "state service rejected the write of {}: value of {} bytes is too large; not retried unchanged",
                    write.key(),
                    bytes);
            notifyResult(write, PendingWrite::onTooLarge);
        }
        scheduleNextWrite(BATCHING_DELAY_MICROS);
    }

    private synchronized void setExclusive(List<PendingWrite> writes, boolean exclusive) {
        writes.forEach(write -> backlog.setExclusive(write, exclusive));
    }

    /** Runs a callback; an error in it must not prevent other writes. */
    private void notifyResult(PendingWrite write, Consumer<PendingWrite> callback) {
        eventLoop
                .unexpectedErrors()
                .runConfined("the result of the write of " + write.key(), () -> callback.accept(write));
    }

    /**
     * Reads the current revisions of the keys and queues the writes again. If a transaction that got no response is
     * executed after these reads, the next write of the same key fails instead of undoing it.
     */
    private void rereadRevisions(List<PendingWrite> writes) {
        if (writes.isEmpty()) {
            scheduleNextWrite(BATCHING_DELAY_MICROS);
            return;
        }
        List<CompletableFuture<ReadResult>> reads = new ArrayList<>();
        writes.forEach(write -> reads.add(store.get(write.key())));
        Runnable retryAll = () -> {
            writes.forEach(this::add);
            scheduleNextWrite(RETRY_DELAY_MICROS);
        };
        eventLoop
                .unexpectedErrors()
                .whenDone(
                        CompletableFuture.allOf(reads.toArray(CompletableFuture[]::new)),
                        "the revisions of a batch of writes",
                        all -> {
                            for (int i = 0; i < writes.size(); i++) {
                                requeue(writes.get(i), reads.get(i).join());
                            }
                            scheduleNextWrite(RETRY_DELAY_MICROS);
                        },
                        retryAll);
    }

    /** Queues a write again whose key has been read, unless the stored value makes that needless or wrong. */
    private void requeue(PendingWrite write, ReadResult read) {
        ConflictResolution resolution = read.isConclusive()
                ? eventLoop
                        .unexpectedErrors()
                        .callConfined(
                                "the stored value of " + write.key(),
                                () -> write.onConflict(read.entry()),
                                ConflictResolution.DISCARD)
                : ConflictResolution.RETRY;
        switch (resolution) {
            case RETRY -> add(write);
            case ABANDON_TERM -> abandonTerm.accept("the stored value of " + write.key() + " is newer than this term");
            default -> LOG.info("write of {} is not needed any more", write.key());
        }
    }
}
