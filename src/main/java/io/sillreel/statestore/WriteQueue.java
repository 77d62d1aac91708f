package io.sillreel.statestore;

import io.sillreel.http.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The lease leader's only way to write: changes merged into one transaction at a time, each conditional on the leader
 * key's revision and on the changed key's own. So neither a former leader's late transaction nor an own one whose
 * answer was lost can undo what was written after it.
 */
public final class WriteQueue {
    private static final Logger LOG = LoggerFactory.getLogger(WriteQueue.class);
    private static final long BATCHING_DELAY_MICROS = 5_000;
    private static final long RETRY_DELAY_MICROS = 250_000;
    private static final long RATE_LIMITED_DELAY_MICROS = 50_000;
    private static final long STUCK_AFTER_MICROS = 15_000_000;
    /**
     * Writes left over for cancellations and admissions on this controller, and the most of a low rate that this may
     * be.
     */
    private static final double RESERVED_WRITES = 2;

    private static final double MAX_RESERVED_FRACTION = 0.25;
    /** Progress waits so long for more of its kind, and leaves so much of the rate to what can't wait. */
    private static final long PROGRESS_BATCHING_DELAY_MICROS = 2_000_000;

    private static final double PROGRESS_RESERVED_FRACTION = 0.3;

    private final StateStore store;
    private final EventLoop eventLoop;
    private final String leaderKey;
    private final long leaderRevision;
    private final int maxChangesPerTransaction;
    private final Runnable leadershipListener;
    private final Map<String, PendingWrite> pending = new LinkedHashMap<>();
    private final Map<String, Long> queuedAtMicros = new HashMap<>();
    /** Written one by one, since together they were too large. */
    private final Set<String> writtenAlone = new HashSet<>();

    private boolean writeInProgress;
    private long writeStartedAtMicros;
    private boolean closed;

    /**
     * @param leaderStamp the stamp under which this controller became the leader
     * @param deposed called once a write shows that another controller leads
     */
    public WriteQueue(
            StateStore store,
            EventLoop eventLoop,
            String leaderKey,
            long leaderRevision,
            int txnOps,
            Runnable deposed) {
        this.store = store;
        this.eventLoop = eventLoop;
        this.leaderKey = leaderKey;
        this.leaderRevision = leaderRevision;
        this.maxChangesPerTransaction = txnOps;
        this.leadershipListener = deposed;
    }

    /** Queues the item unless it waits already. */
    public synchronized void enqueue(PendingWrite item) {
        add(item);
        scheduleWrite(BATCHING_DELAY_MICROS);
    }

    private synchronized void add(PendingWrite item) {
        if (pending.putIfAbsent(item.key(), item) == null) {
            queuedAtMicros.putIfAbsent(item.key(), eventLoop.nowMicros());
        }
    }

    private void remove(PendingWrite item) {
        pending.remove(item.key());
        queuedAtMicros.remove(item.key());
    }

    /** Ends all writing; what waits is dropped. */
    public synchronized void close() {
        closed = true;
        pending.clear();
        queuedAtMicros.clear();
    }

    public synchronized int pendingCount() {
        return pending.size();
    }

    /**
     * Changes that go before progress, which gathers on purpose and says nothing about how far the store has fallen
     * behind.
     */
    public synchronized long urgentCount() {
        return pending.values().stream()
                .filter(item -> item.urgency() != WriteUrgency.PROGRESS)
                .count();
    }

    /** True if one write has been under way for longer than any takes: something here has gone wrong. */
    public synchronized boolean isStuck() {
        return writeInProgress && eventLoop.nowMicros() - writeStartedAtMicros > STUCK_AFTER_MICROS;
    }

    private synchronized void scheduleWrite(long delayMicros) {
        if (!writeInProgress && !closed) {
            writeInProgress = true;
            writeStartedAtMicros = eventLoop.nowMicros();
            eventLoop.schedule(delayMicros, this::write);
        }
    }

    private void write() {
        WriteBatch batch;
        synchronized (this) {
            if (closed || pending.isEmpty()) {
                writeInProgress = false;
                return;
            }
            batch = fillBatch();
        }
        if (batch.writes().isEmpty()) {
            scheduleNext(RATE_LIMITED_DELAY_MICROS);
            return;
        }
        store.commit(batch.transaction()).thenAccept(commit -> handleResult(batch.writes(), commit));
    }

    /** Takes as much of what waits as may be written now, in the order of its urgency. */
    private WriteBatch fillBatch() {
        WriteBatch batch = new WriteBatch(leaderKey, leaderRevision, item -> writtenAlone.contains(item.key()));
        double burst = store.maxWriteBurst();
        double available = store.availableWrites() - Math.min(RESERVED_WRITES, MAX_RESERVED_FRACTION * burst);
        for (PendingWrite item : dueByUrgency()) {
            // Asked for before the changes, which count what is urgent about the item as sent.
            boolean progress = item.urgency() == WriteUrgency.PROGRESS;
            double room = Math.min(
                    maxChangesPerTransaction, progress ? available - PROGRESS_RESERVED_FRACTION * burst : available);
            List<PendingWrite> first = item.prerequisites();
            if (!first.isEmpty()) {
                remove(item);
                first.forEach(this::add);
                continue;
            }
            KeyChange change = item.change();
            if (change.isNone()) {
                remove(item);
                continue;
            }
            if (!batch.add(item, change, room)) {
                break;
            }
            remove(item);
        }
        return batch;
    }

