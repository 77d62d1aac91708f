package io.sillreel.placement;

import io.sillreel.cluster.Allocation;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A proposal of the {@link Planner}. It is checked again when a machine is told its tasks, because jobs and machines
 * may have changed since. Guarded by the lock of the cluster.
 *
 * @param launches tasks to launch by the name of the machine; an entry is removed once the machine is told
 * @param preemptions tasks to stop in favour of others
 * @param unplaced jobs with tasks that found no capacity, in the order of the queue
 * @param reservations machines, by name, that are kept free for a job that has waited too long
 */
public record PlacementPlan(
        Map<String, List<TaskAssignment>> launches,
        List<Allocation> preemptions,
        List<QueuedJob> unplaced,
        Map<String, QueuedJob> reservations) {
    /** A plan that proposes nothing; entries may be removed from its launches. */
    public static final PlacementPlan EMPTY = new PlacementPlan(Collections.emptyMap(), List.of(), List.of(), Map.of());

    /** Creates a plan to be filled. */
    static PlacementPlan create() {
        return new PlacementPlan(new HashMap<>(), new ArrayList<>(), new ArrayList<>(), new HashMap<>());
    }

    /** Adds tasks to launch on a machine. */
    void addLaunch(String machine, TaskAssignment assignment) {
        launches.computeIfAbsent(machine, name -> new ArrayList<>()).add(assignment);
    }

    /** Returns true if the machine is reserved for a job other than the given one. */
    boolean isReservedForOther(String machine, QueuedJob queued) {
        QueuedJob owner = reservations.get(machine);
        return owner != null && owner != queued;
    }
}
