/**
 * Scale-out and scale-in of the fleet, and the life cycle of its machines.
 *
 * <p>{@link io.sillreel.fleet.FleetManager} is the way in and runs about once a second while this controller leads. It
 * requests machines ({@code ScaleOut}), decides which to drain or return ({@code ScaleInPolicy},
 * {@code LostMachineDetector}), returns them ({@code MachineReturner}), and compares the fleet with the cloud's list
 * ({@code CloudListReconciler}). {@link io.sillreel.fleet.StragglerDetector} and
 * {@link io.sillreel.fleet.SpotInterruptionDrain} act on tasks of slow and of interrupted machines.
 *
 * <p>The state of a term is the open scale-out requests, the names of returned machines, and recent losses. Scale-out
 * requests are stored before the cloud is asked, so that a new leader finds every machine that may hold tasks.
 */
package io.sillreel.fleet;
