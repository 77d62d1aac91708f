package io.sillreel.placement;

import io.sillreel.cluster.Allocation;
import io.sillreel.cluster.Cluster;
import io.sillreel.cluster.Machine;
import io.sillreel.pipeline.ActiveJob;
import io.sillreel.pipeline.JobSpec;
import io.sillreel.pipeline.PriorityClass;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/** Selects the running tasks that one plan stops in favour of waiting jobs. Guarded by the lock of the cluster. */
final class Preemption {
    private final Cluster cluster;
    private final LaunchEligibility eligibility;
    private final ServiceLevelObjectives objectives;
    private final PlacementPlan plan;
    private final TeamGuarantees guarantees;
    private final long nowMicros;
    private final Set<Allocation> selected = new HashSet<>();
    /** Free on the machine that is being looked at, once the tasks selected there are gone. */
    private final ResourceAmounts available = new ResourceAmounts();
    /** Null until the first job that may preempt, because gathering them looks at all tasks. */
    private PreemptionCandidates candidates;

    Preemption(
            Cluster cluster,
            LaunchEligibility eligibility,
            ServiceLevelObjectives objectives,
            PlacementPlan plan,
            TeamGuarantees guarantees,
            long nowMicros) {
        this.cluster = cluster;
        this.eligibility = eligibility;
        this.objectives = objectives;
        this.plan = plan;
        this.guarantees = guarantees;
        this.nowMicros = nowMicros;
    }

    /**
     * Adds tasks to the plan's preemptions where stopping them lets tasks of the job fit.
     *
     * @param unplacedTasks how many tasks of the job found no capacity
     * @return false if the job may not preempt
     */
    boolean preemptFor(QueuedJob queued, int unplacedTasks, long wallMicros) {
        PreemptionGrounds grounds = new PreemptionGrounds(queued, guarantees, objectives, wallMicros);
        if (!grounds.exist()) {
            return false;
        }
        if (candidates == null) {
            candidates = new PreemptionCandidates(cluster, eligibility, nowMicros);
        }
        ActiveJob job = queued.job();
        int neededTasks = unplacedTasks - candidates.fittingTasksAfterPendingStops(job.spec());
        if (neededTasks <= 0) {
            return true;
        }
        List<Machine> machines = candidates.eligibleMachines(job.spec());
        if (grounds.allowLowerPriority()) {
            neededTasks -= preemptLowerPriority(job, grounds.hasHighPriority(), neededTasks, machines);
        }
        if (grounds.isGuaranteeAtRisk() && neededTasks > 0) {
            preemptBeyondGuarantees(job, grounds.isGuaranteeMissed(), neededTasks, machines);
        }
        return true;
    }

    /**
     * Preempts the lowest priority class on all machines before the next one on any.
     *
     * @param mayDiscardProgress true to stop tasks without checkpoints and within guarantees as well
     * @return how many more tasks of the job will fit
     */
    private int preemptLowerPriority(
            ActiveJob job, boolean mayDiscardProgress, int neededTasks, List<Machine> machines) {
        PriorityClass[] priorityClasses = PriorityClass.values();
        int gainedTasks = 0;
        for (int ordinal = priorityClasses.length - 1;
                ordinal > job.effectivePriority().ordinal() && gainedTasks < neededTasks;
                ordinal--) {
            PriorityClass lower = priorityClasses[ordinal];
            gainedTasks += preemptOnAll(
                    candidates.withTasksOf(lower, machines),
                    job.spec(),
                    neededTasks - gainedTasks,
                    allocation -> allocation.job().effectivePriority() == lower
                            && (mayDiscardProgress
                                    || allocation.job().spec().supportsCheckpoints()
                                            && !guarantees.covers(allocation.job())));
        }
        return gainedTasks;
    }

