package io.sillreel.placement;

import io.sillreel.fleet.Allocation;
import io.sillreel.fleet.Machine;
import io.sillreel.fleet.TeamUse;
import io.sillreel.pipeline.ActiveJob;
import io.sillreel.pipeline.JobSpec;
import io.sillreel.pipeline.Rank;
import io.sillreel.settings.Settings.Team;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Where waiting tasks go. The ordinary order is the compiled one, earlier-admitted pipelines first; ranks, guarantees
 * and age are the exceptions. A plan over all machines is made now and then; in between, a machine that reports free
 * room is filled from what the last plan had no room for, so that the cost of a report does not grow with the fleet.
 * Either way the outcome is a proposal: what a machine is really told is checked again when it reports.
 */
public final class Planner {
    /** So many tasks of the job are to go on the machine. */
    public record Assignment(ActiveJob job, int count) {}

    /** A waiting job with its place in the order, and how many of its tasks have no place yet. */
    static final class Queued {
        final ActiveJob job;
        final int level;
        final boolean pressing;
        final boolean aged;
        int left;

        Queued(ActiveJob job, int level, boolean pressing, boolean aged) {
            this.job = job;
            this.level = level;
            this.pressing = pressing;
            this.aged = aged;
            this.left = job.waitingCount();
        }
    }

    /**
     * The proposal: launches for each machine, tasks to stop in favour of others, what found no place, and machines
     * that are being emptied for a task that has waited too long.
     */
    public record Plan(
            Map<String, List<Assignment>> launches,
            List<Allocation> halts,
            List<Queued> left,
            Map<String, Queued> reserved) {
        public static final Plan EMPTY = new Plan(Collections.emptyMap(), List.of(), List.of(), Map.of());
    }

    /** How long guaranteed work waits on others before it goes ahead of them. */
    private static final long GUARANTEE_PATIENCE_MICROS = 2_000_000;

    private static final long REPORT_SILENCE_FACTOR = 3;
    private static final int LEVELS_PER_RANK = 3;
    private static final int PRESSING = 0;
    private static final int IN_TIME = 1;
    private static final int LATE = 2;
    /** A low rank yields until its work has so little time left to start. */
    private static final long URGENT_MICROS = 20_000_000;
    /** Work with less time than this does not wait for a place that has its image. */
    private static final long PRESSING_MICROS = 15_000_000;
    /** Work of normal rank stops other work only if it would be late otherwise, and only what saves its progress. */
    private static final long LAST_CHANCE_MICROS = 6_000_000;
    /** No exception holds a job up for longer: one that has not begun by then goes before all others. */
    private static final long BEGIN_BY_MICROS = 120_000_000;
    /**
     * Nor keeps one that has begun from its end: from some age on it is served like normal work, at last before all.
     */
    private static final long YIELD_UNTIL_MICROS = 150_000_000;

    private static final long END_BY_MICROS = 300_000_000;
    /** Machines that are kept free, piece by piece, for one job that has waited too long. */
    private static final int MOST_RESERVED = 2;
    /** Jobs that may have others' tasks stopped in one plan, and jobs looked at to fill one machine. */
    private static final int MOST_PREEMPTING = 12;

    private static final int MOST_LOOKED_AT = 64;

    private final Cluster cluster;
    private final long reportMicros;
    private final Deadlines deadlines;

    /** @param reportMicros the interval between two reports of a worker */
    public Planner(Cluster cluster, long reportMicros, Deadlines deadlines) {
        this.cluster = cluster;
        this.reportMicros = reportMicros;
        this.deadlines = deadlines;
    }

    private static final class Space {
        final Machine machine;
        final Set<String> images = new HashSet<>();
        double cpus;
        double ramGb;
        double cards;

        Space(Machine machine) {
            this.machine = machine;
            cpus = machine.freeCpus();
            ramGb = machine.freeRamGb();
            cards = machine.freeCards();
        }

        int room(JobSpec spec) {
            return Machine.fits(spec, cpus, ramGb, cards);
        }

