package io.sillreel.statestore;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Writes that are sent in one transaction, which succeeds only if all their keys and the leader key have the expected
 * revisions.
 */
final class WriteBatch {
    private static final int MAX_BYTES = 48 * 1024;
    /** Estimated size of a change excluding its value: the key, its conditions and the field names. */
    private static final int CHANGE_OVERHEAD_BYTES = 300;

    private final List<PendingWrite> writes = new ArrayList<>();
    private final Transaction transaction = new Transaction();
    private int bytes;
    private boolean exclusive;

    WriteBatch(String leaderKey, long leaderRevision) {
        transaction.requireRevision(leaderKey, leaderRevision);
    }

    List<PendingWrite> writes() {
        return writes;
    }

    Transaction transaction() {
        return transaction;
    }

    /**
     * Adds a write if there is room for it. The first write is added regardless of its size.
     *
     * @param exclusive true if the write must not share its transaction with another one
     * @param maxChanges the maximum number of changes in the transaction, including this one
     * @return whether the write was added
     */
    boolean tryAdd(PendingWrite write, KeyChange change, boolean exclusive, double maxChanges) {
        int size = change.value() == null ? 0 : change.bytes() + CHANGE_OVERHEAD_BYTES;
        if (transaction.changeCount() + 1 > maxChanges) {
            return false;
        }
        if (!writes.isEmpty() && (this.exclusive || exclusive || bytes + size > MAX_BYTES)) {
            return false;
        }
        bytes += size;
        this.exclusive = exclusive;
        writes.add(write);
        transaction.requireRevision(write.key(), write.revision());
        Optional<String> requiredAbsentKey = write.requiredAbsentKey();
        if (requiredAbsentKey.isPresent()) {
            transaction.requireRevision(requiredAbsentKey.get(), 0);
        }
        change.addTo(transaction, write.key());
        return true;
    }
}
