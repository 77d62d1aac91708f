package io.sillreel.statestore;

import java.util.List;
import java.util.Optional;

/**
 * A change of one key that waits in a {@link WriteQueue}. The write is a compare-and-swap: it succeeds only if the key
 * still has the {@link #revision} that is known here.
 */
public interface PendingWrite {
    /** The key that is written. */
    String key();

    /** The revision that the key is known to have, 0 if it is not stored. */
    long revision();

    /** The change to make now; asked for when the write is sent. */
    KeyChange change();

    /** Writes that have to be stored before this one; the last of them queues this one again. */
    default List<PendingWrite> prerequisites() {
        return List.of();
    }

    /** How urgent the change is that would be written now. */
    default WriteUrgency urgency() {
        return WriteUrgency.JOB_START;
    }

    /** Another key that must not exist for the write to succeed, if there is one. */
    default Optional<String> requiredAbsentKey() {
        return Optional.empty();
    }

    /** The change last asked for is stored under the given revision. */
    void onStored(long revision);

    /** The key has another revision than was known here; the write will be tried again. */
    void onConflict(long revision);

    /**
     * The state service refuses the write for its size, even alone. It is not tried again unless it is queued again,
     * smaller.
     */
    default void onTooLarge() {}

    /** The {@link #requiredAbsentKey} exists. */
    default void onPreconditionFailed() {}
}