        void take(JobSpec spec, int tasks) {
            cpus -= tasks * spec.cpus();
            ramGb -= tasks * spec.ramGb();
            cards -= tasks * spec.cards();
            images.add(spec.image());
        }

        boolean hasImage(JobSpec spec) {
            return images.contains(spec.image()) || machine.hasImage(spec);
        }
    }

    /** True if the machine takes launches now. */
    public boolean usable(Machine machine, long nowMicros) {
        return machine.state() == Machine.State.UP
                && machine.trusted()
                && !machine.recalled()
                && !machine.unresponsive()
                && machine.rental().mayHold(machine.name())
                && nowMicros - machine.lastReportMicros() < REPORT_SILENCE_FACTOR * reportMicros;
    }

    /** A plan for everything that waits. */
    public Plan plan(long nowMicros, long wallMicros) {
        Set<ActiveJob> guaranteed = guaranteed();
        List<Queued> queue = queue(guaranteed, wallMicros);
        if (queue.isEmpty()) {
            return Plan.EMPTY;
        }
        double least = queue.stream()
                .mapToDouble(queued -> queued.job.spec().cpus())
                .min()
                .orElse(0);
        List<Space> spaces = new ArrayList<>();
        for (Machine machine : cluster.machines()) {
            if (usable(machine, nowMicros) && machine.freeCpus() >= least - 1e-6 && machine.unheededCount() == 0) {
                spaces.add(new Space(machine));
            }
        }
        cluster.worked(queue.size() + cluster.machines().size());
        Plan plan = new Plan(new HashMap<>(), new ArrayList<>(), new ArrayList<>(), new HashMap<>());
        TeamUse usage = cluster.usage();
        Preemption preemption = new Preemption(plan, guaranteed, nowMicros);
        int preempting = 0;
        // Within a level, what is not pressing first takes only the places that have its image; the rest comes after.
        int from = 0;
        while (from < queue.size()) {
            int to = from;
            while (to < queue.size() && queue.get(to).level == queue.get(from).level) {
                to++;
            }
            List<Queued> level = queue.subList(from, to);
            for (Queued queued : level) {
                assign(queued, spaces, usage, plan, !queued.pressing);
            }
            for (Queued queued : level) {
                int lacking = assign(queued, spaces, usage, plan, false);
                if (lacking > 0 && queued.aged) {
                    reserve(queued, plan, nowMicros);
                }
                if (lacking > 0 && preempting < MOST_PREEMPTING && preemption.on(queued, lacking, wallMicros)) {
                    preempting++;
                }
            }
            spaces.removeIf(space -> space.cpus < least - 1e-6);
            from = to;
        }
        for (Queued queued : queue) {
            if (queued.left > 0) {
                plan.left().add(queued);
            }
        }
        return plan;
    }

    /** Tasks that the last plan had no room for and that fit on the machine now, in the same order. */
    public List<Assignment> fill(Plan plan, Machine machine, long nowMicros, long wallMicros) {
        List<Assignment> assignments = new ArrayList<>();
        if (plan.left().isEmpty() || !usable(machine, nowMicros) || machine.suspect()) {
            return assignments;
        }
        Space space = new Space(machine);
        TeamUse usage = null;
        List<Queued> left = plan.left();
        Queued owner = plan.reserved().get(machine.name());
        int looked = 0;
        int from = 0;
        while (from < left.size() && looked < MOST_LOOKED_AT && space.cpus > 1e-6) {
            int to = from;
            while (to < left.size() && left.get(to).level == left.get(from).level && to - from < MOST_LOOKED_AT) {
                to++;
            }
            for (int pass = 0; pass < 2; pass++) {
                for (Queued queued : left.subList(from, to)) {
                    looked++;
                    JobSpec spec = queued.job.spec();
                    boolean now = queued.pressing || space.hasImage(spec);
                    if (queued.left <= 0
                            || now == (pass == 1)
                            || owner != null && owner.left > 0 && owner != queued
                            || !Cluster.allows(spec, machine)
                            || space.room(spec) <= 0) {
                        continue;
                    }
                    usage = usage == null ? cluster.usage() : usage;
                    int count = Math.min(
                            Math.min(queued.left, space.room(spec)), startable(queued.job, machine, usage, wallMicros));
                    if (count > 0) {
                        space.take(spec, count);
                        usage.take(spec, count);
                        queued.left -= count;
                        assignments.add(new Assignment(queued.job, count));
                    }
                }
            }
            from = to;
        }
        cluster.worked(looked);
        return assignments;
    }

