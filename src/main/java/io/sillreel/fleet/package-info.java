/**
 * Scale-out and scale-in of the fleet, and the life cycle of its machines.
 *
 * <p>{@link io.sillreel.fleet.FleetManager} is the entry point and runs about once a second while this controller is
 * the leader. It requests machines ({@code ScaleOut}), decides which to drain or return ({@code ScaleInPolicy},
 * {@code LostMachineDetector}), returns them ({@code MachineReturner}), and reconciles the fleet with the cloud's
 * machine list ({@code CloudListReconciler}). {@link io.sillreel.fleet.StragglerDetector} and
 * {@link io.sillreel.fleet.SpotInterruptionDrain} handle slow and interrupted machines.
 *
 * <p>The state of a term consists of the scale-out requests, the names of recently returned machines, and recent
 * losses. Scale-out requests are stored before they are sent to the cloud, so that a new leader finds every machine
 * that may run tasks.
 */
package io.sillreel.fleet;
