package io.sillreel.heartbeat;

import io.sillreel.agent.Heartbeat;
import io.sillreel.cluster.Machine;

/**
 * The operations of the leader's term that the processing of heartbeats needs. All methods are called on the event loop
 * with the cluster lock held.
 */
public interface TermOperations {
    /**
     * True while the leader lease and the known cancellations are recent enough to launch tasks and to request or
     * return machines.
     */
    boolean mayLaunchOrScale();

    /**
     * Adds the machine of the heartbeat, which belongs to no known scale-out request, to the fleet.
     *
     * @return false if its machine type is unknown, so that the machine cannot be used
     */
    boolean adoptMachine(Heartbeat heartbeat);

    /** True if the machine was returned to or reclaimed by the cloud: any heartbeat of it is delayed or a duplicate. */
    boolean wasReturned(String machine);

    /** Records that the machine sends heartbeats; only the first call for a machine has an effect. */
    void markMachineUp(Machine machine);

    /** Records that the lease of the machine has expired and that it has sent no heartbeat since. */
    void markMachineDown(Machine machine);

    /** Requests a new plan: tasks or resources may have become available. */
    void requestScheduling();

    /** Queries the machine's current epoch and sequence, to distinguish a restart from duplicates of old heartbeats. */
    void queryMachineStatus(Machine machine);
}