    /** How many tasks of the job the rules let start on the machine now, its room aside. */
    private int startable(ActiveJob job, Machine machine, TeamUse usage, long wallMicros) {
        if (!cluster.launchable(job, wallMicros) || job.failedOn().contains(machine.name()) || probing(job)) {
            return 0;
        }
        return Math.min(
                job.waitingCount(),
                Math.min(cluster.headroom(job.spec(), usage), cluster.zoneRoom(job, machine.zone())));
    }

    /** True while it isn't known whether the job fails everywhere: then one task at a time is tried. */
    private static boolean probing(ActiveJob job) {
        return !job.succeededOnce() && !job.failedOn().isEmpty();
    }

    /** Waiting jobs in the order in which they are served. */
    private List<Queued> queue(Set<ActiveJob> guaranteed, long wallMicros) {
        List<Queued> queue = new ArrayList<>();
        for (ActiveJob job : cluster.jobs()) {
            if (job.waitingCount() > 0 && cluster.launchable(job, wallMicros)) {
                long slack = deadlines.slackMicros(job, wallMicros);
                boolean aged = aged(job, wallMicros);
                queue.add(new Queued(
                        job,
                        aged ? 0 : level(job, slack, guaranteed.contains(job), wallMicros),
                        aged || slack >= 0 && slack < PRESSING_MICROS,
                        aged));
            }
        }
        queue.sort(Comparator.<Queued>comparingInt(queued -> queued.level)
                .thenComparingLong(queued -> queued.job.planStamp()));
        return queue;
    }

    /** No exception from the order of admission lasts for ever: such a job goes before all that came after it. */
    private static boolean aged(ActiveJob job, long wallMicros) {
        long age = wallMicros - job.readyWallMicros();
        return age > END_BY_MICROS || unbegun(job) && age > BEGIN_BY_MICROS;
    }

    private static boolean unbegun(ActiveJob job) {
        return job.allocatedCount() == 0 && job.doneCount() == 0;
    }

    /**
     * The exceptions from the order of admission: ranks; guaranteed work that waits too long; within a rank, work that
     * is about to miss its time, before the rest, and work that has missed it, after the rest; work of a low rank that
     * would miss its time if it yielded any longer. Level 0 is for what has waited too long.
     */
    private int level(ActiveJob job, long slack, boolean guaranteed, long wallMicros) {
        Rank rank = job.rank();
        long age = wallMicros - job.readyWallMicros();
        int level = levelOf(rank, slack < 0 ? LATE : slack < PRESSING_MICROS ? PRESSING : IN_TIME);
        if (guaranteed && age > GUARANTEE_PATIENCE_MICROS && (unbegun(job) || age < 2 * deadlines.guaranteeMicros())) {
            return Math.min(level, OWED_LEVEL);
        }
        if (age > YIELD_UNTIL_MICROS) {
            return Math.min(level, levelOf(Rank.NORMAL, PRESSING));
        }
        return rank == Rank.BEST_EFFORT && slack >= 0 && slack < URGENT_MICROS ? levelOf(Rank.NORMAL, LATE) : level;
    }

    /** Behind what the high rank can still do in time: else each would stop the other's tasks in turn. */
    private static final int OWED_LEVEL = levelOf(Rank.HIGH, LATE);

