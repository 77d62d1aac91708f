package io.sillreel.placement;

import io.sillreel.cluster.Allocation;
import io.sillreel.cluster.Cluster;
import io.sillreel.cluster.Machine;
import io.sillreel.cluster.PlacementConstraints;
import io.sillreel.cluster.QuotaUsage;
import io.sillreel.pipeline.ActiveJob;
import io.sillreel.pipeline.JobSpec;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Where waiting tasks go. The ordinary order is the compiled one, earlier-admitted pipelines first; ranks, guarantees
 * and age are the exceptions. A plan over all machines is made now and then; in between, a machine that reports free
 * room is filled from what the last plan had no room for, so that the cost of a report does not grow with the fleet.
 * Either way the outcome is a proposal: what a machine is really told is checked again when it reports.
 */
public final class Planner {
    /** So many tasks of the job are to go on the machine. */
    public record Assignment(ActiveJob job, int count) {}

    /**
     * The proposal: launches for each machine, tasks to stop in favour of others, what found no place, and machines
     * that are being emptied for a task that has waited too long.
     */
    public record Plan(
            Map<String, List<Assignment>> launches,
            List<Allocation> preemptions,
            List<QueuedJob> unplaced,
            Map<String, QueuedJob> reservations) {
        public static final Plan EMPTY = new Plan(Collections.emptyMap(), List.of(), List.of(), Map.of());
    }

    private static final long REPORT_SILENCE_FACTOR = 3;
    /** Machines that are kept free, piece by piece, for one job that has waited too long. */
    private static final int MAX_RESERVED = 2;
    /** Jobs that may have others' tasks stopped in one plan, and jobs looked at to fill one machine. */
    private static final int MAX_PREEMPTING = 12;

    private static final int MAX_LOOKED_AT = 64;

    private final Cluster cluster;
    private final long reportMicros;
    private final ServiceLevelObjectives objectives;
    private final QueueOrder order;

    /** @param reportMicros the interval between two reports of a worker */
    public Planner(Cluster cluster, long reportMicros, ServiceLevelObjectives objectives) {
        this.cluster = cluster;
        this.reportMicros = reportMicros;
        this.objectives = objectives;
        this.order = new QueueOrder(cluster, objectives);
    }

    /** True if the machine takes launches now. */
    public boolean acceptsLaunches(Machine machine, long nowMicros) {
        return machine.state() == Machine.State.UP
                && machine.isReconciled()
                && !machine.isInterrupted()
                && !machine.responsiveness().isUnresponsive()
                && machine.scaleOutRequest().isStoredAsUp(machine.name())
                && nowMicros - machine.lastHeartbeatMicros() < REPORT_SILENCE_FACTOR * reportMicros;
    }

    /** A plan for everything that waits. */
    public Plan plan(long nowMicros, long wallMicros) {
        Set<ActiveJob> guaranteed = order.guaranteed();
        List<QueuedJob> queue = order.queue(guaranteed, wallMicros);
        if (queue.isEmpty()) {
            return Plan.EMPTY;
        }
        PlacementIndex places = freePlaces(queue, nowMicros);
        cluster.countSteps(queue.size() + cluster.machines().size());
        Plan plan = new Plan(new HashMap<>(), new ArrayList<>(), new ArrayList<>(), new HashMap<>());
        QuotaUsage usage = cluster.quotaUsage();
        Preemption preemption = new Preemption(this, cluster, objectives, plan, guaranteed, nowMicros);
        Reservations reservations = new Reservations(plan, nowMicros);
        int preempting = 0;
        // Within a level, what is not pressing first takes only the places that have its image; the rest comes after.
        int from = 0;
        while (from < queue.size()) {
            int to = from;
            while (to < queue.size() && queue.get(to).priorityBand == queue.get(from).priorityBand) {
                to++;
            }
            List<QueuedJob> level = queue.subList(from, to);
            for (QueuedJob queued : level) {
                assign(queued, places, usage, plan, !queued.isUrgent);
            }
            for (QueuedJob queued : level) {
                int lacking = assign(queued, places, usage, plan, false);
                if (lacking > 0 && queued.isAged) {
                    reservations.reserve(queued);
                }
                if (lacking > 0 && preempting < MAX_PREEMPTING && preemption.preemptFor(queued, lacking, wallMicros)) {
                    preempting++;
                }
            }
            from = to;
        }
        cluster.countSteps(places.steps());
        queue.stream().filter(queued -> queued.remainingTasks > 0).forEach(plan.unplaced()::add);
        return plan;
    }

