/**
 * The bounds that follow from what the platform gives a process: how much it may hold, how many connections it takes
 * ({@link io.sillreel.limits.ProcessLimits}), and how large a fleet a deployment carries
 * ({@link io.sillreel.limits.FleetCapacity}). All of it is arithmetic on immutable values.
 */
package io.sillreel.limits;
