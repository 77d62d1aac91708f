package io.sillreel.statestore;

import java.util.List;

/**
 * The result of listing the entries under a prefix.
 *
 * @param entries all entries in the order of their keys; empty unless the outcome is {@link StoreOutcome#OK}
 * @param storeRevision the revision from which to start a watch that misses no change
 */
public record ListResult(StoreOutcome outcome, List<StoredEntry> entries, long storeRevision) {}
