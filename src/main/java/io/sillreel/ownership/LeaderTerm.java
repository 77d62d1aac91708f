package io.sillreel.ownership;

import io.sillreel.admission.LiveCounts;
import io.sillreel.cloud.CloudClient;
import io.sillreel.cloud.MachineType;
import io.sillreel.fleet.Allocation;
import io.sillreel.fleet.FleetKeeper;
import io.sillreel.fleet.Machine;
import io.sillreel.http.Call;
import io.sillreel.http.Caller;
import io.sillreel.http.Loop;
import io.sillreel.http.Reply;
import io.sillreel.ownership.StoredState.StoredJob;
import io.sillreel.peer.Peers;
import io.sillreel.pipeline.ActiveJob;
import io.sillreel.pipeline.CascadingCancellation;
import io.sillreel.pipeline.DependencyGraph;
import io.sillreel.pipeline.JobSpec;
import io.sillreel.pipeline.PlanRecord;
import io.sillreel.pipeline.RetrySchedule;
import io.sillreel.pipeline.RunRecord;
import io.sillreel.placement.CapacityPlanner;
import io.sillreel.placement.Cluster;
import io.sillreel.placement.Deadlines;
import io.sillreel.placement.Demand;
import io.sillreel.placement.Estimates;
import io.sillreel.placement.Planner;
import io.sillreel.placement.PriorityInheritance;
import io.sillreel.settings.OperatorProperties;
import io.sillreel.settings.Settings;
import io.sillreel.statestore.KeyWriter;
import io.sillreel.statestore.StateStore;
import io.sillreel.statestore.StateStore.Change;
import io.sillreel.statestore.StateStore.Outcome;
import io.sillreel.workers.Commands;
import io.sillreel.workers.Report;
import io.sillreel.workers.ReportProcessor;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongPredicate;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Everything a controller holds while it leads one term: built from the stored plans, records and fleet and from the
 * machines' reports, thrown away with the term. A deposed leader has nothing left to act on.
 */
