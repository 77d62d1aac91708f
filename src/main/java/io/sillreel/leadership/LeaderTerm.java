package io.sillreel.leadership;

import io.sillreel.agent.Heartbeat;
import io.sillreel.cloud.CloudClient;
import io.sillreel.cloud.MachineType;
import io.sillreel.cluster.Cluster;
import io.sillreel.cluster.Machine;
import io.sillreel.fleet.FleetCallbacks;
import io.sillreel.fleet.FleetConfiguration;
import io.sillreel.fleet.FleetManager;
import io.sillreel.fleet.FleetThresholds;
import io.sillreel.fleet.SpotInterruptionDrain;
import io.sillreel.fleet.StragglerDetector;
import io.sillreel.heartbeat.AttemptIds;
import io.sillreel.heartbeat.CommandWriter;
import io.sillreel.heartbeat.HeartbeatProcessor;
import io.sillreel.heartbeat.LeaderHeartbeats;
import io.sillreel.heartbeat.MachineLeases;
import io.sillreel.heartbeat.TaskEndHandler;
import io.sillreel.heartbeat.TaskReconciler;
import io.sillreel.heartbeat.TermOperations;
import io.sillreel.heartbeat.UnresponsiveMachines;
import io.sillreel.http.EventLoop;
import io.sillreel.http.HttpClient;
import io.sillreel.http.HttpRequest;
import io.sillreel.http.HttpResponse;
import io.sillreel.limits.FleetCapacity;
import io.sillreel.peer.Peers;
import io.sillreel.pipeline.ActiveJob;
import io.sillreel.pipeline.LiveTaskCounts;
import io.sillreel.pipeline.RetrySchedule;
import io.sillreel.placement.CapacityPlanner;
import io.sillreel.placement.DemandEstimator;
import io.sillreel.placement.Planner;
import io.sillreel.placement.RuntimeEstimator;
import io.sillreel.placement.ServiceLevelObjectives;
import io.sillreel.settings.OperatorProperties;
import io.sillreel.settings.Settings;
import io.sillreel.statestore.StateStore;
import io.sillreel.statestore.WriteQueue;
import java.util.Map;
import java.util.function.LongPredicate;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Everything a controller holds while it leads one term: built from the stored plans, records and fleet and from the
 * machines' reports, thrown away with the term. A deposed leader has nothing left to act on.
 */
