package io.sillreel.statestore;

/**
 * The result of a scan, whose entries were passed to a {@link PageConsumer}.
 *
 * @param outcome {@link StoreOutcome#REFUSED} also if the consumer ended the scan
 * @param storeRevision the revision from which to start a watch that misses no change; 0 unless the outcome is
 *     {@link StoreOutcome#OK}
 */
public record ScanResult(StoreOutcome outcome, long storeRevision) {}
