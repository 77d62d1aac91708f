package io.sillreel.statestore;

/** How a request to the state service ended. */
public enum StoreOutcome {
    /** The request was carried out. */
    OK,
    /** The key does not exist. */
    NOT_FOUND,
    /** A transaction was not carried out, since one of its conditions did not hold. */
    CONFLICT,
    /** The request was certainly not executed, because of a rate limit or an outage; it may be sent again. */
    REFUSED,
    /** The request was not executed because of its size, and never will be unless it becomes smaller. */
    TOO_LARGE,
    /** The lease does not exist or has expired. */
    NO_SUCH_LEASE,
    /** The service no longer has the changes since the given revision; the keys have to be read again. */
    COMPACTED,
    /** No response came: the request may have been executed, or may still be. Read before deciding. */
    UNKNOWN
}
