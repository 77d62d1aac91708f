/**
 * The leader's state of machines and tasks.
 *
 * <p>{@link io.sillreel.cluster.Cluster} is the way in. It holds the jobs that are not finished, the machines of the
 * fleet with the {@linkplain io.sillreel.cluster.Allocation tasks} on them, the
 * {@linkplain io.sillreel.cluster.AllocationIndex index} of live tasks by job, and the
 * {@linkplain io.sillreel.cluster.QuotaUsage quota usage} of the teams. A {@link io.sillreel.cluster.Machine} combines
 * its capacity, its lease and life cycle, the order of its heartbeats, and the evidence on its health. A
 * {@link io.sillreel.cluster.ScaleOutRequest} is the stored record that tells the next leader which machines may hold
 * tasks.
 *
 * <p>Everything lives for one term and is guarded by the lock of its {@code Cluster}. Only scale-out requests are
 * stored; all else is rebuilt from heartbeats after a failover.
 */
package io.sillreel.cluster;
