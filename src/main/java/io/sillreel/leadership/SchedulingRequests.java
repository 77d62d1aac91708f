package io.sillreel.leadership;

import io.sillreel.cluster.Allocation;
import io.sillreel.cluster.Cluster;
import io.sillreel.cluster.Machine;
import io.sillreel.pipeline.ActiveJob;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * What the next scheduling cycles have to do: whether a new plan is needed, and which machines have commands that can't
 * wait for their next heartbeats. Guarded by the lock of the cluster.
 */
final class SchedulingRequests {
    private final Cluster cluster;
    private final Set<Machine> machinesToCommand = new LinkedHashSet<>();
    private boolean planNeeded = true;

    SchedulingRequests(Cluster cluster) {
        this.cluster = cluster;
    }

    /** Asks for a new plan, since its input has changed. */
    void requestPlan() {
        planNeeded = true;
    }

    boolean isPlanNeeded() {
        return planNeeded;
    }

    /** A plan is made from the present state, which meets all requests so far. */
    void planStarted() {
        planNeeded = false;
    }

    /** Asks that the machine be sent its commands without waiting for its next heartbeat. */
    void requestCommands(Machine machine) {
        machinesToCommand.add(machine);
    }

    /** Asks for the commands of several machines. */
    void requestCommands(Collection<Machine> machines) {
        machinesToCommand.addAll(machines);
    }

    /** Asks for the commands of all machines that run tasks of the job. */
    void requestStops(ActiveJob job) {
        for (Allocation allocation : cluster.allocationIndex().ofJob(job)) {
            machinesToCommand.add(allocation.machine());
        }
    }

    /** Removes and returns the machines that were asked for first, at most so many. */
    List<Machine> takeMachinesToCommand(int max) {
        List<Machine> taken = new ArrayList<>();
        var iterator = machinesToCommand.iterator();
        while (iterator.hasNext() && taken.size() < max) {
            taken.add(iterator.next());
            iterator.remove();
        }
        return taken;
    }
}
