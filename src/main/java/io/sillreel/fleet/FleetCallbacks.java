package io.sillreel.fleet;

import io.sillreel.cluster.Machine;

/** What the fleet asks of the leader's term that it belongs to. */
public interface FleetCallbacks {
    /** True while machines may be requested and returned: the lease is held and all cancellations are known. */
    boolean mayAct();

    /** True if no worker has had to look for another controller lately, so that heartbeats take their usual way. */
    boolean isRoutingStable();

    /** The tasks of the machine are certainly gone. Called under the lock of the cluster. */
    void clearTasks(Machine machine);
}
