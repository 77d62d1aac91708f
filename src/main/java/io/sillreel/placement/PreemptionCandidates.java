package io.sillreel.placement;

import io.sillreel.cluster.Allocation;
import io.sillreel.cluster.Cluster;
import io.sillreel.cluster.ImageCache.Image;
import io.sillreel.cluster.Machine;
import io.sillreel.cluster.PlacementConstraints;
import io.sillreel.pipeline.ActiveJob;
import io.sillreel.pipeline.JobSpec;
import io.sillreel.pipeline.PriorityClass;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The machines on which tasks can be stopped or are already being stopped, collected once per plan for all preempting
 * jobs. Guarded by the cluster lock.
 */
final class PreemptionCandidates {
    private final Cluster cluster;
    /** Schedulable machines ordered by name, with the priority classes of their stoppable tasks. */
    private final Map<Machine, Set<PriorityClass>> machines = new LinkedHashMap<>();
    /** Machines on which tasks are already being stopped. */
    private final List<Machine> machinesWithPendingStops = new ArrayList<>();

    private final ResourceAmounts freedResources = new ResourceAmounts();

    PreemptionCandidates(Cluster cluster, LaunchEligibility eligibility, long nowMicros) {
        this.cluster = cluster;
        List<Machine> usable = new ArrayList<>();
        for (Machine machine : cluster.machines()) {
            if (eligibility.acceptsLaunches(machine, nowMicros)) {
                usable.add(machine);
            }
        }
        usable.sort(Comparator.comparing(Machine::name));
        usable.forEach(this::add);
    }

    private void add(Machine machine) {
        if (!machine.health().isQuarantined()) {
            machines.put(machine, stoppablePriorityClasses(machine));
        }
        for (Allocation allocation : machine.allocations()) {
            if (allocation.isStopping() && !allocation.hasEnded()) {
                machinesWithPendingStops.add(machine);
                break;
            }
        }
        cluster.countSteps(machine.allocations().size());
    }

    private static Set<PriorityClass> stoppablePriorityClasses(Machine machine) {
        Set<PriorityClass> priorityClasses = EnumSet.noneOf(PriorityClass.class);
        for (Allocation allocation : machine.allocations()) {
            if (isStoppable(allocation)) {
                priorityClasses.add(allocation.job().effectivePriority());
            }
        }
        return priorityClasses;
    }

    /** Returns true if the task is known to run and is not being stopped yet. */
    static boolean isStoppable(Allocation allocation) {
        return allocation.job() != null
                && !allocation.hasEnded()
                && !allocation.isUnconfirmed()
                && !allocation.isStopping();
    }

    /** Returns eligible machines for the job that have stoppable tasks, those with its image first. */
    List<Machine> eligibleMachines(ActiveJob job) {
        JobSpec spec = job.spec();
        boolean isZoneLimited = spec.zoneAffinity() || spec.zoneAntiAffinity();
        Set<String> zonesWithHeadroom = isZoneLimited ? zonesWithHeadroom(job) : Set.of();
        Image image = Image.of(spec);
        List<Machine> eligible = new ArrayList<>();
        List<Machine> withoutImage = new ArrayList<>();
        machines.forEach((machine, priorityClasses) -> {
            if (!priorityClasses.isEmpty()
                    && PlacementConstraints.isEligible(spec, machine)
                    && !job.failures().excludes(machine.name())
                    && (!isZoneLimited || zonesWithHeadroom.contains(machine.zone()))) {
                (machine.hasImage(image) ? eligible : withoutImage).add(machine);
            }
        });
        cluster.countSteps(machines.size());
        eligible.addAll(withoutImage);
        return eligible;
    }

    /** Returns the zones in which more tasks of the job may start. */
    private Set<String> zonesWithHeadroom(ActiveJob job) {
        Set<String> zones = new HashSet<>();
        for (Machine machine : machines.keySet()) {
            zones.add(machine.zone());
        }
        Set<String> withHeadroom = new HashSet<>();
        for (String zone : zones) {
            if (cluster.zoneHeadroom(job, zone) > 0) {
                withHeadroom.add(zone);
            }
        }
        return withHeadroom;
    }

    /** Returns the subset of the machines that have stoppable tasks of the priority class. */
    List<Machine> withTasksOf(PriorityClass priorityClass, List<Machine> eligible) {
        List<Machine> withTasks = new ArrayList<>();
        for (Machine machine : eligible) {
            if (machines.get(machine).contains(priorityClass)) {
                withTasks.add(machine);
            }
        }
        return withTasks;
    }

    /** Returns how many tasks of the job will fit into the resources of tasks that are already being stopped. */
    int fittingTasksAfterPendingStops(JobSpec spec) {
        int tasks = 0;
        for (Machine machine : machinesWithPendingStops) {
            freedResources.clear();
            for (Allocation allocation : machine.allocations()) {
                if (allocation.isStopping() && !allocation.hasEnded() && allocation.job() != null) {
                    freedResources.addTask(allocation.job().spec());
                }
            }
            tasks += Math.min(freedResources.fittingTasks(spec), Machine.MAX_TASKS);
        }
        return tasks;
    }
}
