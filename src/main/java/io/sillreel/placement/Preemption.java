package io.sillreel.placement;

import io.sillreel.cluster.Allocation;
import io.sillreel.cluster.Cluster;
import io.sillreel.cluster.ImageCache.Image;
import io.sillreel.cluster.Machine;
import io.sillreel.cluster.PlacementConstraints;
import io.sillreel.cluster.QuotaUsage;
import io.sillreel.pipeline.ActiveJob;
import io.sillreel.pipeline.JobSpec;
import io.sillreel.pipeline.PriorityClass;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/** What is stopped in favour of others, within one plan. What it needs to know of all tasks is gathered once. */
final class Preemption {
    private static final int LIMITLESS = Integer.MAX_VALUE / 1_000;
    /** Work of normal rank stops other work only if it would be late otherwise, and only what saves its progress. */
    private static final long LAST_CHANCE_MICROS = 6_000_000;

    private final Planner planner;
    private final Cluster cluster;
    private final ServiceLevelObjectives objectives;
    private final Planner.Plan plan;
    private final Set<ActiveJob> guaranteed;
    private final long nowMicros;
    private final Set<Allocation> halting = new HashSet<>();
    /** Machines that take launches, by their names, and the ranks of the work on them that could be stopped. */
    private final Map<Machine, Set<PriorityClass>> machines = new LinkedHashMap<>();

    private final List<Machine> freeing = new ArrayList<>();
    /** How much each team runs beyond its guarantee, in thousandths of processors. */
    private final Map<String, Long> beyond = new HashMap<>();

    private boolean gathered;

    Preemption(
            Planner planner,
            Cluster cluster,
            ServiceLevelObjectives objectives,
            Planner.Plan plan,
            Set<ActiveJob> guaranteed,
            long nowMicros) {
        this.planner = planner;
        this.cluster = cluster;
        this.objectives = objectives;
        this.plan = plan;
        this.guaranteed = guaranteed;
        this.nowMicros = nowMicros;
    }

    private void gather() {
        if (gathered) {
            return;
        }
        gathered = true;
        List<Machine> usable = new ArrayList<>();
        for (Machine machine : cluster.machines()) {
            if (planner.acceptsLaunches(machine, nowMicros)) {
                usable.add(machine);
            }
        }
        usable.sort(Comparator.comparing(Machine::name));
        for (Machine machine : usable) {
            if (!machine.health().isSuspect()) {
                machines.put(machine, stoppableRanks(machine));
            }
            if (machine.allocations().stream()
                    .anyMatch(allocation -> allocation.isStopping() && !allocation.hasEnded())) {
                freeing.add(machine);
            }
            cluster.countSteps(machine.allocations().size());
        }
    }

    private static Set<PriorityClass> stoppableRanks(Machine machine) {
        Set<PriorityClass> ranks = EnumSet.noneOf(PriorityClass.class);
        for (Allocation allocation : machine.allocations()) {
            if (isStoppable(allocation)) {
                ranks.add(allocation.job().effectivePriority());
            }
        }
        return ranks;
    }

    private static boolean isStoppable(Allocation allocation) {
        return allocation.job() != null
                && !allocation.hasEnded()
                && !allocation.isUnconfirmed()
                && !allocation.isStopping();
    }

    /** Stops tasks where that really makes room for the job; false if the job may have none stopped. */
    boolean preemptFor(QueuedJob queued, int lacking, long wallMicros) {
        JobSpec spec = queued.job.spec();
        // Stopping others costs work, so it waits until the aim is in danger; work that is lost once it is missed
        // would be lost for nothing.
        long waited = wallMicros - queued.job.readyWallMicros();
        boolean owed = guaranteed.contains(queued.job)
                && waited > objectives.guaranteedStartMicros() / 2
                && QueueOrder.isOwedBand(queued);
        boolean missed = waited > objectives.guaranteedStartMicros();
        PriorityClass own = queued.job.effectivePriority();
        boolean urgent = own.isAbove(PriorityClass.NORMAL);
        long slack = objectives.slackMicros(queued.job, wallMicros);
        boolean lastChance = own != PriorityClass.BEST_EFFORT && slack >= 0 && slack <= LAST_CHANCE_MICROS;
        if (!owed && !urgent && !lastChance) {
            return false;
        }
        gather();
        int needed = lacking - beingFreed(spec);
        List<Machine> allowed = needed > 0 ? allowed(spec) : List.of();
        if (urgent || lastChance) {
            // The lowest rank everywhere before the next one anywhere: what only fetches loses its place, no work.
            PriorityClass[] ranks = PriorityClass.values();
            for (int each = ranks.length - 1; each > own.ordinal() && needed > 0; each--) {
                PriorityClass rank = ranks[each];
                needed -= stop(
                        spec,
                        needed,
                        having(rank, allowed),
                        allocation -> allocation.job().effectivePriority() == rank
                                && (urgent
                                        || allocation.job().spec().supportsCheckpoints()
                                                && !guaranteed.contains(allocation.job())));
            }
        }
        if (owed && needed > 0) {
            needed -= stop(
                    spec,
                    needed,
                    allowed,
                    allocation -> allocation.job().spec().supportsCheckpoints() && isBeyond(allocation, queued.job));
            if (needed > 0 && !missed) {
                stop(spec, needed, allowed, allocation -> isBeyond(allocation, queued.job));
            }
        }
        return true;
    }

