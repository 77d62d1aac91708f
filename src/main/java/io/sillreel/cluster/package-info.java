/**
 * The leader's state of machines and tasks.
 *
 * <p>{@link io.sillreel.cluster.Cluster} is the entry point. It holds the jobs that are not finished, the machines of
 * the fleet with the {@linkplain io.sillreel.cluster.Allocation tasks} on them, the
 * {@linkplain io.sillreel.cluster.AllocationIndex index} of live tasks by job, and the
 * {@linkplain io.sillreel.cluster.QuotaUsage quota usage} of the teams. A {@link io.sillreel.cluster.Machine} combines
 * its capacity, its lease and life cycle, the order of its heartbeats, and the evidence on its health. A
 * {@link io.sillreel.cluster.ScaleOutRequest} is the stored record from which the next leader learns which machines may
 * hold tasks.
 *
 * <p>All objects live for one term and are guarded by the lock of its {@code Cluster}. Only scale-out requests are
 * stored; all other state is rebuilt from heartbeats after a failover.
 */
package io.sillreel.cluster;
