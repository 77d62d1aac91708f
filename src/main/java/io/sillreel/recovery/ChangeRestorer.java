package io.sillreel.recovery;

import com.fasterxml.jackson.databind.node.MissingNode;
import io.sillreel.statestore.CommitResult;
import io.sillreel.statestore.ReadResult;
import io.sillreel.statestore.StoreOutcome;
import io.sillreel.statestore.Transaction;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Determines which of the logged changes the state service has lost, and writes them again unless a newer value is
 * stored. Used on the event loop only.
 */
final class ChangeRestorer {
    private static final Logger LOG = LoggerFactory.getLogger(ChangeRestorer.class);
    private static final int MAX_CHANGES_PER_WRITE = 16;
    /** The protocol of the state service allows this many conditions for each change of a transaction. */
    private static final int CONDITIONS_PER_CHANGE = 4;

    private final RebuildLease lease;
    private final RevisionTracker revisions;
    private final int maxTransactionChanges;
    private Predicate<RecentChange> observedBeforeLoss = change -> false;
    /** Revisions of logged changes that are still stored. */
    private final NavigableSet<Long> keptRevisions = new TreeSet<>();

    private long firstLostRevision = Long.MAX_VALUE;
    private int restoredCount;
    private String oversizedKey;

    /** @param maxTransactionChanges number of changes that the state service takes in one transaction */
    ChangeRestorer(RebuildLease lease, RevisionTracker revisions, int maxTransactionChanges) {
        this.lease = lease;
        this.revisions = revisions;
        this.maxTransactionChanges = maxTransactionChanges;
    }

    /**
     * The latest revision before the loss of which a logged change is still stored, or 0 if there is none. A loss
     * covers all changes after its first one, so a later change that is found was written after the loss, at a revision
     * that was used a second time.
     */
    long keptRevision() {
        Long latest = keptRevisions.lower(firstLostRevision);
        return latest == null ? 0 : latest;
    }

    /** The number of keys whose value or removal has been restored. */
    int restoredCount() {
        return restoredCount;
    }

    /** A key that can't be restored, since its value exceeds the current size limit of the state service. */
    Optional<String> oversizedKey() {
        return Optional.ofNullable(oversizedKey);
    }

    /**
     * Restores the changes that are missing. A loss affects the latest changes, so the search ends at the first full
     * transaction of comparisons in which every key has its logged revision.
     *
     * @param newestFirst the newest known change of each key
     * @param isObservedBeforeLoss true for a change that was certainly stored before the loss
     * @param onDone run once everything that can be restored is stored
     */
    void restore(List<RecentChange> newestFirst, Predicate<RecentChange> isObservedBeforeLoss, Runnable onDone) {
        observedBeforeLoss = isObservedBeforeLoss;
        findMissing(new ArrayDeque<>(newestFirst), new ArrayDeque<>(), onDone);
    }

    private void findMissing(Deque<RecentChange> toCompare, Deque<RecentChange> missing, Runnable onDone) {
        if (toCompare.isEmpty()) {
            restoreMissing(missing, onDone);
        } else {
            findMissing(
                    pollBatch(toCompare, CONDITIONS_PER_CHANGE * maxTransactionChanges),
                    false,
                    toCompare,
                    missing,
                    onDone);
        }
    }

    /**
     * Compares the revisions of a batch with the stored ones, and repeats this without the keys that differ until all
     * remaining keys match.
     *
     * @param foundMissing true if a change of the batch has been found missing
     */
    private void findMissing(
            List<RecentChange> batch,
            boolean foundMissing,
            Deque<RecentChange> toCompare,
            Deque<RecentChange> missing,
            Runnable onDone) {
        Transaction transaction = new Transaction();
        batch.forEach(change -> transaction.requireRevision(change.key(), change.isRemoval() ? 0 : change.revision()));
        lease.store().commit(transaction).thenAccept(commit -> {
            if (lease.isEnded()) {
                return;
            }
            if (commit.outcome() == StoreOutcome.CONFLICT) {
                List<RecentChange> remaining = new ArrayList<>();
                Set<String> failed = new HashSet<>(commit.failedKeys());
                for (RecentChange change : batch) {
                    if (failed.isEmpty() || failed.contains(change.key())) {
                        recordMissing(change, missing);
                    } else {
                        remaining.add(change);
                    }
                }
                if (remaining.isEmpty()) {
                    findMissing(toCompare, missing, onDone);
                } else {
                    findMissing(remaining, true, toCompare, missing, onDone);
                }
            } else if (commit.outcome() != StoreOutcome.OK) {
                lease.retryLater(() -> findMissing(batch, foundMissing, toCompare, missing, onDone));
            } else {
                batch.forEach(this::recordKept);
                if (foundMissing) {
                    findMissing(toCompare, missing, onDone);
                } else {
                    restoreMissing(missing, onDone);
                }
            }
        });
    }

