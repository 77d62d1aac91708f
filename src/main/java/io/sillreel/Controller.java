package io.sillreel;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.binder.MeterBinder;
import io.sillreel.admission.JobApiHandler;
import io.sillreel.agent.AgentRoutes;
import io.sillreel.cloud.CloudClient;
import io.sillreel.cloud.MachineTypeCatalog;
import io.sillreel.fleet.FleetConfiguration;
import io.sillreel.heartbeat.HeartbeatRelay;
import io.sillreel.heartbeat.HeartbeatRouter;
import io.sillreel.heartbeat.WorkerLoadBalancer;
import io.sillreel.http.EventLoop;
import io.sillreel.http.HttpClient;
import io.sillreel.http.HttpRequest;
import io.sillreel.http.HttpResponse;
import io.sillreel.http.Json;
import io.sillreel.http.RequestQueue;
import io.sillreel.http.RequestQueue.RequestClass;
import io.sillreel.http.UnexpectedErrors;
import io.sillreel.leadership.LeaderElection;
import io.sillreel.leadership.TermServices;
import io.sillreel.limits.FleetCapacity;
import io.sillreel.limits.ProcessLimits;
import io.sillreel.overload.AdaptiveConcurrencyLimit;
import io.sillreel.overload.EventLoopLag;
import io.sillreel.overload.RateLimiter;
import io.sillreel.peer.CancellationCodec;
import io.sillreel.peer.PeerRoutes;
import io.sillreel.peer.Peers;
import io.sillreel.recovery.Recovery;
import io.sillreel.settings.OperatorProperties;
import io.sillreel.settings.Settings;
import io.sillreel.statestore.StateStore;
import java.util.concurrent.CompletableFuture;

/**
 * One controller: creates its components and routes each request to the one that handles it. It performs no I/O itself;
 * the event loop and the HTTP clients are injected. Methods are called on the event loop.
 */
public final class Controller implements MeterBinder {
    private static final String JOBS_ROUTE = "/v2/runs";
    private static final String HEALTH_ROUTE = "/up";
    private static final String METRICS_ROUTE = "/metrics";
    /** The largest fractions of the rate limits, which all controllers share, that one controller uses. */
    private static final double REQUEST_RATE_SHARE = 0.5;

    private static final double WRITE_RATE_SHARE = 0.7;
    private static final double CLOUD_RATE_SHARE = 0.8;

    private final EventLoop eventLoop;
    private final StateStore store;
    private final MachineTypeCatalog machineTypes;
    private final LeaderElection election;
    private final ActiveTerm activeTerm;
    private final AdaptiveConcurrencyLimit concurrencyLimit;
    private final HeartbeatRelay heartbeatRelay;
    private final HeartbeatRouter heartbeatRouter;
    private final WorkerLoadBalancer loadBalancer;
    private final HealthCheck healthCheck;
    private final HelloExchange helloExchange;
    private final EventLoopLag eventLoopLag;
    private final RequestQueue requestQueue;
    private final LostWriteProtection protection;
    /** Null until metrics are first requested. */
    private ControllerMetrics metrics;

    /**
     * @param leaseHttpClient sends lease renewals, which must not wait behind other requests
     * @param limits limits that follow from the memory and the sockets of this process
     */
    public Controller(
            EventLoop eventLoop,
            HttpClient httpClient,
            HttpClient leaseHttpClient,
            Settings settings,
            OperatorProperties operator,
            ProcessLimits limits) {
        this.eventLoop = eventLoop;
        this.eventLoopLag = new EventLoopLag(eventLoop);
        this.requestQueue = new RequestQueue(eventLoop, limits.queuedRequestBytes());
        this.protection = newProtection(eventLoop, httpClient, settings, operator, limits);
        this.store = newStore(eventLoop, protection.monitor(httpClient), protection.monitor(leaseHttpClient), settings);
        CloudClient cloud = newCloud(eventLoop, httpClient, settings);
        this.election = new LeaderElection(
                store, eventLoop, settings.nodeName(), operator.leaderLeaseMicros(), protection::termFloor);
        this.machineTypes = new MachineTypeCatalog(store, cloud, eventLoop, () -> election.heldTerm() > 0);
        Peers peers = new Peers(eventLoop);
        this.activeTerm = new ActiveTerm(
                eventLoop,
                new TermServices(store, cloud, httpClient),
                new FleetConfiguration(settings, operator, new FleetCapacity(limits), machineTypes::types),
                peers,
                election,
                protection);
        this.concurrencyLimit = newConcurrencyLimit(settings, operator, limits);
        this.loadBalancer = new WorkerLoadBalancer(
                eventLoop, peers, settings.nodeName(), settings.workers().heartbeatIntervalMicros());
        this.heartbeatRelay = new HeartbeatRelay(eventLoop, httpClient, loadBalancer::workerCount);
        this.heartbeatRouter = new HeartbeatRouter(
                eventLoop, activeTerm, heartbeatRelay, loadBalancer, protection.heartbeatObserver());
        this.healthCheck = new HealthCheck(eventLoop, store, peers, machineTypes, requestQueue);
        this.helloExchange = new HelloExchange(
                eventLoop.unexpectedErrors(),
                httpClient,
                settings,
                peers,
                election,
                healthCheck,
                loadBalancer,
                heartbeatRouter);
    }

    private static LostWriteProtection newProtection(
            EventLoop eventLoop,
            HttpClient httpClient,
            Settings settings,
            OperatorProperties operator,
            ProcessLimits limits) {
        if (!operator.recovery().enabled()) {
            return new NoLostWriteProtection();
        }
        return new RecoveryProtection(new Recovery(
                eventLoop,
                settings,
                httpClient,
                limits.recentChangeBytes(),
                operator.recovery().watchDelayMicros()));
    }

