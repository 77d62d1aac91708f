package io.sillreel.statestore;

import java.util.List;

/**
 * The result of listing the entries under a prefix.
 *
 * @param entries all entries in the order of their keys; empty unless the outcome is {@link StoreOutcome#OK}
 * @param storeRevision the revision from which changes have to be watched to miss none
 */
public record ListResult(StoreOutcome outcome, List<StoredEntry> entries, long storeRevision) {}
