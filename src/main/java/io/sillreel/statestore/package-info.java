/**
 * Access to the state service, the consensus-backed key-value store that holds all state shared by the controllers.
 *
 * <p>{@link io.sillreel.statestore.StateStore} is the client: reads, scans, watches, leases and compare-and-swap
 * transactions, each limited to this controller's share of the service's rates. Its results carry a
 * {@link io.sillreel.statestore.StoreOutcome}; its only state is that of the rate limiters and whether the service
 * responds. A leader writes only through a {@link io.sillreel.statestore.WriteQueue}, which merges
 * {@link io.sillreel.statestore.PendingWrite pending writes} into transactions that fail once another controller leads.
 * The wire format is confined to {@code StateStoreCodec}.
 */
package io.sillreel.statestore;
