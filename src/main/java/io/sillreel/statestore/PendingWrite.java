package io.sillreel.statestore;

import java.util.List;
import java.util.Optional;

/**
 * A change of one key that waits in a {@link WriteQueue}. The write is a compare-and-swap: it succeeds only if the key
 * still has the expected {@link #revision}. All methods are called on the event loop, partly under the queue's lock.
 */
public interface PendingWrite {
    /** The key that is written. */
    String key();

    /** The revision that the key is expected to have, 0 if it must not exist. */
    long revision();

    /**
     * The change to make. Called when the write is sent, so that it includes everything that changed since the write
     * was queued; the implementation notes what it has sent for {@link #onStored}.
     */
    KeyChange change();

    /**
     * Writes that have to be stored before this one. If there are any, they are queued instead of this one, and the
     * last of them to be stored has to queue this one again.
     */
    default List<PendingWrite> prerequisites() {
        return List.of();
    }

    /** The urgency of the change that would be written now. */
    default WriteUrgency urgency() {
        return WriteUrgency.JOB_START;
    }

    /** Another key that must not exist for the write to succeed, if there is one. */
    default Optional<String> requiredAbsentKey() {
        return Optional.empty();
    }

    /** Called when the last change is stored; the key now has the given revision. */
    void onStored(long revision);

    /** Called when the key has another revision than expected; the write is sent again with that revision. */
    void onConflict(long revision);

    /**
     * Called when the state service refuses the write for its size even in a transaction of its own. It is not sent
     * again unless it is queued again, with a smaller change.
     */
    default void onTooLarge() {}

    /** Called when the {@link #requiredAbsentKey} exists; the write is not sent again. */
    default void onPreconditionFailed() {}
}