public final class LeaderTerm
        implements ReportProcessor.Callbacks, ActiveJob.Watcher, DependencyGraph.Callbacks, LiveCounts {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderTerm.class);
    private static final long TICK_MICROS = 100_000;
    private static final long PLAN_AT_LEAST_MICROS = 2_000_000;
    private static final long PLAN_EVERY_MICROS = 200_000;
    private static final long PLAN_REST_FACTOR = 8;
    private static final int MOST_PUSHES = 6;
    private static final long STATUS_MICROS = 10_000_000;
    private static final long FLEET_MICROS = 1_000_000;
    private static final long RETRY_MICROS = 300_000;
    private static final long PLAN_WATCH_MICROS = 10_000_000;
    private static final long CANCELLATIONS_WATCH_MICROS = 1_000_000;
    /** Launches need to have asked for cancellations this recently. */
    private static final long CANCELLATIONS_STALE_MICROS = 4_000_000;

    private static final long GRACE_MARGIN_MICROS = 1_500_000;
    private static final int MOST_DONE_REMEMBERED = 4_000;
    private static final long LOOK_AGAIN_MICROS = 1_000_000;
    private static final long DO_TIMEOUT_MICROS = 3_000_000;
    /** A task that needs so many times what its machine has left is not worth waiting for. */
    private static final double UNFINISHABLE_FACTOR = 1.5;
    /** So long without any report, while others get some they can't hand on, or while nobody says anything. */
    private static final long UNREACHED_MICROS = 6_000_000;

    private static final long ISOLATED_MICROS = 12_000_000;
    /** So long without knowing the cancellations, in which nothing may be launched, while the lease is renewed. */
    private static final long CANCELLATIONS_UNKNOWN_MICROS = 15_000_000;

    private static final long CANDIDACY_PAUSE_MICROS = 10_000_000;
    /** A worker finds another controller within two time-outs and a report. */
    private static final long DETOURS_OVER_MICROS = 15_000_000;

    private final Loop loop;
    private final StateStore store;
    private final Caller caller;
    private final Settings settings;
    private final Leadership leadership;
    private final long term;
    private final Supplier<Map<String, MachineType>> types;
    private final Peers peers;

    private final Cluster cluster;
    private final KeyWriter writer;
    private final Estimates estimates = new Estimates();
    private final Planner planner;
    private final CapacityPlanner capacity;
    private final ReportProcessor reportProcessor;
    private final FleetKeeper fleet;
    private final DependencyGraph dependencies = new DependencyGraph(this);
    private final PriorityInheritance inheritance = new PriorityInheritance(dependencies, estimates);
    /** Jobs that are certainly done, as far as they are remembered; the store knows of all. */
    private final Set<String> doneUids = Collections.newSetFromMap(new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > MOST_DONE_REMEMBERED;
        }
    });

    private final Set<String> cancelledUids = new HashSet<>();
    private final Set<Machine> haltsDue = new LinkedHashSet<>();

    private boolean loaded;
    private boolean closed;
    private boolean dirty = true;
    private long cancellationProofMicros;
    private long plannedMicros;
    private long fleetMicros;
    private long statusMicros;
    private long reportMicros;
    private long loadedMicros;
    private long disturbedMicros;
    private long planCostMicros;
    private long planMicros;
    private long plans;
    private final Set<String> sentToLook = new HashSet<>();

    /** Creates the state of one term; {@link #start} begins to read what is stored. */
    public LeaderTerm(
            Loop loop,
            StateStore store,
            CloudClient cloud,
            Caller caller,
            Settings settings,
            OperatorProperties operator,
            Leadership leadership,
            long term,
            long leaderStamp,
            Supplier<Map<String, MachineType>> types,
            Peers peers) {
        this.loop = loop;
        this.store = store;
        this.caller = caller;
        this.settings = settings;
        this.leadership = leadership;
        this.term = term;
        this.types = types;
        this.peers = peers;
        this.cluster = new Cluster(settings.teams());
        this.writer = new KeyWriter(
                store,
                loop,
                Leadership.LEADER_KEY,
                leaderStamp,
                settings.state().txnOps(),
                () -> leadership.resign("the leader key has changed"));
        Deadlines deadlines = new Deadlines(settings.objectives(), estimates);
        this.planner = new Planner(cluster, settings.workers().reportMicros(), deadlines);
        this.capacity = new CapacityPlanner(cluster, deadlines, estimates);
        RetrySchedule retries = new RetrySchedule(
                operator.retryInitialMicros(), operator.retryMaximumMicros(), operator.parkedMicros());
        this.reportProcessor = new ReportProcessor(
                loop, term, cluster, writer, settings.workers(), retries, estimates, planner, this, this::mayAct);
        this.fleet = new FleetKeeper(
                loop,
                term,
                cluster,
                cloud,
                writer,
                settings,
                operator,
                capacity,
                types,
                this::mayAct,
                this::undisturbed,
                reportProcessor::clear);
    }

    public void start() {
        load();
    }

    public void close() {
        closed = true;
        writer.close();
    }

    public long term() {
        return term;
    }

    /** Launches, rentals and returns need proof of holding the lease and of knowing the cancellations. */
    private boolean mayAct() {
        return !closed
                && loaded
                && leadership.proven()
                && leadership.heldTerm() == term
                && loop.nowMicros() - cancellationProofMicros < CANCELLATIONS_STALE_MICROS;
    }

    /**
     * How long after the last proof reports are still answered. A cancellation that this leader can't hear of is told
     * to a user after that proof; tasks answered until then plus the lease are gone before cancel_s is over.
     */
    private long gracePeriodMicros() {
        return Math.max(
                0, settings.workers().cancelMicros() - settings.workers().leaseMicros() - GRACE_MARGIN_MICROS);
    }

    private boolean mayKeepAlive() {
        long proof = Math.min(leadership.proofMicros(), cancellationProofMicros);
        return loop.nowMicros() < proof + gracePeriodMicros();
    }

    // --- Taking over -----------------------------------------------------------------------------------------------

    private void load() {
        if (closed) {
            return;
        }
        if (types.get().isEmpty()) {
            loop.after(RETRY_MICROS, this::load);
            return;
        }
        long asked = loop.nowMicros();
        LongPredicate countsAsDemand = admitted -> Demand.remembers(admitted, loop.wallMicros());
        new StoredStateReader(store, settings.state().values().presentBytes(), countsAsDemand)
                .read()
                .thenAccept(state -> {
                    if (closed) {
                        return;
                    }
                    if (state.isEmpty()) {
                        loop.after(RETRY_MICROS, this::load);
                        return;
                    }
                    cancellationProofMicros = asked;
                    begin(state.get());
                });
    }

    private void begin(StoredState state) {
        synchronized (cluster) {
            cancelledUids.addAll(state.cancelled());
            state.recentlyDone().forEach(plan -> capacity.arrived(plan.spec(), plan.admittedWallMicros()));
            toWrite(state.leftovers());
            List<ActiveJob> unfinished = new ArrayList<>();
            state.unfinished().forEach(stored -> unfinished.add(inherit(stored)));
            dependencies.begin(unfinished, state.done()::contains, cancelledUids::contains);
            unfinished.forEach(inheritance::joined);
            long bound = reportProcessor.aliveUntil(loop.nowMicros()) + gracePeriodMicros() + GRACE_MARGIN_MICROS / 3;
            state.rentals().forEach(rental -> fleet.inherit(rental, bound));
            loaded = true;
            loadedMicros = loop.nowMicros();
            dirty = true;
        }
        LOG.info(
                "term {} begins with {} unfinished jobs and {} machines",
                term,
                cluster.jobs().size(),
                cluster.machines().size());
        watchPlans(state.plansRevision());
        watchCancellations(state.cancellationsRevision());
        loop.after(0, this::tick);
    }

    private ActiveJob inherit(StoredJob stored) {
        ActiveJob job = create(stored.plan(), stored.planStamp());
        if (stored.head() != null) {
            job.inherit(stored.headStamp(), stored.head(), stored.pieces());
        }
        add(job);
        if (job.complete() && !job.cancelled()) {
            writer.enqueue(job);
        }
        return job;
    }

    @Override
    public void toWrite(List<? extends KeyWriter.Item> items) {
        items.forEach(writer::enqueue);
    }

    private ActiveJob create(PlanRecord plan, long stamp) {
        return new ActiveJob(
                plan.spec(), stamp, plan.admittedWallMicros(), settings.state().values(), this);
    }

    private void add(ActiveJob job) {
        if (cancelledUids.contains(job.uid())) {
            job.cancel();
        }
        if (!job.awaitsOthers()) {
            capacity.arrived(job.spec(), job.readyWallMicros());
        }
        cluster.add(job);
        dirty = true;
    }

    /** A job that was admitted during the term; names in overflow values are read first. */
    private void enter(PlanRecord plan, long stamp) {
        plan.complete(store).thenAccept(complete -> {
            if (closed) {
                return;
            }
            if (complete.isEmpty()) {
                loop.after(RETRY_MICROS, () -> enter(plan, stamp));
                return;
            }
            synchronized (cluster) {
                if (cluster.job(plan.spec().uid()) == null) {
                    ActiveJob job = create(complete.get(), stamp);
                    add(job);
                    dependencies.enter(job, cancelledUids::contains);
                    inheritance.joined(job);
                }
            }
        });
    }

    @Override
    public void ready(ActiveJob job) {
        if (job.cancelled()) {
            return;
        }
        if (job.awaitsOthers()) {
            job.ready(loop.wallMicros());
            capacity.arrived(job.spec(), job.readyWallMicros());
        }
        if (!job.released()) {
            writer.enqueue(job);
        }
    }

    /**
     * The cancellation of what follows is told from that of the first; writing it down spares readers to look for it.
     */
    @Override
    public void closed(ActiveJob job, String because) {
        if (cancelledUids.add(job.uid())) {
            LOG.info("cancelled {}, which needs {}", job.uid(), because);
            writer.enqueue(new CascadingCancellation(job.uid(), because, loop.wallMicros()));
        }
        foundCancelled(job);
    }

    @Override
    public void lookUp(String uid) {
        if (closed || !dependencies.asks(uid)) {
            return;
        }
        if (doneUids.contains(uid)) {
            dependencies.found(uid);
            return;
        }
        store.get(RunRecord.key(uid)).thenAccept(read -> {
            synchronized (cluster) {
                if (read.outcome() == Outcome.OK
                        && RunRecord.Head.of(read.entry().value()).isDone()) {
                    doneUids.add(uid);
                    dependencies.found(uid);
                    return;
                }
            }
            // Not read, or not done though nobody drives it: its plan may yet be seen.
            loop.after(LOOK_AGAIN_MICROS, () -> {
                synchronized (cluster) {
                    lookUp(uid);
                }
            });
        });
    }

    private void watchPlans(long since) {
        follow(
                PlanRecord.PREFIX,
                since,
                PLAN_WATCH_MICROS,
                change -> {
                    if (change.value() != null) {
                        enter(PlanRecord.of(change.value()), change.stamp());
                    }
                },
                sent -> {});
    }

    private void watchCancellations(long since) {
        follow(
                StoredStateReader.CANCELLATIONS,
                since,
                CANCELLATIONS_WATCH_MICROS,
                change -> cancelled(change.key().substring(StoredStateReader.CANCELLATIONS.length())),
                sent -> cancellationProofMicros = Math.max(cancellationProofMicros, sent));
    }

    /** A cancellation has been stored: seen there, or heard of from the controller that stored it. */
    public void cancelled(String uid) {
        synchronized (cluster) {
            cancelledUids.add(uid);
            ActiveJob job = cluster.job(uid);
            if (job != null) {
                foundCancelled(job);
            }
            dependencies.cancelled(uid);
        }
    }

    /** Follows the changes under a prefix for as long as the term lasts. */
    private void follow(String prefix, long since, long blockMicros, Consumer<Change> each, Consumer<Long> proven) {
        if (closed) {
            return;
        }
        long sent = loop.nowMicros();
        store.watch(prefix, since, blockMicros).thenAccept(result -> {
            if (closed) {
                return;
            }
            switch (result.outcome()) {
                case OK -> {
                    synchronized (cluster) {
                        result.changes().forEach(each);
                    }
                    proven.accept(sent);
                    follow(prefix, result.ledger(), blockMicros, each, proven);
                }
                case COMPACTED -> leadership.resign("the changes under " + prefix + " were missed");
                default -> loop.after(RETRY_MICROS, () -> follow(prefix, since, blockMicros, each, proven));
            }
        });
    }

    // --- Reports ---------------------------------------------------------------------------------------------------

    /** Answers a worker's report, or says that this controller may not. */
    public Reply answer(Report report) {
        if (report.token() > term) {
            leadership.heard(null, report.token());
            return Reply.later(503, "a later term has begun", 1);
        }
        if (closed || !loaded) {
            return Reply.later(503, "the term is only beginning", 1);
        }
        reportMicros = loop.nowMicros();
        if (!mayKeepAlive()) {
            return Reply.later(503, "the state service has not confirmed the lease for too long", 1);
        }
        if (!leadership.proven() && betterElsewhere(report.machine())) {
            return Reply.later(503, "another controller may hold the lease by now", 1);
        }
        return reportProcessor.report(report);
    }

    /**
     * Without proof of the lease nothing is launched here, and another controller may lead. If the state service
     * answers somebody else, one does or soon will, so workers are let go while their tasks live. If nobody is heard at
     * all, this controller is more likely cut off than everybody down: each worker is sent to look once, and kept if it
     * comes back. If others are heard and are not answered either, it is an outage for all, in which holding over saves
     * the tasks.
     */
    private boolean betterElsewhere(String machine) {
        if (peers.storeAnswersAnother()) {
            return true;
        }
        return settings.controllers() > 1 && peers.silent() && sentToLook.add(machine);
    }

    /** Looks, about once a second, whether the workers reach this leader at all. */
    public void review() {
        long now = loop.nowMicros();
        boolean expected;
        synchronized (cluster) {
            expected = loaded
                    && cluster.machines().stream().anyMatch(machine -> machine.trusted() || machine.mayHoldEarlier());
        }
        if (leadership.proven()) {
            sentToLook.clear();
            boolean cancellationsUnknown = loaded && now - cancellationProofMicros > CANCELLATIONS_UNKNOWN_MICROS;
            if (cancellationsUnknown || writer.stuck()) {
                // The lease is held and nothing comes of it; whoever begins anew from what is stored is better off.
                if (settings.controllers() > 1) {
                    leadership.pauseCandidacy(CANDIDACY_PAUSE_MICROS);
                }
                leadership.resign(
                        cancellationsUnknown ? "cancellations can't be followed" : "writes do not come to an end");
                return;
            }
        }
        boolean heardElsewhere = peers.fresh().stream().anyMatch(peer -> peer.unanswered() > 0);
        if (heardElsewhere || peers.fresh().size() < settings.controllers() - 1 || !leadership.proven()) {
            disturbedMicros = now;
        }
        if (settings.controllers() == 1 || !heardElsewhere && !peers.silent()) {
            // Nobody else could lead, or nobody hears a worker, so there is none to hear.
            return;
        }
        long patience = heardElsewhere ? UNREACHED_MICROS : ISOLATED_MICROS;
        if (expected && now - Math.max(reportMicros, loadedMicros) > patience) {
            // Whoever can be reached may lead instead; tasks die if nobody answers for them.
            leadership.pauseCandidacy(CANDIDACY_PAUSE_MICROS);
            leadership.resign("no worker reaches this controller");
        }
    }

    /** True if no worker has had to look for another controller lately: then a silent one is not on its way to one. */
    private boolean undisturbed() {
        return loop.nowMicros() - Math.max(disturbedMicros, loadedMicros) > DETOURS_OVER_MICROS;
    }

    @Override
    public Machine adopt(Report report) {
        return fleet.adopt(report.machine(), report.build(), report.zone(), report.spot());
    }

    @Override
    public boolean isGone(String machine) {
        return fleet.isGone(machine);
    }

    @Override
    public void cameUp(Machine machine) {
        fleet.cameUp(machine);
    }

    @Override
    public void wentDown(Machine machine) {
        fleet.wentDown(machine);
    }

    @Override
    public void progressed() {
        dirty = true;
    }

    @Override
    public void ask(Machine machine) {
        if (machine.address() == null) {
            return;
        }
        long session = machine.session();
        long sequence = machine.sequence();
        caller.call(machine.address(), Call.get("/status"), DO_TIMEOUT_MICROS).thenAccept(reply -> {
            Report report = !closed && reply.ok() ? Report.read(reply.body()) : null;
            if (report != null && report.machine().equals(machine.name())) {
                reportProcessor.asked(report, session, sequence);
            }
        });
    }

    /**
     * Plans anew if anything has changed since the last time, and seldom enough that planning leaves most of the
     * processor to reports: at a fraction of a core one plan for hundreds of machines takes many milliseconds.
     */
    private void plan() {
        long now = loop.nowMicros();
        if (!dirty
                || !mayAct()
                || now - plannedMicros < Math.max(PLAN_EVERY_MICROS, PLAN_REST_FACTOR * planCostMicros)) {
            return;
        }
        dirty = false;
        plannedMicros = now;
        Planner.Plan plan = planner.plan(now, loop.wallMicros());
        reportProcessor.plan(plan);
        for (Allocation allocation : plan.halts()) {
            LOG.debug("stopping {}/{} to make room", allocation.uid(), allocation.index());
            allocation.halt(allocation.job().spec().saveMicros() + 1_000_000);
            haltsDue.add(allocation.machine());
        }
        planCostMicros = loop.nowMicros() - now;
        plans++;
        planMicros += planCostMicros;
    }

    @Override
    public void recordStored(ActiveJob job) {
        synchronized (cluster) {
            dirty = true;
            dependencies.released(job);
            if (job.doneStored()) {
                cluster.remove(job);
                doneUids.add(job.uid());
                LOG.info("done {}", job.uid());
                dependencies.done(job);
            }
        }
    }

    @Override
    public void foundCancelled(ActiveJob job) {
        synchronized (cluster) {
            if (!job.cancelled()) {
                job.cancel();
                dirty = true;
                halt(job);
                inheritance.left(List.of(job));
            }
        }
    }

    private void halt(ActiveJob job) {
        for (Allocation allocation : cluster.book().of(job)) {
            haltsDue.add(allocation.machine());
        }
    }

    /** Sends a machine its commands without waiting for its next report; what gets lost is repeated there. */
    private void push(Machine machine) {
        if (machine.address() == null || !machine.trusted()) {
            return;
        }
        Commands commands = new Commands();
        reportProcessor.command(machine, commands);
        if (commands.isEmpty()) {
            return;
        }
        Call call = Call.post("/do", commands.body(term).put("shift", machine.session()));
        caller.call(machine.address(), call, DO_TIMEOUT_MICROS).thenAccept(reply -> {
            if (!closed && (reply.status() == 200 || reply.status() == 409)) {
                Report report = Report.read(reply.body());
                if (report != null) {
                    reportProcessor.answered(report);
                }
            }
        });
    }

    // --- Ticking ---------------------------------------------------------------------------------------------------

    private void tick() {
        if (closed) {
            return;
        }
        loop.after(TICK_MICROS, this::tick);
        long now = loop.nowMicros();
        List<Machine> toPush = new ArrayList<>();
        synchronized (cluster) {
            reportProcessor.expire();
            dirty |= now - plannedMicros > PLAN_AT_LEAST_MICROS;
            plan();
            haltsDue.addAll(drainRecalled(now));
            // A few at a time: what is not pushed is told in answer to the machine's next report anyway.
            var due = haltsDue.iterator();
            while (due.hasNext() && toPush.size() < MOST_PUSHES) {
                toPush.add(due.next());
                due.remove();
            }
        }
        toPush.forEach(this::push);
        if (mayAct() && now - fleetMicros > FLEET_MICROS) {
            fleetMicros = now;
            synchronized (cluster) {
                reportProcessor.drainSlow();
            }
            fleet.tick();
            forgetCancelled(now);
            tellStatus(now);
        }
    }

    /**
     * Tasks that can save are stopped while there is time to. The others may yet end by themselves; those that surely
     * won't lose nothing by being stopped at once, and start elsewhere so much sooner.
     */
    private Set<Machine> drainRecalled(long now) {
        Set<Machine> touched = new LinkedHashSet<>();
        for (Machine machine : cluster.machines()) {
            if (!machine.recalled()) {
                continue;
            }
            long left = machine.recallAtMicros() - now;
            for (Allocation allocation : machine.allocations()) {
                if (allocation.job() == null
                        || allocation.ended()
                        || allocation.unconfirmed()
                        || allocation.halting()) {
                    continue;
                }
                JobSpec spec = allocation.job().spec();
                if (spec.saves()
                        ? left < 2 * spec.saveMicros() + 3_000_000
                        : remainingMicros(allocation, now) > UNFINISHABLE_FACTOR * left) {
                    allocation.halt(spec.saves() ? spec.saveMicros() + 1_000_000 : 0);
                    touched.add(machine);
                }
            }
        }
        return touched;
    }

    private long remainingMicros(Allocation allocation, long now) {
        long ran = allocation.runningSinceMicros() < 0 ? 0 : now - allocation.runningSinceMicros();
        return estimates.expectedMicros(allocation.job()) - ran;
    }

    /** A cancelled job is kept for as long as one of its tasks may be anywhere. */
    private void forgetCancelled(long now) {
        synchronized (cluster) {
            if (!cluster.allHeard()) {
                return;
            }
            for (ActiveJob job : List.copyOf(cluster.jobs())) {
                if (job.cancelled() && job.allocatedCount() == 0) {
                    cluster.remove(job);
                    dependencies.forget(job);
                    toWrite(job.leftovers());
                }
            }
        }
    }

    // --- For display -----------------------------------------------------------------------------------------------

    @Override
    public Counts of(String uid) {
        synchronized (cluster) {
            ActiveJob job = cluster.job(uid);
            return job == null || job.complete()
                    ? null
                    : new Counts(job.doneCount(), job.allocatedCount(), job.reason());
        }
    }

    /** Every so often one line that tells an on-call reader how things stand. */
    private void tellStatus(long now) {
        if (now - statusMicros < STATUS_MICROS
                || cluster.jobs().isEmpty() && cluster.machines().isEmpty()) {
            return;
        }
        statusMicros = now;
        Map<String, Double> gauges = gauges();
        LOG.info(
                "term {}: {} jobs unfinished, {} tasks wait; cpus: {} up, {} busy, {} starting, {} wanted, "
                        + "{} standing; {} machines, {} ordinary",
                term,
                count(gauges, "sillreel.jobs.unfinished"),
                count(gauges, "sillreel.tasks.waiting"),
                count(gauges, "sillreel.cpus.up"),
                count(gauges, "sillreel.cpus.busy"),
                count(gauges, "sillreel.cpus.starting"),
                count(gauges, "sillreel.cpus.wanted"),
                count(gauges, "sillreel.cpus.standing"),
                count(gauges, "sillreel.machines"),
                count(gauges, "sillreel.machines.ordinary"));
    }

    private static long count(Map<String, Double> gauges, String name) {
        return Math.round(gauges.get(name));
    }

    /** For the log and for metrics. */
    public Map<String, Double> gauges() {
        synchronized (cluster) {
            Map<String, Double> gauges = new HashMap<>();
            int waiting = 0;
            for (ActiveJob job : cluster.jobs()) {
                waiting += job.cancelled() || job.awaitsOthers() ? 0 : job.waitingCount();
            }
            double cpus = cluster.machines().stream()
                    .filter(machine -> machine.state() == Machine.State.UP)
                    .mapToDouble(machine -> machine.type().cpus())
                    .sum();
            gauges.put("sillreel.jobs.unfinished", (double) cluster.jobs().size());
            gauges.put("sillreel.tasks.waiting", (double) waiting);
            gauges.put("sillreel.machines", (double) cluster.machines().size());
            gauges.put("sillreel.machines.ordinary", (double) cluster.machines().stream()
                    .filter(machine -> !machine.spot())
                    .count());
            gauges.put("sillreel.cpus.up", cpus);
            gauges.put("sillreel.cpus.busy", capacity.busyCpus());
            gauges.put("sillreel.cpus.starting", capacity.startingCpus());
            gauges.put("sillreel.cpus.wanted", capacity.wantedCpus(loop.wallMicros()));
            gauges.put("sillreel.cpus.standing", capacity.standingCpus(loop.wallMicros()));
            gauges.put("sillreel.writes.waiting", (double) writer.backlog());
            gauges.put("sillreel.machines.unheard", (double) cluster.unheard().size());
            gauges.put("sillreel.plans", (double) plans);
            gauges.put("sillreel.plans.ms", planMicros / 1_000.0);
            gauges.put("sillreel.work", (double) cluster.work());
            return gauges;
        }
    }
}
