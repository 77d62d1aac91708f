/**
 * Access to the consensus-backed key-value store that holds all state the controllers share.
 *
 * <p>{@link io.sillreel.statestore.StateStore} is the client: reads, scans, watches, leases and compare-and-swap
 * transactions, each limited to this controller's share of the store's rates. Its results carry a
 * {@link io.sillreel.statestore.StoreOutcome}; it keeps no state besides the pace of requests and whether the service
 * responds. {@link io.sillreel.statestore.WriteQueue} is the only way in which a leader writes: it merges
 * {@link io.sillreel.statestore.PendingWrite pending writes} into transactions that fail once another controller leads.
 * The wire format stands in {@code StateStoreCodec} alone.
 */
package io.sillreel.statestore;