    /** What is due, the most urgent first; among equals what has waited longest. */
    private List<PendingWrite> dueByUrgency() {
        List<List<PendingWrite>> byUrgency = new ArrayList<>();
        for (int i = 0; i < WriteUrgency.values().length; i++) {
            byUrgency.add(new ArrayList<>());
        }
        long now = eventLoop.nowMicros();
        for (PendingWrite item : pending.values()) {
            WriteUrgency urgency = item.urgency();
            if (urgency != WriteUrgency.PROGRESS
                    || now - queuedAtMicros.get(item.key()) >= PROGRESS_BATCHING_DELAY_MICROS) {
                byUrgency.get(urgency.ordinal()).add(item);
            }
        }
        List<PendingWrite> due = new ArrayList<>();
        byUrgency.forEach(due::addAll);
        return due;
    }

    private void scheduleNext(long delayMicros) {
        synchronized (this) {
            writeInProgress = false;
            if (pending.isEmpty()) {
                return;
            }
        }
        scheduleWrite(delayMicros);
    }

    private synchronized boolean isClosed() {
        return closed;
    }

    private void handleResult(List<PendingWrite> batch, CommitResult commit) {
        if (isClosed()) {
            return;
        }
        if (commit.outcome() == StoreOutcome.OK) {
            synchronized (this) {
                batch.forEach(item -> writtenAlone.remove(item.key()));
            }
            batch.forEach(item -> notifyWrite(item, each -> each.onStored(commit.storeRevision())));
            scheduleNext(BATCHING_DELAY_MICROS);
            return;
        }
        if (commit.outcome() == StoreOutcome.CONFLICT && commit.failedKeys().contains(leaderKey)) {
            leadershipListener.run();
            return;
        }
        if (commit.outcome() == StoreOutcome.CONFLICT) {
            List<PendingWrite> moved = new ArrayList<>();
            for (PendingWrite item : batch) {
                if (item.requiredAbsentKey()
                        .filter(commit.failedKeys()::contains)
                        .isPresent()) {
                    notifyWrite(item, PendingWrite::onPreconditionFailed);
                } else if (commit.failedKeys().contains(item.key())) {
                    moved.add(item);
                } else {
                    add(item);
                }
            }
            rereadRevisions(moved);
            return;
        }
        if (commit.outcome() == StoreOutcome.TOO_LARGE) {
            handleTooLarge(batch);
            scheduleNext(BATCHING_DELAY_MICROS);
            return;
        }
        if (commit.outcome() == StoreOutcome.UNKNOWN) {
            LOG.info("a write of {} keys got no answer, reading them again", batch.size());
            rereadRevisions(batch);
            return;
        }
        batch.forEach(this::add);
        scheduleNext(RETRY_DELAY_MICROS);
    }

    /** The same is never sent again: what was refused together goes one by one, and what was refused alone waits. */
    private void handleTooLarge(List<PendingWrite> batch) {
        if (batch.size() > 1) {
            batch.forEach(item -> {
                synchronized (this) {
                    writtenAlone.add(item.key());
                }
                add(item);
            });
            return;
        }
        PendingWrite item = batch.get(0);
        int bytes = item.change().bytes();
        LOG.error(
                "{} is refused by the state service with {} bytes, and is not written again as it is",
                item.key(),
                bytes);
        notifyWrite(item, PendingWrite::onTooLarge);
    }

    /** One item that can't take what became of its write must not keep all others from being written. */
    private static void notifyWrite(PendingWrite item, Consumer<PendingWrite> result) {
        try {
            result.accept(item);
        } catch (RuntimeException e) {
            LOG.error("{} could not take what became of its write", item.key(), e);
        }
    }

    /** After an unknown outcome the stamps are read anew; a late success then fails the next write, not the data. */
    private void rereadRevisions(List<PendingWrite> items) {
        if (items.isEmpty()) {
            scheduleNext(BATCHING_DELAY_MICROS);
            return;
        }
        List<CompletableFuture<ReadResult>> reads = new ArrayList<>();
        items.forEach(item -> reads.add(store.get(item.key())));
        CompletableFuture.allOf(reads.toArray(CompletableFuture[]::new)).thenRun(() -> {
            for (int i = 0; i < items.size(); i++) {
                if (reads.get(i).join().isConclusive()) {
                    items.get(i).onConflict(reads.get(i).join().revision());
                }
                add(items.get(i));
            }
            scheduleNext(RETRY_DELAY_MICROS);
        });
    }
}
