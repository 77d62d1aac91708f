/**
 * Leader election, and the work of the leader during its term.
 *
 * <p>{@link io.sillreel.leadership.LeaderElection} participates in elections and notifies its listener when this
 * controller acquires or loses leadership. For each term that it wins, the controller creates a
 * {@link io.sillreel.leadership.LeaderTerm}, which reads the stored state, answers heartbeats, plans, and manages the
 * fleet until it is closed. Terms share no state, so a deposed leader keeps nothing that it could still act on (ADR
 * 0006, "Durable execution and recovery").
 *
 * <p>All classes run on the event loop. Jobs, machines and allocations of a term are guarded by the lock of its
 * {@link io.sillreel.cluster.Cluster}.
 */
package io.sillreel.leadership;
