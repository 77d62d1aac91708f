package io.sillreel.workers;

import io.sillreel.fleet.Allocation;
import io.sillreel.fleet.Machine;
import io.sillreel.fleet.TeamUse;
import io.sillreel.http.Loop;
import io.sillreel.http.Reply;
import io.sillreel.pipeline.ActiveJob;
import io.sillreel.pipeline.RetrySchedule;
import io.sillreel.placement.Cluster;
import io.sillreel.placement.Estimates;
import io.sillreel.placement.Planner;
import io.sillreel.placement.Planner.Assignment;
import io.sillreel.settings.Settings.WorkerTimes;
import io.sillreel.statestore.KeyWriter;
import io.sillreel.workers.Report.TaskState;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Takes workers' reports while this controller holds the lease, and answers with what the machine is to do. Launches
 * are given in no other way: a worker drops a response that comes late, so a launch that the next report does not show
 * has not happened and never will.
 */
public final class ReportProcessor {
    /** What the processing of reports needs from the rest of the term. */
    public interface Callbacks {
        /** A machine that nobody rented under a known name has reported. */
        Machine adopt(Report report);

        /** True if the machine was returned or taken; it can't be there any more. */
        boolean isGone(String machine);

        /** The machine has reported for the first time. */
        void cameUp(Machine machine);

        /** Nothing that was on the machine can be alive any more, and it has not been heard since. */
        void wentDown(Machine machine);

        void progressed();

        /** Asks the machine itself how far it counts. */
        void ask(Machine machine);
    }

    private static final Logger LOG = LoggerFactory.getLogger(ReportProcessor.class);
    /** Attempt ids never repeat: the term in the high bits, a count below. */
    private static final int TERM_SHIFT = 32;

    private static final long DRIFT_DIVISOR = 1_000;
    private static final long BOUND_MARGIN_MICROS = 500_000;
    /** A worker waits so long for the answer to a report. */
    private static final long OVERTAKEN_MICROS = 4_000_000;

    private static final int MOST_UNRESPONSIVE_PART = 8;

    private final Loop loop;
    private final long term;
    private final Cluster cluster;
    private final KeyWriter writer;
    private final WorkerTimes times;
    private final RetrySchedule retries;
    private final Estimates estimates;
    private final Planner planner;
    private final Callbacks callbacks;
    private final BooleanSupplier mayAct;
    private final Reply nothing;
    private long attempts;
    private Planner.Plan plan = Planner.Plan.EMPTY;

    /** @param mayAct true while the lease and the cancellations are known well enough to launch tasks */
    public ReportProcessor(
            Loop loop,
            long term,
            Cluster cluster,
            KeyWriter writer,
            WorkerTimes times,
            RetrySchedule retries,
            Estimates estimates,
            Planner planner,
            Callbacks callbacks,
            BooleanSupplier mayAct) {
        this.loop = loop;
        this.term = term;
        this.cluster = cluster;
        this.writer = writer;
        this.times = times;
        this.retries = retries;
        this.estimates = estimates;
        this.callbacks = callbacks;
        this.mayAct = mayAct;
        this.planner = planner;
        this.nothing = new Commands().reply(term);
    }

    /** The proposal from which the next responses are filled. */
    public void plan(Planner.Plan newPlan) {
        plan = newPlan;
    }

    /** The longest that tasks live on a machine whose report is answered now. */
    public long aliveUntil(long nowMicros) {
        return nowMicros + times.leaseMicros() + times.leaseMicros() / DRIFT_DIVISOR + BOUND_MARGIN_MICROS;
    }

    /** A report that came by itself, here or through another controller. */
    public Reply report(Report report) {
        synchronized (cluster) {
            long now = loop.nowMicros();
            Machine machine = cluster.machine(report.machine());
            if (machine == null) {
                return stranger(report);
            }
            if (machine.trusted() && report.token() < term && report.newerThan(machine.session(), machine.sequence())) {
                // Within one life neither the token nor the numbers fall.
                return newLife(machine);
            }
            if (!machine.advance(report, false, now)) {
                return notNewer(machine, report, now);
            }
            cluster.worked(report.pieces().size() + 1);
            callbacks.cameUp(machine);
            if (report.token() != term) {
                return unheard(machine, now);
            }
            take(machine, report, true, now);
            if (unresponsive(machine)) {
                return giveUp(machine);
            }
            machine.answered(aliveUntil(now));
            Commands commands = new Commands();
            command(machine, commands);
            if (mayAct.getAsBoolean()) {
                launch(machine, report, commands, now);
            }
            return commands.isEmpty() ? nothing : commands.reply(term);
        }
    }