    /** The machines that have room for the smallest of the waiting tasks. */
    private PlacementIndex freePlaces(List<QueuedJob> queue, long nowMicros) {
        double least = queue.stream()
                .mapToDouble(queued -> queued.job.spec().cpus())
                .min()
                .orElse(0);
        PlacementIndex places = new PlacementIndex(least);
        for (Machine machine : cluster.machines()) {
            if (acceptsLaunches(machine, nowMicros)
                    && machine.responsiveness().ignoredCommandCount() == 0
                    && !machine.health().isSuspect()) {
                places.add(new FreeCapacity(machine));
            }
        }
        return places;
    }

    /** Tasks that the last plan had no room for and that fit on the machine now, in the same order. */
    public List<Assignment> planMachine(Plan plan, Machine machine, long nowMicros, long wallMicros) {
        List<Assignment> assignments = new ArrayList<>();
        if (plan.unplaced().isEmpty()
                || !acceptsLaunches(machine, nowMicros)
                || machine.health().isSuspect()) {
            return assignments;
        }
        FreeCapacity space = new FreeCapacity(machine);
        QuotaUsage usage = null;
        List<QueuedJob> left = plan.unplaced();
        QueuedJob owner = plan.reservations().get(machine.name());
        int looked = 0;
        int from = 0;
        while (from < left.size() && looked < MAX_LOOKED_AT && space.cpus > 1e-6) {
            int to = from;
            while (to < left.size()
                    && left.get(to).priorityBand == left.get(from).priorityBand
                    && to - from < MAX_LOOKED_AT) {
                to++;
            }
            for (int pass = 0; pass < 2; pass++) {
                for (QueuedJob queued : left.subList(from, to)) {
                    looked++;
                    JobSpec spec = queued.job.spec();
                    boolean now = queued.isUrgent || space.hasImage(spec);
                    if (queued.remainingTasks <= 0
                            || now == (pass == 1)
                            || owner != null && owner.remainingTasks > 0 && owner != queued
                            || !PlacementConstraints.isEligible(spec, machine)
                            || space.fittingTasks(spec) <= 0) {
                        continue;
                    }
                    usage = usage == null ? cluster.quotaUsage() : usage;
                    int count = Math.min(
                            Math.min(queued.remainingTasks, space.fittingTasks(spec)),
                            startableTasks(queued.job, machine, usage, wallMicros));
                    if (count > 0) {
                        space.take(spec, count);
                        usage.add(spec, count);
                        queued.remainingTasks -= count;
                        assignments.add(new Assignment(queued.job, count));
                    }
                }
            }
            from = to;
        }
        cluster.countSteps(looked);
        return assignments;
    }

    /** How many tasks of the job the rules let start on the machine now, its room aside. */
    private int startableTasks(ActiveJob job, Machine machine, QuotaUsage usage, long wallMicros) {
        if (!cluster.isLaunchable(job, wallMicros) || job.failedMachines().contains(machine.name()) || isProbing(job)) {
            return 0;
        }
        return Math.min(
                job.waitingCount(),
                Math.min(cluster.quotaHeadroom(job.spec(), usage), cluster.zoneHeadroom(job, machine.zone())));
    }

    /** True while it isn't known whether the job fails everywhere: then one task at a time is tried. */
    private static boolean isProbing(ActiveJob job) {
        return !job.hasSucceededOnce() && !job.failedMachines().isEmpty();
    }

