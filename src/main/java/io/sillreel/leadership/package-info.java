/**
 * Election of the leader, and everything that the leader does during its term.
 *
 * <p>{@link io.sillreel.leadership.LeaderElection} takes part in elections and tells its listener when this controller
 * becomes or ceases to be the leader. For each term that is won the controller creates a
 * {@link io.sillreel.leadership.LeaderTerm}, which reads the stored state, answers heartbeats, plans, and manages the
 * fleet until it is closed. A term holds all of its state itself and shares none with the next one: a leader that is
 * deposed keeps nothing that it could still act on (ADR 0006, "Durable execution and recovery").
 *
 * <p>All classes run on the event loop. Jobs, machines and allocations of a term are guarded by the lock of its
 * {@link io.sillreel.cluster.Cluster}.
 */
package io.sillreel.leadership;