    /** Preempts what other teams run beyond their guarantees, tasks with checkpoints first. */
    private void preemptBeyondGuarantees(
            ActiveJob job, boolean isGuaranteeMissed, int neededTasks, List<Machine> machines) {
        int gainedTasks = preemptOnAll(
                machines,
                job.spec(),
                neededTasks,
                allocation -> allocation.job().spec().supportsCheckpoints() && isBeyondGuarantee(allocation, job));
        if (gainedTasks < neededTasks && !isGuaranteeMissed) {
            preemptOnAll(
                    machines, job.spec(), neededTasks - gainedTasks, allocation -> isBeyondGuarantee(allocation, job));
        }
    }

    /**
     * Returns true if the task is part of what another team runs beyond its guarantee. High priority is left alone by
     * normal priority: it goes first in the queue, and would take the capacity back at once.
     */
    private boolean isBeyondGuarantee(Allocation allocation, ActiveJob waiting) {
        ActiveJob running = allocation.job();
        boolean isAboveWaiting = running.effectivePriority().isAbove(PriorityClass.NORMAL)
                && !waiting.effectivePriority().isAbove(PriorityClass.NORMAL);
        return !running.spec().team().equals(waiting.spec().team())
                && !guarantees.covers(running)
                && !isAboveWaiting
                && guarantees.isExcess(running.spec());
    }

    private int preemptOnAll(
            List<Machine> machines, JobSpec spec, int neededTasks, Predicate<Allocation> isPreemptible) {
        int gainedTasks = 0;
        for (Machine machine : machines) {
            if (gainedTasks >= neededTasks) {
                break;
            }
            gainedTasks += preemptOn(machine, spec, neededTasks - gainedTasks, isPreemptible);
        }
        return gainedTasks;
    }

    /** Selects tasks on the machine, the least lost work first, and returns how many more of the job's will fit. */
    private int preemptOn(Machine machine, JobSpec spec, int neededTasks, Predicate<Allocation> isPreemptible) {
        List<Allocation> victims = findVictims(machine, isPreemptible);
        if (victims.isEmpty()) {
            return 0;
        }
        victims.sort(Comparator.comparingDouble(allocation -> lostCpuMicros(allocation, nowMicros)));
        int fittingBefore = available.fittingTasks(spec);
        int gainedTasks = 0;
        List<Allocation> pending = new ArrayList<>();
        for (Allocation victim : victims) {
            // Asked again: each selected task leaves its team with less beyond its guarantee.
            if (gainedTasks >= neededTasks || !isPreemptible.test(victim)) {
                break;
            }
            available.addTask(victim.job().spec());
            pending.add(victim);
            int fittingAfter = available.fittingTasks(spec);
            if (fittingAfter > fittingBefore) {
                gainedTasks += fittingAfter - fittingBefore;
                fittingBefore = fittingAfter;
                pending.forEach(this::select);
                pending.clear();
            }
        }
        return gainedTasks;
    }

    /** Finds the tasks that may be stopped on the machine, and sets {@link #available} for it. */
    private List<Allocation> findVictims(Machine machine, Predicate<Allocation> isPreemptible) {
        List<Allocation> victims = new ArrayList<>();
        available.setToFree(machine);
        for (Allocation allocation : machine.allocations()) {
            if (allocation.job() == null || allocation.hasEnded()) {
                continue;
            }
            if (selected.contains(allocation)) {
                available.addTask(allocation.job().spec());
            } else if (PreemptionCandidates.isStoppable(allocation) && isPreemptible.test(allocation)) {
                victims.add(allocation);
            }
        }
        cluster.countSteps(machine.allocations().size());
        return victims;
    }

    private void select(Allocation allocation) {
        selected.add(allocation);
        plan.preemptions().add(allocation);
        guarantees.recordPreempted(allocation.job().spec());
    }

    /**
     * Returns the work that is lost when the task is stopped, in processor-microseconds: what it has done so far, or
     * the time that its checkpoint takes.
     */
    private static double lostCpuMicros(Allocation allocation, long nowMicros) {
        JobSpec spec = allocation.job().spec();
        long elapsedMicros = allocation.runningSinceMicros() < 0 ? 0 : nowMicros - allocation.runningSinceMicros();
        return spec.cpus()
                * (spec.supportsCheckpoints()
                        ? Math.min(elapsedMicros, spec.checkpointDurationMicros())
                        : elapsedMicros);
    }
}