public final class LeaderTerm implements LeaderHeartbeats, TermOperations, LiveTaskCounts {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderTerm.class);
    private static final long TICK_MICROS = 100_000;
    private static final long FLEET_CYCLE_MICROS = 1_000_000;
    private static final long RETRY_MICROS = 300_000;
    /** Launches need to have asked for cancellations this recently. */
    private static final long CANCELLATIONS_STALE_MICROS = 4_000_000;

    private static final long GRACE_MARGIN_MICROS = 1_500_000;
    private static final long STATUS_TIMEOUT_MICROS = 3_000_000;
    private final EventLoop eventLoop;
    private final StateStore store;
    private final HttpClient httpClient;
    private final Settings settings;
    private final LeaderElection leadership;
    private final long term;
    private final Supplier<Map<String, MachineType>> machineTypes;
    private final Cluster cluster;
    private final WriteQueue writeQueue;
    private final RuntimeEstimator runtimeEstimator = new RuntimeEstimator();
    private final CapacityPlanner capacity;
    private final HeartbeatProcessor heartbeatProcessor;
    private final FleetManager fleet;
    private final LeaderJobs jobs;
    private final LeaderStatus status;
    private final LeaderReachability reachability;
    private final SchedulingCycle schedulingCycle;
    private final StragglerDetector stragglerDetector;

    private boolean loaded;
    private boolean closed;
    private long fleetCycleMicros;

    /** Creates the state of one term; {@link #start} begins to read what is stored. */
    public LeaderTerm(
            EventLoop eventLoop,
            StateStore store,
            CloudClient cloud,
            HttpClient httpClient,
            Settings settings,
            OperatorProperties operator,
            FleetCapacity fleetCapacity,
            LeaderElection leadership,
            long term,
            long leaderRevision,
            Supplier<Map<String, MachineType>> types,
            Peers peers) {
        this.eventLoop = eventLoop;
        this.store = store;
        this.httpClient = httpClient;
        this.settings = settings;
        this.leadership = leadership;
        this.term = term;
        this.machineTypes = types;
        this.cluster = new Cluster(settings.teams());
        this.writeQueue = new WriteQueue(
                store,
                eventLoop,
                LeaderElection.LEADER_KEY,
                leaderRevision,
                settings.state().maxTransactionChanges(),
                () -> leadership.resign("the leader key was overwritten"));
        ServiceLevelObjectives objectives = new ServiceLevelObjectives(settings.objectives(), runtimeEstimator);
        Planner planner = new Planner(cluster, settings.workers().heartbeatIntervalMicros(), objectives);
        this.capacity = new CapacityPlanner(cluster, objectives, runtimeEstimator);
        this.jobs = new LeaderJobs(
                eventLoop,
                store,
                cluster,
                writeQueue,
                capacity,
                runtimeEstimator,
                settings.state().values(),
                this::requestScheduling,
                this::stopTasks,
                prefix -> leadership.resign("the watch of " + prefix + " was compacted"));
        this.status = new LeaderStatus(eventLoop, term, cluster, capacity, writeQueue);
        this.heartbeatProcessor = newHeartbeatProcessor(operator, planner);
        this.stragglerDetector = new StragglerDetector(cluster, runtimeEstimator);
        this.reachability = new LeaderReachability(eventLoop, settings, leadership, peers, cluster);
        this.schedulingCycle = new SchedulingCycle(
                eventLoop,
                term,
                cluster,
                httpClient,
                planner,
                heartbeatProcessor,
                new SpotInterruptionDrain(cluster, runtimeEstimator),
                this::mayAct);
        this.fleet = newFleet(cloud, operator, fleetCapacity);
    }

    private HeartbeatProcessor newHeartbeatProcessor(OperatorProperties operator, Planner planner) {
        TaskEndHandler endHandler =
                new TaskEndHandler(eventLoop, cluster, writeQueue, retrySchedule(operator), runtimeEstimator);
        TaskReconciler reconciler = new TaskReconciler(cluster, endHandler, this);
        return new HeartbeatProcessor(
                eventLoop,
                term,
                cluster,
                reconciler,
                new CommandWriter(eventLoop, new AttemptIds(term), cluster, planner),
                new MachineLeases(eventLoop, cluster, settings.workers(), reconciler, this),
                new UnresponsiveMachines(cluster, FleetThresholds.of(settings), this),
                this);
    }

    private FleetManager newFleet(CloudClient cloud, OperatorProperties operator, FleetCapacity fleetCapacity) {
        FleetCallbacks callbacks = new FleetCallbacks() {
            @Override
            public boolean mayAct() {
                return LeaderTerm.this.mayAct();
            }

            @Override
            public boolean isRoutingStable() {
                return reachability.isRoutingStable();
            }

            @Override
            public void clearTasks(Machine machine) {
                heartbeatProcessor.clearTasks(machine);
            }
        };
        return new FleetManager(
                eventLoop,
                term,
                cluster,
                cloud,
                writeQueue,
                capacity,
                new FleetConfiguration(settings, operator, fleetCapacity, machineTypes),
                callbacks);
    }

    private void stopTasks(ActiveJob job) {
        schedulingCycle.requestStops(job);
    }

    private static RetrySchedule retrySchedule(OperatorProperties operator) {
        return new RetrySchedule(operator.retryInitialMicros(), operator.retryMaximumMicros(), operator.parkedMicros());
    }

    /** Begins to read what is stored. */
    public void start() {
        readStoredState();
    }

    /** Ends the term here: nothing is written or launched any more. */
    public void close() {
        closed = true;
        schedulingCycle.close();
        jobs.close();
        writeQueue.close();
    }

    @Override
    public long term() {
        return term;
    }

    /** Launches, rentals and returns need proof of holding the lease and of knowing the cancellations. */
    @Override
    public boolean mayAct() {
        return !closed
                && loaded
                && leadership.isLeaseValid()
                && leadership.heldTerm() == term
                && eventLoop.nowMicros() - jobs.cancellationsKnownUntilMicros() < CANCELLATIONS_STALE_MICROS;
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
        long proof = Math.min(leadership.leaseConfirmedMicros(), jobs.cancellationsKnownUntilMicros());
        return eventLoop.nowMicros() < proof + gracePeriodMicros();
    }

    // --- Taking over -----------------------------------------------------------------------------------------------

    private void readStoredState() {
        if (closed) {
            return;
        }
        if (machineTypes.get().isEmpty()) {
            eventLoop.schedule(RETRY_MICROS, this::readStoredState);
            return;
        }
        long asked = eventLoop.nowMicros();
        LongPredicate countsAsDemand = admitted -> DemandEstimator.isWithinWindow(admitted, eventLoop.wallMicros());
        new StoredStateReader(store, settings.state().values().presentBytes(), countsAsDemand, () -> !closed)
                .read()
                .thenAccept(state -> {
                    if (closed) {
                        return;
                    }
                    if (state.isEmpty()) {
                        eventLoop.schedule(RETRY_MICROS, this::readStoredState);
                        return;
                    }
                    beginLeading(state.get(), asked);
                });
    }

    private void beginLeading(StoredState state, long askedMicros) {
        synchronized (cluster) {
            jobs.restore(state, askedMicros);
            long bound = heartbeatProcessor.leaseExpiryMicros(eventLoop.nowMicros())
                    + gracePeriodMicros()
                    + GRACE_MARGIN_MICROS / 3;
            state.scaleOutRequests().forEach(scaleOutRequest -> fleet.inherit(scaleOutRequest, bound));
            loaded = true;
            reachability.stateLoaded();
            schedulingCycle.markDirty();
        }
        LOG.info(
                "term {} starts with {} unfinished jobs and {} machines",
                term,
                cluster.jobs().size(),
                cluster.machines().size());
        jobs.follow(state);
        eventLoop.schedule(0, this::tick);
    }

    /** A cancellation has been stored: heard of from the controller that stored it. */
    public void jobCancelled(String uid) {
        jobs.jobCancelled(uid);
    }

    // --- Reports ---------------------------------------------------------------------------------------------------

    /** Answers a worker's report, or says that this controller may not. */
    @Override
    public HttpResponse handleHeartbeat(Heartbeat heartbeat) {
        if (heartbeat.fencingToken() > term) {
            leadership.observeTerm(null, heartbeat.fencingToken());
            return HttpResponse.retryLater(503, "a later term has begun", 1);
        }
        if (closed || !loaded) {
            return HttpResponse.retryLater(503, "the term is only beginning", 1);
        }
        reachability.heartbeatReceived();
        if (!mayKeepAlive()) {
            return HttpResponse.retryLater(503, "the state service has not confirmed the lease for too long", 1);
        }
        if (!leadership.isLeaseValid() && reachability.shouldRedirect(heartbeat.machine())) {
            return HttpResponse.retryLater(503, "another controller may hold the lease by now", 1);
        }
        return heartbeatProcessor.process(heartbeat);
    }

    /** Looks, about once a second, whether another controller had better lead. */
    public void checkReachability() {
        if (heartbeatProcessor.hasExhaustedAttemptIds()) {
            leadership.resign("the attempt ids of the term are used up");
            return;
        }
        reachability.resignIfUnreachable(jobs.cancellationsKnownUntilMicros(), writeQueue.isStuck());
    }

    @Override
    public boolean adoptMachine(Heartbeat heartbeat) {
        return fleet.adopt(heartbeat.machine(), heartbeat.machineType(), heartbeat.zone(), heartbeat.spot())
                .isPresent();
    }

    @Override
    public boolean isMachineGone(String machine) {
        return fleet.wasReturned(machine);
    }

    @Override
    public void markMachineUp(Machine machine) {
        fleet.recordMachineUp(machine);
    }

    @Override
    public void markMachineDown(Machine machine) {
        fleet.recordMachineDown(machine);
    }

    @Override
    public void requestScheduling() {
        schedulingCycle.markDirty();
    }

    @Override
    public void queryMachineStatus(Machine machine) {
        if (machine.address() == null) {
            return;
        }
        long epoch = machine.heartbeatOrder().epoch();
        long sequence = machine.heartbeatOrder().sequence();
        httpClient
                .send(machine.address(), HttpRequest.get("/status"), STATUS_TIMEOUT_MICROS)
                .thenAccept(response -> {
                    Heartbeat heartbeat = !closed && response.isOk() ? Heartbeat.read(response.body()) : null;
                    if (heartbeat != null && heartbeat.machine().equals(machine.name())) {
                        heartbeatProcessor.processStatusResponse(heartbeat, epoch, sequence);
                    }
                });
    }

    // --- Ticking ---------------------------------------------------------------------------------------------------

    private void tick() {
        if (closed) {
            return;
        }
        eventLoop.schedule(TICK_MICROS, this::tick);
        long now = eventLoop.nowMicros();
        schedulingCycle.tick(now);
        if (mayAct() && now - fleetCycleMicros > FLEET_CYCLE_MICROS) {
            fleetCycleMicros = now;
            synchronized (cluster) {
                stragglerDetector.drainStragglers(now);
            }
            fleet.runCycle();
            jobs.removeCancelledJobs();
            status.logPeriodically();
        }
    }

    // --- For display -----------------------------------------------------------------------------------------------

    @Override
    public Counts countsOf(String uid) {
        synchronized (cluster) {
            ActiveJob job = cluster.job(uid);
            return job == null || job.isComplete()
                    ? null
                    : new Counts(job.doneCount(), job.allocatedCount(), job.reason());
        }
    }

    /** For metrics. */
    public Map<String, Double> gauges() {
        Map<String, Double> gauges = status.gauges();
        gauges.put("sillreel.plans", (double) schedulingCycle.planCount());
        gauges.put("sillreel.plans.ms", schedulingCycle.totalPlanMicros() / 1_000.0);
        return gauges;
    }
}
