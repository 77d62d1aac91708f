package io.sillreel.heartbeat;

import io.sillreel.agent.Heartbeat;
import io.sillreel.cluster.Machine;

/**
 * What the processing of heartbeats asks of the rest of the leader's term. All methods are called on the event loop
 * with the lock of the cluster held.
 */
public interface TermOperations {
    /** True while the lease and the cancellations are known recently enough to launch tasks and to change the fleet. */
    boolean mayAct();

    /**
     * Takes the machine of the heartbeat, which belongs to no known scale-out request, into the fleet.
     *
     * @return false if its machine type is not known, so that it can't be used
     */
    boolean adoptMachine(Heartbeat heartbeat);

    /** True if the machine was returned to the cloud or reclaimed by it: a heartbeat of it can only be an old copy. */
    boolean isMachineGone(String machine);

    /** Records that the machine sends heartbeats; has an effect on the first one only. */
    void markMachineUp(Machine machine);

    /** Records that the lease of the machine has expired and that it has sent no heartbeat since. */
    void markMachineDown(Machine machine);

    /** Requests a new plan: tasks or resources may have become available. */
    void requestScheduling();

    /** Asks the machine for its present epoch and sequence, to tell a restart from copies of old heartbeats. */
    void queryMachineStatus(Machine machine);
}
