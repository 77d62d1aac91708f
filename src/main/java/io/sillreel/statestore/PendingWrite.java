package io.sillreel.statestore;

import java.util.List;
import java.util.Optional;

/**
 * A change of one key that waits in a {@link WriteQueue}. The write is a compare-and-swap: it succeeds only if the key
 * still has the expected {@link #revision}. All methods are called on the event loop, some of them under the queue's
 * lock.
 */
public interface PendingWrite {
    /** The key that is written. */
    String key();

    /** The revision that the key is expected to have, 0 if it must not exist. */
    long revision();

    /**
     * Returns the change to make. Called when the write is sent, so that it covers all state changed since the write
     * was queued. Implementations keep what they return here until {@link #onStored} confirms it.
     */
    KeyChange change();

    /**
     * Returns the writes that have to be stored before this one. If there are any, they are queued instead of this one,
     * and the last of them to be stored has to queue this one again.
     */
    default List<PendingWrite> prerequisites() {
        return List.of();
    }

    /** Returns the urgency of the change that would be written now. */
    default WriteUrgency urgency() {
        return WriteUrgency.JOB_START;
    }

    /** Returns another key that must not exist for the write to succeed, if there is one. */
    default Optional<String> requiredAbsentKey() {
        return Optional.empty();
    }

    /** Called when the last returned change is stored; the key now has the given revision. */
    void onStored(long revision);

    /**
     * Called when the key may have a revision other than the expected one. The implementation has to look at the value:
     * a retry with its revision replaces it, whoever has written it.
     *
     * @param stored what the key holds now, empty if it does not exist
     */
    ConflictResolution onConflict(Optional<StoredEntry> stored);

    /**
     * Called when the state service rejects the write for its size even in a transaction of its own. The write is not
     * retried; it may be queued again with a smaller change.
     */
    default void onTooLarge() {}

    /** Called when the {@link #requiredAbsentKey} exists; the write is not retried. */
    default void onPreconditionFailed() {}
}
