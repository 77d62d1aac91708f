package io.sillreel.statestore;

/**
 * The result of requesting a lease.
 *
 * @param leaseId the id of the lease, 0 unless the outcome is {@link StoreOutcome#OK}
 */
public record LeaseGrant(StoreOutcome outcome, long leaseId) {}