    /**
     * A machine that no stored rental names holds nothing of ours. It is used once it shows the current token: a copy
     * of an old report, of a machine that was returned since, never does.
     */
    private Reply stranger(Report report) {
        if (callbacks.isGone(report.machine())) {
            return Reply.later(503, "the machine was returned", 1);
        }
        if (report.token() == term && callbacks.adopt(report) == null) {
            return Reply.later(503, "machine type " + report.build() + " is not known", 1);
        }
        return nothing;
    }

    /**
     * An older message, or a copy, says nothing new and must extend no bound, so it is not answered 200. The exception
     * is a report that the answer to a direct command has just overtaken: its worker still waits.
     */
    private Reply notNewer(Machine machine, Report report, long now) {
        if (machine.overtaken(report, OVERTAKEN_MICROS, now)) {
            machine.answered(aliveUntil(now));
            return nothing;
        }
        if (machine.countsAnew(report)) {
            callbacks.ask(machine);
        }
        return Reply.later(503, "a newer report was seen", 1);
    }

    /**
     * The machine does not know this term yet: it may still obey an earlier leader. It is told, but not without end.
     */
    private Reply unheard(Machine machine, long now) {
        if (unresponsive(machine)) {
            return giveUp(machine);
        }
        machine.unaware(now);
        machine.answered(aliveUntil(now));
        return nothing;
    }

    /** True if the machine alone, or with few others, hears nothing; if many do, the fault is on this side. */
    private boolean unresponsive(Machine machine) {
        if (!machine.unresponsive()) {
            return false;
        }
        long unresponsive =
                cluster.machines().stream().filter(Machine::unresponsive).count();
        return unresponsive <= Math.max(2, cluster.machines().size() / MOST_UNRESPONSIVE_PART);
    }

    /** It hears nothing: not answering lets its lease, and with it its tasks, run out; then it goes back. */
    private Reply giveUp(Machine machine) {
        if (machine.state() == Machine.State.UP) {
            LOG.info(
                    "machine {} ({}) does not react to its commands",
                    machine.name(),
                    machine.type().name());
            callbacks.progressed();
            if (machine.trusted()) {
                machine.leave("it hears nothing");
            } else {
                machine.scheduleReturn("it hears nothing");
            }
        }
        return Reply.later(503, "earlier answers did not arrive", 1);
    }

    /** The report in the answer to a direct command. It can't show that a launch did not happen. */
    public void answered(Report report) {
        synchronized (cluster) {
            Machine machine = cluster.machine(report.machine());
            if (machine != null && report.token() == term && machine.advance(report, true, loop.nowMicros())) {
                take(machine, report, false, loop.nowMicros());
            }
        }
    }

    /**
     * What the machine said when it was asked how far it counts: less than it had counted when it was asked means that
     * it is a new life of it. If reports have been taken since, the answer is older than they are and says nothing.
     */
    public void asked(Report report, long sessionBefore, long sequenceBefore) {
        synchronized (cluster) {
            Machine machine = cluster.machine(report.machine());
            if (machine != null
                    && machine.session() == sessionBefore
                    && machine.sequence() == sequenceBefore
                    && !report.newerThan(sessionBefore, sequenceBefore)) {
                newLife(machine);
            }
        }
    }

    /**
     * The machine has started again under its name. It goes back to the cloud: copies of reports from its old life
     * could not be told from later ones of the new. What it was given stays counted until the cloud has taken it, or
     * its lease has run out, since the new life may have been given some of it.
     */
    private Reply newLife(Machine machine) {
        if (!machine.toBeReturned()) {
            LOG.info("machine {} has restarted under its old name", machine.name());
            machine.scheduleReturn("it has restarted");
        }
        return Reply.later(503, "the machine is taken for one that has started again", 1);
    }