    private void recordMissing(RecentChange change, Deque<RecentChange> missing) {
        missing.add(change);
        if (!RestorePolicy.belongsToRecoveryTerm(change.key())) {
            firstLostRevision = Math.min(firstLostRevision, change.revision());
        }
    }

    private void recordKept(RecentChange change) {
        if (!change.isRemoval() && observedBeforeLoss.test(change)) {
            keptRevisions.add(change.revision());
        }
    }

    private static List<RecentChange> pollBatch(Deque<RecentChange> changes, int maxSize) {
        List<RecentChange> batch = new ArrayList<>();
        while (!changes.isEmpty() && batch.size() < maxSize) {
            batch.add(changes.poll());
        }
        return batch;
    }

    private static void requeueFirst(Deque<RecentChange> changes, List<RecentChange> batch) {
        for (int index = batch.size() - 1; index >= 0; index--) {
            changes.addFirst(batch.get(index));
        }
    }

    private void restoreMissing(Deque<RecentChange> missing, Runnable onDone) {
        if (missing.isEmpty()) {
            onDone.run();
        } else {
            restoreMissing(pollBatch(missing, Math.min(MAX_CHANGES_PER_WRITE, maxTransactionChanges)), missing, onDone);
        }
    }

    /** Reads the current values of the keys, and replaces those that have to be restored. */
    private void restoreMissing(List<RecentChange> batch, Deque<RecentChange> rest, Runnable onDone) {
        List<CompletableFuture<ReadResult>> reads = new ArrayList<>();
        batch.forEach(change -> reads.add(lease.store().get(change.key())));
        CompletableFuture.allOf(reads.toArray(CompletableFuture[]::new)).thenAccept(all -> {
            if (lease.isEnded()) {
                return;
            }
            if (reads.stream().anyMatch(read -> !read.join().isConclusive())) {
                lease.retryLater(() -> restoreMissing(batch, rest, onDone));
                return;
            }
            Transaction transaction = lease.newTransaction();
            for (int index = 0; index < batch.size(); index++) {
                addRestoration(transaction, batch.get(index), reads.get(index).join());
            }
            if (transaction.changeCount() == 0) {
                restoreMissing(rest, onDone);
                return;
            }
            lease.store()
                    .commit(transaction)
                    .thenAccept(commit -> handleCommit(commit, transaction.changeCount(), batch, rest, onDone));
        });
    }

    private void addRestoration(Transaction transaction, RecentChange change, ReadResult read) {
        var current = read.entry().isEmpty()
                ? MissingNode.getInstance()
                : read.entry().get().value();
        if (!RestorePolicy.shouldRestore(change, current, read.revision(), revisions.firstRevisionAfterLoss())) {
            return;
        }
        transaction.requireRevision(change.key(), read.revision());
        if (change.isRemoval()) {
            transaction.remove(change.key());
        } else {
            transaction.set(change.key(), change.jsonValue());
        }
    }

    private void handleCommit(
            CommitResult commit, int size, List<RecentChange> batch, Deque<RecentChange> rest, Runnable onDone) {
        if (lease.isEndedAfter(commit)) {
            return;
        }
        if (commit.outcome() == StoreOutcome.OK) {
            restoredCount += size;
            restoreMissing(rest, onDone);
        } else if (commit.outcome() == StoreOutcome.TOO_LARGE && batch.size() > 1) {
            requeueFirst(rest, batch.subList(1, batch.size()));
            restoreMissing(batch.subList(0, 1), rest, onDone);
        } else if (commit.outcome() == StoreOutcome.TOO_LARGE) {
            oversizedKey = batch.get(0).key();
            LOG.error("cannot restore {}: its value exceeds the size limit of the state service", oversizedKey);
            restoreMissing(rest, onDone);
        } else {
            lease.retryLater(() -> restoreMissing(batch, rest, onDone));
        }
    }
}
