package io.sillreel.statestore;

import java.util.List;

/**
 * The result of a transaction.
 *
 * @param storeRevision the revision of the store after the transaction, which is also that of all changed keys
 * @param failedKeys the keys whose conditions did not hold, if the outcome is {@link StoreOutcome#CONFLICT}
 */
public record CommitResult(StoreOutcome outcome, long storeRevision, List<String> failedKeys) {}
