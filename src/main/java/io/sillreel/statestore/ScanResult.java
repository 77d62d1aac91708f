package io.sillreel.statestore;

/**
 * The result of a scan, whose entries have been passed to a {@link PageConsumer}.
 *
 * @param outcome {@link StoreOutcome#REFUSED} also if the consumer ended the scan
 * @param storeRevision the revision from which changes have to be watched to miss none; 0 unless the outcome is
 *     {@link StoreOutcome#OK}
 */
public record ScanResult(StoreOutcome outcome, long storeRevision) {}
