package io.sillreel.statestore;

import java.util.List;

/**
 * The result of a watch.
 *
 * @param storeRevision the revision up to which the events are complete
 * @param events the changes in the order of their revisions
 */
public record WatchResult(StoreOutcome outcome, long storeRevision, List<WatchEvent> events) {}
