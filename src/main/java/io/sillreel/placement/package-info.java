/**
 * Decides which tasks run where, which are preempted, and how large the fleet has to be.
 *
 * <p>{@link io.sillreel.placement.Planner} orders the waiting jobs by priority band and packs their tasks into the
 * machines' free capacity; its {@link io.sillreel.placement.PlacementPlan} is a proposal that is validated again when
 * launch commands are sent. {@link io.sillreel.placement.CapacityPlanner} proposes machines to provision and to return.
 * {@link io.sillreel.placement.ServiceLevelObjectives}, {@link io.sillreel.placement.RuntimeEstimator} and
 * {@link io.sillreel.placement.PriorityInheritance} supply deadlines, expected run times and inherited urgency.
 *
 * <p>No state of this package is stored: it belongs to the leader's term, is rebuilt after a failover, and is guarded
 * by the lock of the {@link io.sillreel.cluster.Cluster}. The package does no I/O.
 */
package io.sillreel.placement;
