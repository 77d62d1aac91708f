package io.sillreel.leadership;

import io.sillreel.agent.Heartbeat;
import io.sillreel.agent.Heartbeat.MachineDescription;
import io.sillreel.cluster.Cluster;
import io.sillreel.cluster.Machine;
import io.sillreel.fleet.FleetCallbacks;
import io.sillreel.fleet.FleetConfiguration;
import io.sillreel.fleet.FleetManager;
import io.sillreel.fleet.FleetThresholds;
import io.sillreel.fleet.SpotInterruptionDrain;
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
import io.sillreel.http.HttpResponse;
import io.sillreel.http.UnexpectedErrors;
import io.sillreel.peer.Peers;
import io.sillreel.pipeline.ActiveJob;
import io.sillreel.pipeline.LiveTaskCounts;
import io.sillreel.pipeline.RetrySchedule;
import io.sillreel.placement.CapacityPlanner;
import io.sillreel.placement.Planner;
import io.sillreel.placement.PlanningErrors;
import io.sillreel.placement.RuntimeEstimator;
import io.sillreel.placement.ServiceLevelObjectives;
import io.sillreel.settings.OperatorProperties;
import io.sillreel.settings.Settings;
import io.sillreel.statestore.StateStore;
import io.sillreel.statestore.WriteQueue;
import java.util.Map;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The state of a leader during one term. It is built from the stored state and from the heartbeats of machines, and
 * discarded when the term ends, so that a former leader has no state left to act on. Runs on the event loop; jobs,
 * machines and allocations are guarded by the cluster lock, since status queries read them too.
 */
