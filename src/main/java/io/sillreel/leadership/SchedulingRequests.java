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
 * Requests for the next scheduling cycles: whether a new plan is needed, and which machines have commands that can't
 * wait for their next heartbeats. Guarded by the cluster lock.
 */
final class SchedulingRequests {
    private final Cluster cluster;
    private final Set<Machine> machinesToCommand = new LinkedHashSet<>();
    private boolean planNeeded = true;

    SchedulingRequests(Cluster cluster) {
        this.cluster = cluster;
    }

    /** Requests a new plan, since the input of planning has changed. */
    void requestPlan() {
        planNeeded = true;
    }

    boolean isPlanNeeded() {
        return planNeeded;
    }

    /** A plan is being computed from the current state, which satisfies all requests so far. */
    void planStarted() {
        planNeeded = false;
    }

    /** Requests that the machine be sent its commands without waiting for its next heartbeat. */
    void requestCommands(Machine machine) {
        machinesToCommand.add(machine);
    }

    /** Requests that several machines be sent their commands. */
    void requestCommands(Collection<Machine> machines) {
        machinesToCommand.addAll(machines);
    }

    /** Requests that all machines with tasks of the job be sent their commands. */
    void requestStops(ActiveJob job) {
        for (Allocation allocation : cluster.allocationIndex().ofJob(job)) {
            machinesToCommand.add(allocation.machine());
        }
    }

    /** Removes and returns the machines that were requested first, at most the given number. */
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
