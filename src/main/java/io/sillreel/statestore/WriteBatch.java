package io.sillreel.statestore;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/** Items that are written in one transaction, each conditional on its own key's stamp and all on the leader's. */
final class WriteBatch {
    private static final int MAX_BYTES = 48 * 1024;
    /** What a change takes beside its value: its key, its conditions and their names. */
    private static final int CHANGE_BYTES = 300;

    private final Predicate<PendingWrite> writtenAlone;
    private final List<PendingWrite> writes = new ArrayList<>();
    private final Transaction transaction = new Transaction();
    private int bytes;

    /** @param writtenAlone true for an item that shares its transaction with no other */
    WriteBatch(String leaderKey, long leaderRevision, Predicate<PendingWrite> writtenAlone) {
        this.writtenAlone = writtenAlone;
        transaction.requireRevision(leaderKey, leaderRevision);
    }

    List<PendingWrite> writes() {
        return writes;
    }

    Transaction transaction() {
        return transaction;
    }

    /**
     * Adds the item unless there is no room for it.
     *
     * @param room how many changes the transaction may hold with it
     * @return whether the item was added
     */
    boolean add(PendingWrite item, KeyChange change, double room) {
        int size = change.value() == null ? 0 : change.bytes() + CHANGE_BYTES;
        if (transaction.size() + 1 > room || !writes.isEmpty() && isFull(item, size)) {
            return false;
        }
        bytes += size;
        writes.add(item);
        transaction.requireRevision(item.key(), item.revision());
        Optional<String> requiredAbsentKey = item.requiredAbsentKey();
        if (requiredAbsentKey.isPresent()) {
            transaction.requireRevision(requiredAbsentKey.get(), 0);
        }
        change.addTo(transaction, item.key());
        return true;
    }

    private boolean isFull(PendingWrite item, int size) {
        return bytes + size > MAX_BYTES || writtenAlone.test(item) || writtenAlone.test(writes.get(0));
    }
}
