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

/** Finds out which of the remembered changes are gone, and makes them again where nothing newer is stored. */
final class ChangeRestorer {
    private static final Logger LOG = LoggerFactory.getLogger(ChangeRestorer.class);
    private static final int MAX_RESTORED_AT_ONCE = 16;
    /** The protocol allows so many conditions for each change that a transaction may hold. */
    private static final int CONDITIONS_PER_CHANGE = 4;

    private final RebuildLease term;
    private final StoreHistory history;
    private final int txnOps;
    private Predicate<RecentChange> isWitnessed = change -> false;
    /** Revisions of which a remembered change is still stored. */
    private final NavigableSet<Long> found = new TreeSet<>();

    private long firstLost = Long.MAX_VALUE;
    private int restored;
    private String tooLarge;

    /** @param txnOps how many changes a transaction may hold */
    ChangeRestorer(RebuildLease term, StoreHistory history, int txnOps) {
        this.term = term;
        this.history = history;
        this.txnOps = txnOps;
    }

    /**
     * The latest revision of which a remembered change is still stored, or 0. Once a change is lost all later ones are:
     * a later one that is found was stored since, under a revision that had meant something else.
     */
    long kept() {
        Long latest = found.lower(firstLost);
        return latest == null ? 0 : latest;
    }

    /** How many keys have been put back or removed again. */
    int restored() {
        return restored;
    }

    /** A key that can't be put back, since the state service takes only smaller values by now. */
    Optional<String> tooLarge() {
        return Optional.ofNullable(tooLarge);
    }

    /**
     * Makes the changes again that are gone. What was lost is what came last, so the search ends where a whole
     * transaction of comparisons finds everything as it is remembered.
     *
     * @param newestFirst the newest known change of each key
     * @param witnessed true for a change that was certainly seen before the loss
     * @param then run once all that can be is stored
     */
    void restore(List<RecentChange> newestFirst, Predicate<RecentChange> witnessed, Runnable then) {
        isWitnessed = witnessed;
        compare(new ArrayDeque<>(newestFirst), new ArrayDeque<>(), then);
    }

    private void compare(Deque<RecentChange> toCompare, Deque<RecentChange> missing, Runnable then) {
        if (toCompare.isEmpty()) {
            write(missing, then);
        } else {
            compare(takeFrom(toCompare, CONDITIONS_PER_CHANGE * txnOps), false, toCompare, missing, then);
        }
    }

    /**
     * Compares a batch again and again without what was named as different, until the rest is said to be as remembered.
     *
     * @param someGone true if something of the batch has been found to be gone
     */
    private void compare(
            List<RecentChange> batch,
            boolean someGone,
            Deque<RecentChange> toCompare,
            Deque<RecentChange> missing,
            Runnable then) {
        Transaction transaction = new Transaction();
        batch.forEach(change -> transaction.requireRevision(change.key(), change.isRemoval() ? 0 : change.revision()));
        term.store().commit(transaction).thenAccept(commit -> {
            if (term.isOver()) {
                return;
            }
            if (commit.outcome() == StoreOutcome.CONFLICT) {
                List<RecentChange> rest = new ArrayList<>();
                Set<String> failed = new HashSet<>(commit.failedKeys());
                for (RecentChange change : batch) {
                    if (failed.isEmpty() || failed.contains(change.key())) {
                        gone(change, missing);
                    } else {
                        rest.add(change);
                    }
                }
                if (rest.isEmpty()) {
                    compare(toCompare, missing, then);
                } else {
                    compare(rest, true, toCompare, missing, then);
                }
            } else if (commit.outcome() != StoreOutcome.OK) {
                term.later(() -> compare(batch, someGone, toCompare, missing, then));
            } else {
                batch.forEach(this::found);
                if (someGone) {
                    compare(toCompare, missing, then);
                } else {
                    write(missing, then);
                }
            }
        });
    }

    private void gone(RecentChange change, Deque<RecentChange> missing) {
        missing.add(change);
        if (!RestorePolicy.belongsToTerm(change.key())) {
            firstLost = Math.min(firstLost, change.revision());
        }
    }

    private void found(RecentChange change) {
        if (!change.isRemoval() && isWitnessed.test(change)) {
            found.add(change.revision());
        }
    }

    private static List<RecentChange> takeFrom(Deque<RecentChange> changes, int most) {
        List<RecentChange> batch = new ArrayList<>();
        while (!changes.isEmpty() && batch.size() < most) {
            batch.add(changes.poll());
        }
        return batch;
    }

    private static void putBack(Deque<RecentChange> changes, List<RecentChange> batch) {
        for (int index = batch.size() - 1; index >= 0; index--) {
            changes.addFirst(batch.get(index));
        }
    }

    private void write(Deque<RecentChange> missing, Runnable then) {
        if (missing.isEmpty()) {
            then.run();
        } else {
            write(takeFrom(missing, Math.min(MAX_RESTORED_AT_ONCE, txnOps)), missing, then);
        }
    }

    /** Reads what the keys hold now, and writes what is to replace it. */
    private void write(List<RecentChange> batch, Deque<RecentChange> rest, Runnable then) {
        List<CompletableFuture<ReadResult>> reads = new ArrayList<>();
        batch.forEach(change -> reads.add(term.store().get(change.key())));
        CompletableFuture.allOf(reads.toArray(CompletableFuture[]::new)).thenAccept(all -> {
            if (term.isOver()) {
                return;
            }
            if (reads.stream().anyMatch(read -> !read.join().isConclusive())) {
                term.later(() -> write(batch, rest, then));
                return;
            }
            Transaction transaction = term.txn();
            for (int index = 0; index < batch.size(); index++) {
                add(transaction, batch.get(index), reads.get(index).join());
            }
            if (transaction.changeCount() == 0) {
                write(rest, then);
                return;
            }
            term.store()
                    .commit(transaction)
                    .thenAccept(commit -> settle(commit, transaction.changeCount(), batch, rest, then));
        });
    }

    private void add(Transaction transaction, RecentChange change, ReadResult read) {
        var current = read.entry().isEmpty()
                ? MissingNode.getInstance()
                : read.entry().get().value();
        if (!RestorePolicy.isToBeRestored(change, current, read.revision(), history.returnedAt())) {
            return;
        }
        transaction.requireRevision(change.key(), read.revision());
        if (change.isRemoval()) {
            transaction.remove(change.key());
        } else {
            transaction.set(change.key(), change.json());
        }
    }

    private void settle(
            CommitResult commit, int size, List<RecentChange> batch, Deque<RecentChange> rest, Runnable then) {
        if (term.isOverAfter(commit)) {
            return;
        }
        if (commit.outcome() == StoreOutcome.OK) {
            restored += size;
            write(rest, then);
        } else if (commit.outcome() == StoreOutcome.TOO_LARGE && batch.size() > 1) {
            putBack(rest, batch.subList(1, batch.size()));
            write(batch.subList(0, 1), rest, then);
        } else if (commit.outcome() == StoreOutcome.TOO_LARGE) {
            tooLarge = batch.get(0).key();
            LOG.error("{} is larger than the state service takes now, and can't be put back", tooLarge);
            write(rest, then);
        } else {
            term.later(() -> write(batch, rest, then));
        }
    }
}