    /** Machines with work that could be stopped and where the job may run, first those that have its image. */
    private List<Machine> allowed(JobSpec spec) {
        Image image = Image.of(spec);
        List<Machine> allowed = new ArrayList<>();
        List<Machine> withoutImage = new ArrayList<>();
        machines.forEach((machine, ranks) -> {
            if (!ranks.isEmpty() && PlacementConstraints.isEligible(spec, machine)) {
                (machine.hasImage(image) ? allowed : withoutImage).add(machine);
            }
        });
        cluster.countSteps(machines.size());
        allowed.addAll(withoutImage);
        return allowed;
    }

    private List<Machine> having(PriorityClass rank, List<Machine> allowed) {
        return allowed.stream()
                .filter(machine -> machines.get(machine).contains(rank))
                .toList();
    }

    /**
     * True if the task is part of what another team runs beyond its own guarantee. High ranks are left alone: they go
     * first in the order, and would take the place back at once.
     */
    private boolean isBeyond(Allocation allocation, ActiveJob forWhom) {
        JobSpec spec = allocation.job().spec();
        if (spec.team().equals(forWhom.spec().team())
                || guaranteed.contains(allocation.job())
                || allocation.job().effectivePriority().isAbove(PriorityClass.NORMAL)
                        && !forWhom.effectivePriority().isAbove(PriorityClass.NORMAL)) {
            return false;
        }
        return left(spec.team()) >= QuotaUsage.toMilli(spec.cpus());
    }

    private long left(String team) {
        return beyond.computeIfAbsent(
                team,
                name -> cluster.allocationIndex().usage().ofTeam(name).cpus()
                        - QuotaUsage.toMilli(
                                cluster.team(name) == null
                                        ? 0
                                        : cluster.team(name).guaranteedCpus()));
    }

    private int stop(JobSpec spec, int needed, List<Machine> allowed, Predicate<Allocation> may) {
        int gained = 0;
        for (Machine machine : allowed) {
            if (gained >= needed) {
                break;
            }
            gained += stop(spec, needed - gained, machine, may);
        }
        return gained;
    }

    /** Stops tasks on the machine, the least work first, and returns how many of the job's will fit for it. */
    private int stop(JobSpec spec, int needed, Machine machine, Predicate<Allocation> may) {
        List<Allocation> victims = new ArrayList<>();
        double cpus = machine.freeCpus();
        double ram = machine.freeRamGb();
        double gpus = machine.freeGpus();
        for (Allocation allocation : machine.allocations()) {
            if (allocation.job() == null || allocation.hasEnded()) {
                continue;
            }
            JobSpec running = allocation.job().spec();
            if (halting.contains(allocation)) {
                cpus += running.cpus();
                ram += running.ramGb();
                gpus += running.gpus();
            } else if (isStoppable(allocation) && may.test(allocation)) {
                victims.add(allocation);
            }
        }
        cluster.countSteps(machine.allocations().size());
        if (victims.isEmpty()) {
            return 0;
        }
        victims.sort(Comparator.comparingDouble(allocation -> lost(allocation, nowMicros)));
        int before = PlacementConstraints.fittingTasks(spec, cpus, ram, gpus);
        int gained = 0;
        List<Allocation> chosen = new ArrayList<>();
        for (Allocation victim : victims) {
            if (gained >= needed || !may.test(victim)) {
                break;
            }
            JobSpec freed = victim.job().spec();
            cpus += freed.cpus();
            ram += freed.ramGb();
            gpus += freed.gpus();
            chosen.add(victim);
            int after = PlacementConstraints.fittingTasks(spec, cpus, ram, gpus);
            if (after > before) {
                gained += after - before;
                before = after;
                chosen.forEach(this::halt);
                chosen.clear();
            }
        }
        return gained;
    }

    private void halt(Allocation allocation) {
        JobSpec spec = allocation.job().spec();
        halting.add(allocation);
        plan.preemptions().add(allocation);
        beyond.put(spec.team(), left(spec.team()) - QuotaUsage.toMilli(spec.cpus()));
    }

    /** Tasks of the job that will fit where others are being stopped already. */
    private int beingFreed(JobSpec spec) {
        int count = 0;
        for (Machine machine : freeing) {
            double cpus = 0;
            double ram = 0;
            double gpus = 0;
            for (Allocation allocation : machine.allocations()) {
                if (allocation.isStopping() && !allocation.hasEnded() && allocation.job() != null) {
                    cpus += allocation.job().spec().cpus();
                    ram += allocation.job().spec().ramGb();
                    gpus += allocation.job().spec().gpus();
                }
            }
            count += Math.min(PlacementConstraints.fittingTasks(spec, cpus, ram, gpus), LIMITLESS);
        }
        return count;
    }

    /** Work that is lost when the task is stopped: what it has done so far, or the time it takes to save that. */
    private static double lost(Allocation allocation, long nowMicros) {
        JobSpec spec = allocation.job().spec();
        long ran = allocation.runningSinceMicros() < 0 ? 0 : nowMicros - allocation.runningSinceMicros();
        return spec.cpus() * (spec.supportsCheckpoints() ? Math.min(ran, spec.checkpointDurationMicros()) : ran);
    }
}