    /** Assigns what fits and returns how many tasks are left over for lack of room. */
    private int assign(QueuedJob queued, PlacementIndex places, QuotaUsage usage, Plan plan, boolean onlyWithImage) {
        int wanted = Math.min(queued.remainingTasks, cluster.quotaHeadroom(queued.job.spec(), usage));
        if (isProbing(queued.job)) {
            wanted = Math.min(wanted, queued.job.allocatedCount() == 0 ? 1 : 0);
        }
        if (wanted <= 0) {
            return 0;
        }
        PlaceTaker taker = new PlaceTaker(queued, wanted, usage, plan);
        places.offer(queued.job.spec(), queued.remainingTasks, onlyWithImage, taker);
        return isProbing(queued.job) ? 0 : taker.wanted;
    }

    /** Puts the tasks of one job into the plan, as far as its zones and the plan's reservations allow. */
    private final class PlaceTaker implements PlacementIndex.Taker {
        private final QueuedJob queued;
        private final JobSpec spec;
        private final QuotaUsage usage;
        private final Plan plan;
        private final Map<String, Integer> zoneRoom = new HashMap<>();
        private int wanted;
        private String onlyZone;

        PlaceTaker(QueuedJob queued, int wanted, QuotaUsage usage, Plan plan) {
            this.queued = queued;
            this.spec = queued.job.spec();
            this.wanted = wanted;
            this.usage = usage;
            this.plan = plan;
        }

        @Override
        public boolean isSatisfied() {
            return wanted == 0;
        }

        @Override
        public boolean isZoneExcluded(String zone) {
            return spec.zoneAffinity() && onlyZone != null && !onlyZone.equals(zone) || room(zone) <= 0;
        }

        private int room(String zone) {
            return zoneRoom.computeIfAbsent(zone, where -> cluster.zoneHeadroom(queued.job, where));
        }

        @Override
        public boolean take(FreeCapacity space) {
            String machine = space.machine.name();
            QueuedJob owner = plan.reservations().get(machine);
            if (owner != null && owner != queued || queued.job.failedMachines().contains(machine)) {
                return false;
            }
            String zone = space.machine.zone();
            int room = room(zone);
            int count = Math.min(wanted, Math.min(space.fittingTasks(spec), room));
            onlyZone = zone;
            zoneRoom.put(zone, room == Integer.MAX_VALUE ? room : room - count);
            space.take(spec, count);
            usage.add(spec, count);
            wanted -= count;
            queued.remainingTasks -= count;
            plan.launches().computeIfAbsent(machine, name -> new ArrayList<>()).add(new Assignment(queued.job, count));
            return true;
        }
    }

    /**
     * Keeps machines free for jobs that have waited too long and fit nowhere now: small tasks would else take each
     * processor as it comes free, and a large one would never find enough of them together.
     */
    private final class Reservations {
        private final Plan plan;
        private final long nowMicros;
        /** Machines that take launches, the emptiest first; sorted once somebody asks. */
        private List<Machine> emptiestFirst;

        Reservations(Plan plan, long nowMicros) {
            this.plan = plan;
            this.nowMicros = nowMicros;
        }

        void reserve(QueuedJob queued) {
            JobSpec spec = queued.job.spec();
            int wanted = Math.min(queued.remainingTasks, MAX_RESERVED);
            for (Machine machine : emptiestFirst()) {
                if (wanted == 0) {
                    return;
                }
                cluster.countSteps(1);
                if (PlacementConstraints.isEligible(spec, machine)
                        && !plan.reservations().containsKey(machine.name())
                        && PlacementConstraints.fitsEmptyMachine(spec, machine.type())) {
                    plan.reservations().put(machine.name(), queued);
                    wanted--;
                }
            }
        }

        private List<Machine> emptiestFirst() {
            if (emptiestFirst == null) {
                emptiestFirst = new ArrayList<>();
                for (Machine machine : cluster.machines()) {
                    if (acceptsLaunches(machine, nowMicros) && !machine.health().isSuspect()) {
                        emptiestFirst.add(machine);
                    }
                }
                emptiestFirst.sort(Comparator.<Machine>comparingDouble(machine -> -machine.freeCpus())
                        .thenComparing(Machine::name));
            }
            return emptiestFirst;
        }
    }
}