    private void take(Machine machine, Report report, boolean ownReport, long now) {
        if (!machine.trusted()) {
            machine.trust();
            machine.heeded();
            cluster.cleared(machine);
            LOG.debug(
                    "machine {} ({}, {}) heard with {} tasks",
                    machine.name(),
                    machine.type().name(),
                    machine.zone(),
                    report.pieces().size());
            callbacks.progressed();
        }
        Set<Allocation> shown = new HashSet<>();
        boolean heeded = false;
        boolean unheeded = false;
        for (TaskState piece : report.pieces()) {
            Allocation allocation = machine.allocation(piece.uid(), piece.index(), piece.attempt());
            if (allocation == null) {
                allocation = found(machine, piece, now);
            } else if (!allocation.ended()) {
                heeded |= allocation.unconfirmed();
                allocation.seen(piece.stage(), now);
                if (allocation.ended()) {
                    ended(machine, allocation, piece.cause(), now);
                }
            } else if (ownReport && allocation.reapSequence() > 0 && allocation.reapSequence() < report.sequence()) {
                unheeded = true;
            }
            shown.add(allocation);
        }
        if (shown.size() < machine.allocations().size()) {
            for (Allocation allocation : List.copyOf(machine.allocations())) {
                boolean neverStarted =
                        allocation.unconfirmed() && ownReport && allocation.launchSequence() < report.sequence();
                if (!shown.contains(allocation) && (neverStarted || !allocation.unconfirmed())) {
                    unheeded |= neverStarted;
                    heeded |= !neverStarted;
                    vacate(machine, allocation);
                }
            }
        }
        if (heeded) {
            machine.heeded();
        } else if (unheeded) {
            machine.unheeded(now);
        }
    }

    private Allocation found(Machine machine, TaskState piece, long now) {
        ActiveJob job = cluster.job(piece.uid());
        if (job != null && (piece.index() < 0 || piece.index() >= job.spec().pieces())) {
            job = null;
        }
        boolean elsewhere = job != null && job.isAllocated(piece.index());
        Allocation allocation = Allocation.found(job, piece.uid(), piece.index(), piece.attempt(), piece.stage());
        machine.add(allocation);
        if (allocation.ended()) {
            ended(machine, allocation, piece.cause(), now);
        } else if (elsewhere) {
            LOG.error("{}/{} is on {} and elsewhere, stopping it here", piece.uid(), piece.index(), machine.name());
            allocation.halt(0);
        }
        return allocation;
    }

    private void ended(Machine machine, Allocation allocation, String cause, long now) {
        ActiveJob job = allocation.job();
        callbacks.progressed();
        if (job == null) {
            return;
        }
        allocation.release();
        switch (cause) {
            case "done" -> {
                if (allocation.runningSinceMicros() >= 0) {
                    long ran = now - allocation.runningSinceMicros();
                    machine.ran((double) ran / estimates.expectedMicros(job.spec()), job.uid());
                    estimates.measured(job, ran);
                }
                machine.clearBlame(job.uid());
                judge(job);
                if (job.settle(allocation.index()) && !job.cancelled()) {
                    writer.enqueue(job);
                }
            }
            case "error" -> failed(machine, job, allocation);
            case "no_room", "busy", "no_such" ->
                LOG.info("{} refused {}/{}: {}", machine.name(), allocation.uid(), allocation.index(), cause);
            default -> LOG.debug("{}/{} ended on {}: {}", allocation.uid(), allocation.index(), machine.name(), cause);
        }
    }

    /** A job that succeeds is no mistake: the machines that failed it before are the faulty ones. */
    private void judge(ActiveJob job) {
        for (String name : job.failedOn()) {
            Machine blamed = cluster.machine(name);
            if (blamed != null && blamed.blamedBy().contains(job.uid())) {
                LOG.info("machine {} is considered faulty: {} succeeds elsewhere", name, job.uid());
                blamed.leave("faulty");
            }
        }
    }

    private void failed(Machine machine, ActiveJob job, Allocation allocation) {
        if (job.cancelled() || machine.state() == Machine.State.LEAVING) {
            return;
        }
        switch (FaultAttribution.failed(job, machine)) {
            case MACHINE -> {
                LOG.info(
                        "machine {} is considered faulty: it failed {}/{}",
                        machine.name(),
                        allocation.uid(),
                        allocation.index());
                machine.leave("faulty");
                job.failedOn().remove(machine.name());
            }
            case JOB -> {
                for (Machine blamed : cluster.machines()) {
                    blamed.clearBlame(job.uid());
                }
                job.failAttempt(
                        retries, loop.wallMicros(), "its tasks failed on " + String.join(" and ", job.failedOn()));
                job.failedOn().clear();
                LOG.info("job {}: {}", job.uid(), job.reason());
                writer.enqueue(job);
            }
            default ->
                LOG.info(
                        "{}/{} failed on {}, trying it elsewhere",
                        allocation.uid(),
                        allocation.index(),
                        machine.name());
        }
    }

    private void vacate(Machine machine, Allocation allocation) {
        machine.remove(allocation);
        allocation.release();
        callbacks.progressed();
    }

