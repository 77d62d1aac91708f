package io.sillreel.statestore;

/** What happens to a {@link PendingWrite} whose key has a revision other than the expected one. */
public enum ConflictResolution {
    /** The write is sent again with the revision that was found. */
    RETRY,
    /** The stored value needs no change; the write is not retried. */
    DISCARD,
    /** The stored value is newer than the state of this term, which must not write any more. */
    ABANDON_TERM
}