public final class LeaderTerm implements LeaderHeartbeats, LiveTaskCounts {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderTerm.class);
    private static final long TICK_MICROS = 100_000;
    private static final long FLEET_CYCLE_MICROS = 1_000_000;

    private final EventLoop eventLoop;
    private final StateStore store;
    private final Settings settings;
    private final LeaderElection election;
    private final long term;
    private final Cluster cluster;
    private final RuntimeEstimator runtimeEstimator = new RuntimeEstimator();
    private final WriteQueue writeQueue;
    private final CapacityPlanner capacity;
    private final SchedulingRequests scheduling;
    private final LeaderJobs jobs;
    private final StoredChangeWatcher changes;
    private final LeaderAuthority authority;
    private final LeaderStatus status;
    private final LeaderReachability reachability;
    private final AgentClient agentClient;
    private final HeartbeatProcessor heartbeatProcessor;
    private final FleetManager fleet;
    private final SchedulingCycle schedulingCycle;
    private final MachineReview machineReview;
    private final StoredStateLoader stateLoader;
    private final Operations operations = new Operations();
    private long fleetCycleMicros;

    /**
     * Creates the empty state of one term; {@link #start} begins to read the stored state.
     *
     * @param peers the recent hellos of the other controllers
     */
    public LeaderTerm(
            EventLoop eventLoop,
            TermServices services,
            FleetConfiguration configuration,
            Peers peers,
            LeaderElection election,
            TermGrant grant) {
        this.eventLoop = eventLoop;
        this.store = services.store();
        this.settings = configuration.settings();
        this.election = election;
        this.term = grant.term();
        this.cluster = new Cluster(settings.teams());
        this.writeQueue = newWriteQueue(grant);
        ServiceLevelObjectives objectives = new ServiceLevelObjectives(settings.objectives(), runtimeEstimator);
        PlanningErrors planningErrors = new PlanningErrors(eventLoop.unexpectedErrors()::report);
        Planner planner =
                new Planner(cluster, settings.workers().heartbeatIntervalMicros(), objectives, planningErrors);
        this.capacity = new CapacityPlanner(cluster, objectives, runtimeEstimator, planningErrors);
        this.scheduling = new SchedulingRequests(cluster);
        this.jobs = newJobs();
        this.changes = new StoredChangeWatcher(eventLoop, store, cluster, election, jobs);
        this.authority = new LeaderAuthority(eventLoop, election, changes, settings.workers(), term);
        this.status = new LeaderStatus(eventLoop, term, cluster, capacity, writeQueue);
        this.reachability = new LeaderReachability(eventLoop, settings, election, peers, cluster);
        this.agentClient = new AgentClient(eventLoop.unexpectedErrors(), services.httpClient(), term);
        this.heartbeatProcessor = newHeartbeatProcessor(configuration.operator(), planner, planningErrors);
        this.fleet = newFleet(services, configuration);
        this.schedulingCycle = newSchedulingCycle(planner);
        this.machineReview = new MachineReview(cluster, runtimeEstimator);
        this.stateLoader = newStateLoader(configuration);
    }

    private WriteQueue newWriteQueue(TermGrant grant) {
        return new WriteQueue(
                store,
                eventLoop,
                LeaderElection.LEADER_KEY,
                grant.leaderRevision(),
                settings.state().maxTransactionChanges(),
                election::resign);
    }

    private LeaderJobs newJobs() {
        return new LeaderJobs(
                eventLoop,
                store,
                cluster,
                writeQueue,
                capacity,
                runtimeEstimator,
                settings.state().values(),
                scheduling);
    }

    private HeartbeatProcessor newHeartbeatProcessor(
            OperatorProperties operator, Planner planner, PlanningErrors planningErrors) {
        RetrySchedule retries = new RetrySchedule(
                operator.retryInitialDelayMicros(),
                operator.retryMaxDelayMicros(),
                operator.parkedRetryIntervalMicros());
        TaskEndHandler endHandler = new TaskEndHandler(eventLoop, cluster, writeQueue, retries, runtimeEstimator);
        TaskReconciler reconciler = new TaskReconciler(cluster, endHandler, operations);
        return new HeartbeatProcessor(
                eventLoop,
                term,
                cluster,
                reconciler,
                new CommandWriter(eventLoop, new AttemptIds(term), cluster, planner, planningErrors),
                new MachineLeases(eventLoop, cluster, settings.workers(), reconciler, operations),
                new UnresponsiveMachines(cluster, FleetThresholds.of(settings), operations),
                operations);
    }

    private FleetManager newFleet(TermServices services, FleetConfiguration configuration) {
        return new FleetManager(
                eventLoop, term, cluster, services.cloud(), writeQueue, capacity, configuration, operations);
    }

    private SchedulingCycle newSchedulingCycle(Planner planner) {
        return new SchedulingCycle(
                eventLoop,
                cluster,
                planner,
                heartbeatProcessor,
                agentClient,
                scheduling,
                new SpotInterruptionDrain(cluster, runtimeEstimator),
                authority::mayLaunchOrScale);
    }

    private StoredStateLoader newStateLoader(FleetConfiguration configuration) {
        int firstVersionMaxValueBytes = settings.state().values().currentBytes();
        return new StoredStateLoader(
                eventLoop,
                store,
                firstVersionMaxValueBytes,
                configuration.machineTypes(),
                authority,
                this::beginLeading,
                () -> election.resignAfterError("the stored state can't be restored"));
    }

    /** Begins to read the stored state; heartbeats are answered once it is loaded. */
    public void start() {
        stateLoader.load();
    }

    /** Ends the term on this controller: stops all writes and launches, and ignores late responses. */
    public void close() {
        authority.close();
        agentClient.close();
        changes.close();
        jobs.close();
        writeQueue.close();
    }

    @Override
    public long term() {
        return term;
    }

    /** @param sentMicros when the stored state was requested */
    private void beginLeading(StoredState state, long sentMicros) {
        synchronized (cluster) {
            changes.cancellationsListed(sentMicros);
            jobs.restore(state);
            long aliveUntilMicros =
                    heartbeatProcessor.leaseExpiryMicros(eventLoop.nowMicros()) + authority.predecessorGraceMicros();
            state.scaleOutRequests().forEach(request -> fleet.inherit(request, aliveUntilMicros));
            authority.stateLoaded();
            reachability.stateLoaded();
            scheduling.requestPlan();
        }
        LOG.info(
                "term {} starts with {} unfinished jobs and {} machines",
                term,
                cluster.jobs().size(),
                cluster.machines().size());
        changes.start(state);
        eventLoop.schedule(0, this::tick);
    }

    /** Handles a cancellation reported by the controller that stored it, before the watch delivers it. */
    public void jobCancelled(String uid) {
        jobs.jobCancelled(uid);
    }

    @Override
    public HttpResponse handleHeartbeat(Heartbeat heartbeat) {
        if (heartbeat.fencingToken() > term) {
            election.observeTerm(null, heartbeat.fencingToken());
            return HttpResponse.retryLater(503, "a later term has begun", 1);
        }
        if (!authority.isServing()) {
            return HttpResponse.retryLater(503, "the term is only beginning", 1);
        }
        reachability.heartbeatReceived();
        if (!authority.mayExtendMachineLeases()) {
            return HttpResponse.retryLater(503, "the state service has not confirmed the lease for too long", 1);
        }
        if (!election.isLeaseValid() && reachability.shouldRedirect(heartbeat.machine())) {
            return HttpResponse.retryLater(503, "another controller may hold the lease by now", 1);
        }
        return heartbeatProcessor.process(heartbeat);
    }

    /** Resigns if this controller can't continue to lead, or another is better able to. Called about once a second. */
    public void checkReachability() {
        if (heartbeatProcessor.hasExhaustedAttemptIds()) {
            election.resign("the attempt ids of the term are exhausted");
            return;
        }
        reachability.resignIfUnreachable(changes.cancellationsKnownUntilMicros(), writeQueue.isStuck());
    }

    private void tick() {
        if (authority.isClosed()) {
            return;
        }
        eventLoop.schedule(TICK_MICROS, this::tick);
        long now = eventLoop.nowMicros();
        UnexpectedErrors errors = eventLoop.unexpectedErrors();
        errors.runConfined("the scheduling cycle", () -> schedulingCycle.tick(now));
        if (authority.mayLaunchOrScale() && now - fleetCycleMicros > FLEET_CYCLE_MICROS) {
            fleetCycleMicros = now;
            errors.runConfined("the review of machines", () -> machineReview.review(now));
            errors.runConfined("the fleet cycle", fleet::runCycle);
            errors.runConfined("the removal of cancelled jobs", jobs::removeCancelledJobs);
            errors.runConfined("the periodic status", status::logPeriodically);
        }
    }

    @Override
    public Optional<Counts> countsOf(String uid) {
        synchronized (cluster) {
            ActiveJob job = cluster.job(uid);
            return job == null || job.isComplete()
                    ? Optional.empty()
                    : Optional.of(new Counts(job.doneCount(), job.allocatedCount(), job.reason()));
        }
    }

    /** The values of the metrics of the term by name. */
    public Map<String, Double> gauges() {
        Map<String, Double> gauges = status.gauges();
        gauges.put("sillreel.plans", (double) schedulingCycle.planCount());
        gauges.put("sillreel.plans.ms", schedulingCycle.totalPlanDurationMicros() / 1_000.0);
        return gauges;
    }

    /** The operations that heartbeat processing and fleet management require from each other and from the term. */
    private final class Operations implements TermOperations, FleetCallbacks {
        @Override
        public boolean mayLaunchOrScale() {
            return authority.mayLaunchOrScale();
        }

        @Override
        public boolean isRoutingStable() {
            return reachability.isRoutingStable();
        }

        @Override
        public boolean adoptMachine(Heartbeat heartbeat) {
            MachineDescription description = heartbeat.description();
            return fleet.adoptMachine(
                            heartbeat.machine(), description.machineType(), description.zone(), description.isSpot())
                    .isPresent();
        }

        @Override
        public boolean wasReturned(String machine) {
            return fleet.wasReturned(machine);
        }

        @Override
        public void markMachineUp(Machine machine) {
            fleet.markMachineUp(machine);
        }

        @Override
        public void markMachineDown(Machine machine) {
            fleet.markMachineDown(machine);
        }

        @Override
        public void clearTasks(Machine machine) {
            heartbeatProcessor.clearTasks(machine);
        }

        @Override
        public void requestScheduling() {
            scheduling.requestPlan();
        }

        @Override
        public void queryMachineStatus(Machine machine) {
            agentClient.queryStatus(machine, heartbeatProcessor);
        }
    }
}
