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

/** Selects the running tasks that a plan preempts in favour of waiting jobs. Guarded by the cluster lock. */
final class Preemption {
    private final Cluster cluster;
    private final LaunchEligibility eligibility;
    private final ServiceLevelObjectives objectives;
    private final PlacementPlan plan;
    private final TeamGuarantees guarantees;
    private final long nowMicros;
    private final Set<Allocation> selected = new HashSet<>();
    /** Free resources of the machine under examination once the tasks selected on it have ended. */
    private final ResourceAmounts available = new ResourceAmounts();
    /** Null until the first job that may preempt, because collecting them iterates over all tasks. */
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
     * Adds tasks to the plan's preemptions if stopping them makes room for tasks of the job.
     *
     * @param unplacedTasks number of the job's tasks that found no capacity
     * @return false if the job may not preempt
     */
    boolean preemptFor(QueuedJob queued, int unplacedTasks, long wallMicros) {
        PreemptionGrounds grounds = new PreemptionGrounds(queued, guarantees, objectives, wallMicros);
        if (!grounds.mayPreempt()) {
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
        List<Machine> machines = candidates.eligibleMachines(job);
        if (grounds.mayPreemptLowerPriority()) {
            neededTasks -= preemptLowerPriority(job, grounds.hasHighPriority(), neededTasks, machines);
        }
        if (grounds.isGuaranteeAtRisk() && neededTasks > 0) {
            preemptBeyondGuarantees(job, grounds.isGuaranteeMissed(), neededTasks, machines);
        }
        return true;
    }

    /**
     * Preempts tasks of the lowest priority class on all machines before tasks of the next higher class.
     *
     * @param mayDiscardProgress true to also stop tasks without checkpoints and tasks within guarantees
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

    /** Preempts tasks that other teams run beyond their guarantees, those with checkpoints first. */
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
     * Returns true if the task belongs to another team and exceeds that team's guarantee. Jobs of at most normal
     * priority don't preempt work above normal priority on this ground: it precedes them in the queue and would reclaim
     * the capacity at once.
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

    /** Selects tasks on the machine, those with the least lost work first, and returns how many more tasks will fit. */
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
            // Evaluated again because each selected task reduces the excess of its team over the guarantee.
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

    /** Finds the preemptible tasks on the machine and resets {@link #available} to its resources. */
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
     * Returns the work that is lost when the task is stopped, in CPU-microseconds: its progress so far, or at most the
     * duration of a checkpoint if it supports checkpoints.
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