    private static int levelOf(Rank rank, int time) {
        return 1 + LEVELS_PER_RANK * rank.ordinal() + time;
    }

    /** Jobs that fit into their team's guarantee together with the team's earlier unfinished jobs. */
    Set<ActiveJob> guaranteed() {
        TeamUse claimed = new TeamUse();
        Set<ActiveJob> within = new HashSet<>();
        List<ActiveJob> jobs = new ArrayList<>(cluster.jobs());
        jobs.sort(Comparator.comparingLong(ActiveJob::planStamp));
        for (ActiveJob job : jobs) {
            Team team = cluster.team(job.spec().team());
            if (job.cancelled() || job.awaitsOthers() || team == null) {
                continue;
            }
            claimed.take(job.spec(), job.spec().pieces());
            TeamUse.Amount sum = claimed.of(job.spec().team());
            if (sum.cpus() <= TeamUse.milli(team.cpus()) && sum.cards() <= TeamUse.milli(team.gpus())) {
                within.add(job);
            }
        }
        return within;
    }

    /** Assigns what fits and returns how many tasks are left over for lack of room. */
    private int assign(Queued queued, List<Space> spaces, TeamUse usage, Plan plan, boolean onlyWithImage) {
        ActiveJob job = queued.job;
        JobSpec spec = job.spec();
        int waiting = Math.min(queued.left, cluster.headroom(spec, usage));
        if (probing(job)) {
            waiting = Math.min(waiting, job.allocatedCount() == 0 ? 1 : 0);
        }
        if (waiting <= 0) {
            return 0;
        }
        List<Space> candidates = new ArrayList<>();
        for (Space space : spaces) {
            Queued owner = plan.reserved().get(space.machine.name());
            if (space.room(spec) > 0
                    && Cluster.allows(spec, space.machine)
                    && (!onlyWithImage || space.hasImage(spec))
                    && (owner == null || owner == queued)
                    && !space.machine.suspect()
                    && !job.failedOn().contains(space.machine.name())) {
                candidates.add(space);
            }
        }
        cluster.worked(spaces.size());
        // Where the image is, the fullest place first, so that others empty; where it isn't, one fetch for many tasks.
        Map<Space, Double> packing = new HashMap<>();
        for (Space space : candidates) {
            packing.put(space, space.hasImage(spec) ? space.cpus : -Math.min(space.room(spec), queued.left));
        }
        // What saves its progress loses little when a spot machine is taken, so the others get the ordinary ones.
        candidates.sort(Comparator.<Space>comparingLong(space -> fetchMicros(space, spec) / 2_000_000)
                .thenComparingInt(space -> space.machine.spot() == spec.saves() ? 0 : 1)
                .thenComparingDouble(packing::get)
                .thenComparing(space -> space.machine.name()));
        Map<String, Integer> zoneRoom = new HashMap<>();
        String onlyZone = null;
        for (Space space : candidates) {
            if (waiting == 0) {
                break;
            }
            String zone = space.machine.zone();
            if (spec.oneZone() && onlyZone != null && !onlyZone.equals(zone)) {
                continue;
            }
            int inZone = zoneRoom.computeIfAbsent(zone, where -> cluster.zoneRoom(job, where));
            int count = Math.min(waiting, Math.min(space.room(spec), inZone));
            if (count <= 0) {
                continue;
            }
            onlyZone = zone;
            zoneRoom.put(zone, inZone == Integer.MAX_VALUE ? inZone : inZone - count);
            space.take(spec, count);
            usage.take(spec, count);
            waiting -= count;
            queued.left -= count;
            plan.launches()
                    .computeIfAbsent(space.machine.name(), name -> new ArrayList<>())
                    .add(new Assignment(job, count));
        }
        return probing(job) ? 0 : waiting;
    }

    private static long fetchMicros(Space space, JobSpec spec) {
        return space.hasImage(spec)
                ? 0
                : Math.round(
                        spec.imageGb() / Math.max(0.01, space.machine.type().pullGbPerSecond()) * 1_000_000);
    }

