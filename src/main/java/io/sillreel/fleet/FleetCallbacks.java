package io.sillreel.fleet;

import io.sillreel.cluster.Machine;

/** Callbacks of the fleet into the leader's term. */
public interface FleetCallbacks {
    /**
     * True while machines may be requested and returned: the leader lease is valid and cancellations are up to date.
     */
    boolean mayLaunchOrScale();

    /** True if no worker has recently switched controllers, so that heartbeats are not delayed by reconnects. */
    boolean isRoutingStable();

    /** Clears the tasks of a machine on which they are known to have ended. Called under the cluster lock. */
    void clearTasks(Machine machine);
}
