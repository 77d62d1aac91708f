/**
 * Limits that follow from the resources of the process: sizes of caches and queues and numbers of connections
 * ({@link io.sillreel.limits.ProcessLimits}), and the largest fleet that a deployment supports
 * ({@link io.sillreel.limits.FleetCapacity}). All of them are computed from immutable values.
 */
package io.sillreel.limits;
