package io.sillreel.statestore;

/** The outcome of a request to the state service. */
public enum StoreOutcome {
    /** The request was executed. */
    OK,
    /** The key does not exist. */
    NOT_FOUND,
    /** The transaction was not executed because one of its conditions did not hold. */
    CONFLICT,
    /** The request was definitely not executed, because of a rate limit or an outage; it may be retried. */
    REFUSED,
    /** The request was rejected because of its size; a retry can succeed only with a smaller one. */
    TOO_LARGE,
    /** The lease does not exist or has expired. */
    NO_SUCH_LEASE,
    /** The service no longer holds the changes since the given revision; the keys have to be read again. */
    COMPACTED,
    /** No response was received; the request may have been executed or may still be. Read the keys before retrying. */
    UNKNOWN
}
