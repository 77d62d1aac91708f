package io.sillreel.admission;

import io.sillreel.statestore.CommitResult;
import io.sillreel.statestore.StateStore;
import io.sillreel.statestore.StoreOutcome;
import io.sillreel.statestore.Transaction;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * Compares the revisions of any number of keys with those in the state service, in as many transactions as necessary.
 * The transactions need not see the same snapshot of the store, since a cancellation is final.
 */
final class RevisionComparison {
    /** The protocol of the state service allows this many conditions for each change of a transaction. */
    private static final int CONDITIONS_PER_CHANGE = 4;

    private final StateStore store;
    private final int maxConditions;

    RevisionComparison(StateStore store, int maxTransactionChanges) {
        this.store = store;
        this.maxConditions = maxConditions(maxTransactionChanges);
    }

    /** The maximum number of conditions in one transaction. */
    static int maxConditions(int maxTransactionChanges) {
        return CONDITIONS_PER_CHANGE * maxTransactionChanges;
    }

    /** The maximum number of conditions in one transaction of this comparison. */
    int maxConditions() {
        return maxConditions;
    }

    /** The number of transactions that this many conditions require. */
    int transactionsFor(int conditions) {
        return Math.max(1, (conditions + maxConditions - 1) / maxConditions);
    }

    /**
     * Compares the revisions.
     *
     * @param revisions expected revisions by key, 0 for a key that must not exist
     * @return OK if all revisions are as expected; CONFLICT with all keys whose revisions differ; otherwise the outcome
     *     of a transaction that failed
     */
    CompletableFuture<CommitResult> compare(Map<String, Long> revisions) {
        List<CompletableFuture<CommitResult>> commits = new ArrayList<>();
        Transaction transaction = new Transaction();
        int size = 0;
        for (Map.Entry<String, Long> expected : revisions.entrySet()) {
            if (size == maxConditions) {
                commits.add(store.commit(transaction));
                transaction = new Transaction();
                size = 0;
            }
            transaction.requireRevision(expected.getKey(), expected.getValue());
            size++;
        }
        commits.add(store.commit(transaction));
        return CompletableFuture.allOf(commits.toArray(CompletableFuture[]::new))
                .thenApply(all -> combine(commits));
    }

    private static CommitResult combine(List<CompletableFuture<CommitResult>> commits) {
        StoreOutcome outcome = StoreOutcome.OK;
        List<String> failedKeys = new ArrayList<>();
        for (CompletableFuture<CommitResult> commit : commits) {
            CommitResult result = commit.join();
            failedKeys.addAll(result.failedKeys());
            if (result.outcome() != StoreOutcome.OK && outcome != StoreOutcome.CONFLICT) {
                outcome = result.outcome();
            }
        }
        return new CommitResult(outcome, 0, failedKeys);
    }
}