    /** Reaps what is settled and stops what must not run; both are repeated until the reports show them done. */
    public void command(Machine machine, Commands commands) {
        for (Allocation allocation : machine.allocations()) {
            if (commands.full()) {
                return;
            }
            ActiveJob job = allocation.job();
            boolean idle = job == null || job.cancelled();
            if (allocation.ended()) {
                // The worker is the only one to know of a completion until the store does.
                if (idle || !job.isDone(allocation.index()) || job.isStored(allocation.index())) {
                    allocation.reapCommanded(machine.sequence());
                    commands.reap(allocation.uid(), allocation.index(), allocation.attempt());
                }
            } else if (allocation.unconfirmed()) {
                if (idle) {
                    commands.halt(allocation.uid(), allocation.index(), allocation.attempt(), 0);
                }
            } else if (idle || job.isDone(allocation.index())) {
                commands.halt(allocation.uid(), allocation.index(), allocation.attempt(), 0);
            } else if (allocation.halting()) {
                commands.halt(
                        allocation.uid(), allocation.index(), allocation.attempt(), allocation.haltWindDownMicros());
            }
        }
    }

    /**
     * Gives the machine what the plan has for it, and what it had no room for elsewhere as far as there is room here.
     */
    private void launch(Machine machine, Report report, Commands commands, long now) {
        List<Assignment> planned = plan.launches().remove(machine.name());
        if (!planner.usable(machine, now)) {
            return;
        }
        if (planned != null) {
            launch(machine, planned, report, commands, now);
        }
        if (machine.freeCpus() > 0) {
            List<Assignment> left = planner.fill(plan, machine, now, loop.wallMicros());
            if (!left.isEmpty()) {
                launch(machine, left, report, commands, now);
            }
        }
    }

    private void launch(Machine machine, List<Assignment> assignments, Report report, Commands commands, long now) {
        TeamUse usage = cluster.usage();
        // A machine that has not heeded its last answer is tried with one task, not with all that it has room for.
        int most = machine.unheededCount() > 0 ? 1 : Integer.MAX_VALUE;
        for (Assignment assignment : assignments) {
            ActiveJob job = assignment.job();
            if (!cluster.launchable(job, loop.wallMicros()) || !Cluster.allows(job.spec(), machine)) {
                continue;
            }
            int count = Math.min(
                    assignment.count(),
                    Math.min(
                            machine.room(job.spec()),
                            Math.min(cluster.headroom(job.spec(), usage), cluster.zoneRoom(job, machine.zone()))));
            for (int i = 0; i < count && most > 0 && !commands.full(); i++) {
                int piece = job.nextWaiting();
                if (piece < 0) {
                    break;
                }
                long attempt = (term << TERM_SHIFT) + ++attempts;
                machine.add(Allocation.launched(job, piece, attempt, report.sequence()));
                usage.take(job.spec(), 1);
                most--;
                commands.launch(job.uid(), piece, attempt);
            }
        }
    }

    /** Empties machines whose tasks, of several jobs, take a multiple of what such tasks take elsewhere. */
    public void drainSlow() {
        long now = loop.nowMicros();
        for (Machine machine : cluster.machines()) {
            int late = 0;
            Set<String> lateJobs = new HashSet<>();
            for (Allocation allocation : machine.allocations()) {
                if (allocation.job() != null
                        && !allocation.ended()
                        && allocation.runningSinceMicros() >= 0
                        && now - allocation.runningSinceMicros()
                                > Machine.SLOW_RATIO
                                        * estimates.expectedMicros(
                                                allocation.job().spec())) {
                    late++;
                    lateJobs.add(allocation.uid());
                }
            }
            if (machine.state() == Machine.State.UP
                    && (machine.slow()
                            || lateJobs.size() > 1
                                    && late > machine.allocations().size() / 2)) {
                LOG.info(
                        "machine {} ({}) is considered slow",
                        machine.name(),
                        machine.type().name());
                machine.leave("slow");
            }
        }
    }

    /** Clears what can't be alive any more on machines that were not heard for longer than their lease. */
    public void expire() {
        long now = loop.nowMicros();
        for (Machine machine : cluster.machines()) {
            if (machine.leaseBoundMicros() <= now) {
                machine.endSession();
                cluster.cleared(machine);
                if (mayAct.getAsBoolean()) {
                    callbacks.wentDown(machine);
                }
                if (!machine.allocations().isEmpty()) {
                    LOG.info(
                            "machine {} is silent beyond its lease, {} tasks are queued again",
                            machine.name(),
                            machine.allocations().size());
                    clear(machine);
                }
            }
        }
    }

    /** All tasks of the machine are certainly gone. */
    public void clear(Machine machine) {
        machine.clearAllocations().forEach(Allocation::release);
        callbacks.progressed();
    }
}
