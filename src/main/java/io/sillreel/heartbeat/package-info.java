/**
 * Heartbeats of workers, that is, of the worker agents on the machines: routing them to the leader
 * ({@link io.sillreel.heartbeat.HeartbeatRouter}), relaying them in batches, balancing the workers over the
 * controllers, and, at the leader, processing them ({@link io.sillreel.heartbeat.HeartbeatProcessor}): reconciling
 * tasks, leases, faults and the commands in the response. The state of a leader's term is held in {@code Cluster} and
 * guarded by its lock; the rest runs on the event loop.
 */
package io.sillreel.heartbeat;
