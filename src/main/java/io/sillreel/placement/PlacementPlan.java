package io.sillreel.placement;

import io.sillreel.cluster.Allocation;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A proposal of the {@link Planner}. It is validated again when launch commands are sent to a machine, because jobs and
 * machines may have changed in the meantime. Guarded by the cluster lock.
 *
 * @param launches tasks to launch by machine name; an entry is removed once its launch commands are sent
 * @param preemptions running tasks to stop in favour of waiting ones
 * @param unplaced jobs with tasks that found no capacity, in queue order
 * @param reservations the aged job that each reserved machine is kept free for, by machine name
 */
public record PlacementPlan(
        Map<String, List<TaskAssignment>> launches,
        List<Allocation> preemptions,
        List<QueuedJob> unplaced,
        Map<String, QueuedJob> reservations) {
    /** A plan that proposes nothing. Removing entries from its launches is permitted and has no effect. */
    public static final PlacementPlan EMPTY = new PlacementPlan(Collections.emptyMap(), List.of(), List.of(), Map.of());

    /** Creates an empty, mutable plan. */
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