    private static StateStore newStore(
            EventLoop eventLoop, HttpClient httpClient, HttpClient leaseHttpClient, Settings settings) {
        double requests = settings.state().requestsPerSecond() * REQUEST_RATE_SHARE;
        double writes = settings.state().writesPerSecond() * WRITE_RATE_SHARE;
        return new StateStore(
                httpClient,
                leaseHttpClient,
                eventLoop,
                settings.services().stateAddress(),
                new RateLimiter(eventLoop, requests, requests),
                new RateLimiter(eventLoop, writes, writes));
    }

    private static CloudClient newCloud(EventLoop eventLoop, HttpClient httpClient, Settings settings) {
        double requests = settings.cloud().requestsPerSecond() * CLOUD_RATE_SHARE;
        RateLimiter rateLimiter = new RateLimiter(eventLoop, requests, Math.max(1, requests));
        return new CloudClient(httpClient, eventLoop, settings.services().cloudAddress(), rateLimiter);
    }

    private AdaptiveConcurrencyLimit newConcurrencyLimit(
            Settings settings, OperatorProperties operator, ProcessLimits limits) {
        JobApiHandler jobApiHandler = new JobApiHandler(
                store,
                eventLoop,
                settings,
                limits,
                machineTypes::types,
                activeTerm,
                activeTerm::notifyLeaderOfCancellation);
        return new AdaptiveConcurrencyLimit(
                jobApiHandler, operator.maxRequestsInProgress(), limits.cachedJobStatuses(), eventLoop::nowMicros);
    }

    /** The version that the build wrote into the jar. */
    public static String version() {
        String version = Controller.class.getPackage().getImplementationVersion();
        return version == null ? "unpackaged" : version;
    }

    /**
     * Starts the election and all periodic work.
     *
     * @param openPublicPort called once the leader is known or can't be determined now; before that, requests of
     *     hundreds of agents could only be refused, and would take CPU time from the election that they wait for
     */
    public void start(Runnable openPublicPort) {
        eventLoopLag.start();
        // Before the election, since the protection decides when a term may begin.
        protection.start(store, election);
        election.start(activeTerm, openPublicPort);
        machineTypes.start();
        tick();
    }

    private void tick() {
        eventLoop.schedule(HelloExchange.INTERVAL_MICROS, this::tick);
        UnexpectedErrors errors = eventLoop.unexpectedErrors();
        errors.runConfined(
                "balancing the workers",
                () -> loadBalancer.rebalance(election.knownLeader().node()));
        heartbeatRouter.startNextUnansweredWindow();
        errors.runConfined("the leader's reachability", activeTerm::checkReachability);
        errors.runConfined("hellos", helloExchange::sendHellos);
    }

    /** The queueing class of a public request: health checks skip the queue, heartbeats have a class of their own. */
    public static RequestClass requestClass(HttpRequest request) {
        return switch (request.route()) {
            case HEALTH_ROUTE -> RequestClass.IMMEDIATE;
            case AgentRoutes.HEARTBEAT -> RequestClass.WORKERS;
            default -> RequestClass.USERS;
        };
    }

    /** The queue in which public requests wait to be handled. */
    public RequestQueue requestQueue() {
        return requestQueue;
    }

    /** Handles a request of a user, an agent or a health check. */
    public CompletableFuture<HttpResponse> handlePublic(HttpRequest request) {
        String route = request.route();
        if (route.equals(JOBS_ROUTE) || route.startsWith(JOBS_ROUTE + "/")) {
            return protection.handleUserRequest(request, concurrencyLimit);
        }
        if (route.equals(AgentRoutes.HEARTBEAT)) {
            return request.method().equals("POST")
                    ? heartbeatRouter.route(request)
                    : completed(HttpResponse.error(405, "use POST"));
        }
        if (route.equals(HEALTH_ROUTE)) {
            return completed(
                    request.method().equals("GET") ? healthCheck.respond() : HttpResponse.error(405, "use GET"));
        }
        return completed(HttpResponse.error(404, "no such path"));
    }

    /** Handles a request of another controller or an operator. */
    public CompletableFuture<HttpResponse> handleInternal(HttpRequest request) {
        return switch (request.route()) {
            case PeerRoutes.HEARTBEATS -> heartbeatRouter.handleRelayed(request);
            case PeerRoutes.HELLO -> completed(helloExchange.handle(request));
            case PeerRoutes.CANCELLED -> completed(handleCancelled(request));
            case METRICS_ROUTE ->
                completed(HttpResponse.of(200, metrics().toJson(activeTerm.gauges(), protection.gauges())));
            default ->
                completed(protection.handleInternal(request).orElseGet(() -> HttpResponse.error(404, "no such path")));
        };
    }

    private HttpResponse handleCancelled(HttpRequest request) {
        if (activeTerm.isLeading()) {
            activeTerm.jobsCancelled(CancellationCodec.decode(request.body()));
        }
        return HttpResponse.of(200, Json.object());
    }

    private static CompletableFuture<HttpResponse> completed(HttpResponse response) {
        return CompletableFuture.completedFuture(response);
    }

    /** Binds the controller's meters to the registry of a program that embeds it. */
    @Override
    public void bindTo(MeterRegistry registry) {
        metrics().bindTo(registry);
    }

    /** Created on demand: metrics of most controllers are never requested, and loading the classes delays a start. */
    private ControllerMetrics metrics() {
        if (metrics == null) {
            metrics = new ControllerMetrics(
                    heartbeatRouter,
                    election,
                    concurrencyLimit,
                    heartbeatRelay,
                    loadBalancer,
                    eventLoopLag,
                    requestQueue,
                    eventLoop.unexpectedErrors());
        }
        return metrics;
    }
}