    /**
     * Keeps machines free for a job that has waited too long and fits nowhere now: small tasks would else take each
     * processor as it comes free, and a large one would never find enough of them together.
     */
    private void reserve(Queued queued, Plan plan, long nowMicros) {
        JobSpec spec = queued.job.spec();
        List<Machine> machines = new ArrayList<>();
        for (Machine machine : cluster.machines()) {
            if (usable(machine, nowMicros)
                    && Cluster.allows(spec, machine)
                    && !machine.suspect()
                    && !plan.reserved().containsKey(machine.name())
                    && Machine.fitsEmpty(spec, machine.type())) {
                machines.add(machine);
            }
        }
        machines.sort(Comparator.<Machine>comparingDouble(machine -> -machine.freeCpus())
                .thenComparing(Machine::name));
        for (Machine machine : machines.subList(0, Math.min(machines.size(), Math.min(queued.left, MOST_RESERVED)))) {
            plan.reserved().put(machine.name(), queued);
        }
    }

    /** What is stopped in favour of others, within one plan. What it needs to know of all tasks is gathered once. */
    private final class Preemption {
        private final Plan plan;
        private final Set<ActiveJob> guaranteed;
        private final long nowMicros;
        private final Set<Allocation> halting = new HashSet<>();
        private final List<Machine> machines = new ArrayList<>();
        private final List<Machine> freeing = new ArrayList<>();
        /** How much each team runs beyond its guarantee, in thousandths of processors. */
        private final Map<String, Long> beyond = new HashMap<>();

        private boolean gathered;

        Preemption(Plan plan, Set<ActiveJob> guaranteed, long nowMicros) {
            this.plan = plan;
            this.guaranteed = guaranteed;
            this.nowMicros = nowMicros;
        }

        private void gather() {
            if (gathered) {
                return;
            }
            gathered = true;
            for (Machine machine : cluster.machines()) {
                if (!usable(machine, nowMicros)) {
                    continue;
                }
                if (!machine.suspect()) {
                    machines.add(machine);
                }
                if (machine.allocations().stream()
                        .anyMatch(allocation -> allocation.halting() && !allocation.ended())) {
                    freeing.add(machine);
                }
                cluster.worked(machine.allocations().size());
            }
        }

        /** Stops tasks where that really makes room for the job; false if the job may have none stopped. */
        boolean on(Queued queued, int lacking, long wallMicros) {
            JobSpec spec = queued.job.spec();
            // Stopping others costs work, so it waits until the aim is in danger; work that is lost then, once it is
            // missed,
            // would be lost for nothing.
            long waited = wallMicros - queued.job.readyWallMicros();
            boolean owed = guaranteed.contains(queued.job)
                    && waited > deadlines.guaranteeMicros() / 2
                    && queued.level <= OWED_LEVEL;
            boolean missed = waited > deadlines.guaranteeMicros();
            Rank own = queued.job.rank();
            boolean urgent = own.above(Rank.NORMAL);
            long slack = deadlines.slackMicros(queued.job, wallMicros);
            boolean lastChance = own != Rank.BEST_EFFORT && slack >= 0 && slack <= LAST_CHANCE_MICROS;
            if (!owed && !urgent && !lastChance) {
                return false;
            }
            gather();
            int needed = lacking - beingFreed(spec);
            List<Machine> allowed = new ArrayList<>();
            for (Machine machine : machines) {
                if (Cluster.allows(spec, machine)) {
                    allowed.add(machine);
                }
            }
            allowed.sort(Comparator.<Machine>comparingInt(machine -> machine.hasImage(spec) ? 0 : 1)
                    .thenComparing(Machine::name));
            if (urgent || lastChance) {
                // The lowest rank everywhere before the next one anywhere: what only fetches loses no work, but its
                // place.
                Rank[] ranks = Rank.values();
                for (int each = ranks.length - 1; each > own.ordinal() && needed > 0; each--) {
                    Rank rank = ranks[each];
                    needed -= stop(
                            spec,
                            needed,
                            allowed,
                            allocation -> allocation.job().rank() == rank
                                    && (urgent
                                            || allocation.job().spec().saves()
                                                    && !guaranteed.contains(allocation.job())));
                }
            }
            if (owed && needed > 0) {
                needed -= stop(
                        spec,
                        needed,
                        allowed,
                        allocation -> allocation.job().spec().saves() && isBeyond(allocation, queued.job));
                if (needed > 0 && !missed) {
                    stop(spec, needed, allowed, allocation -> isBeyond(allocation, queued.job));
                }
            }
            return true;
        }

        /**
         * True if the task is part of what another team runs beyond its own guarantee. High ranks are left alone: they
         * go first in the order, and would take the place back at once.
         */
        private boolean isBeyond(Allocation allocation, ActiveJob forWhom) {
            JobSpec spec = allocation.job().spec();
            if (spec.team().equals(forWhom.spec().team())
                    || guaranteed.contains(allocation.job())
                    || allocation.job().rank().above(Rank.NORMAL)
                            && !forWhom.rank().above(Rank.NORMAL)) {
                return false;
            }
            return left(spec.team()) >= TeamUse.milli(spec.cpus());
        }

        private long left(String team) {
            return beyond.computeIfAbsent(
                    team,
                    name -> cluster.book().use().of(name).cpus()
                            - TeamUse.milli(
                                    cluster.team(name) == null
                                            ? 0
                                            : cluster.team(name).cpus()));
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
            double cards = machine.freeCards();
            for (Allocation allocation : machine.allocations()) {
                if (allocation.job() == null || allocation.ended()) {
                    continue;
                }
                JobSpec running = allocation.job().spec();
                if (halting.contains(allocation)) {
                    cpus += running.cpus();
                    ram += running.ramGb();
                    cards += running.cards();
                } else if (!allocation.unconfirmed() && !allocation.halting() && may.test(allocation)) {
                    victims.add(allocation);
                }
            }
            cluster.worked(machine.allocations().size());
            if (victims.isEmpty()) {
                return 0;
            }
            victims.sort(Comparator.comparingDouble(allocation -> lost(allocation, nowMicros)));
            int before = Machine.fits(spec, cpus, ram, cards);
            int gained = 0;
            List<Allocation> chosen = new ArrayList<>();
            for (Allocation victim : victims) {
                if (gained >= needed || !may.test(victim)) {
                    break;
                }
                JobSpec freed = victim.job().spec();
                cpus += freed.cpus();
                ram += freed.ramGb();
                cards += freed.cards();
                chosen.add(victim);
                int after = Machine.fits(spec, cpus, ram, cards);
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
            plan.halts().add(allocation);
            beyond.put(spec.team(), left(spec.team()) - TeamUse.milli(spec.cpus()));
        }

        /** Tasks of the job that will fit where others are being stopped already. */
        private int beingFreed(JobSpec spec) {
            int count = 0;
            for (Machine machine : freeing) {
                double cpus = 0;
                double ram = 0;
                double cards = 0;
                for (Allocation allocation : machine.allocations()) {
                    if (allocation.halting() && !allocation.ended() && allocation.job() != null) {
                        cpus += allocation.job().spec().cpus();
                        ram += allocation.job().spec().ramGb();
                        cards += allocation.job().spec().cards();
                    }
                }
                count += Math.min(Machine.fits(spec, cpus, ram, cards), Integer.MAX_VALUE / 1_000);
            }
            return count;
        }
    }

    /** Work that is lost when the task is stopped: what it has done so far, or the time it takes to save that. */
    private static double lost(Allocation allocation, long nowMicros) {
        JobSpec spec = allocation.job().spec();
        long ran = allocation.runningSinceMicros() < 0 ? 0 : nowMicros - allocation.runningSinceMicros();
        return spec.cpus() * (spec.saves() ? Math.min(ran, spec.saveMicros()) : ran);
    }
}
