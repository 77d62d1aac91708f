package io.sillreel;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.binder.MeterBinder;
import io.sillreel.admission.Admission;
import io.sillreel.cloud.CloudClient;
import io.sillreel.cloud.MachineTypeCatalog;
import io.sillreel.heartbeat.HeartbeatObserver;
import io.sillreel.heartbeat.HeartbeatRelay;
import io.sillreel.heartbeat.HeartbeatRouter;
import io.sillreel.heartbeat.LeaderHeartbeats;
import io.sillreel.heartbeat.LeaderLocator;
import io.sillreel.heartbeat.WorkerLoadBalancer;
import io.sillreel.http.EventLoop;
import io.sillreel.http.HttpClient;
import io.sillreel.http.HttpRequest;
import io.sillreel.http.HttpResponse;
import io.sillreel.http.Json;
import io.sillreel.http.RequestQueue;
import io.sillreel.http.RequestQueue.RequestClass;
import io.sillreel.leadership.LeaderElection;
import io.sillreel.leadership.LeaderTerm;
import io.sillreel.leadership.TermConfiguration;
import io.sillreel.leadership.TermGrant;
import io.sillreel.leadership.TermServices;
import io.sillreel.limits.FleetCapacity;
import io.sillreel.limits.ProcessLimits;
import io.sillreel.overload.AdaptiveLimit;
import io.sillreel.overload.EventLoopLag;
import io.sillreel.overload.RateLimiter;
import io.sillreel.peer.PeerMessages;
import io.sillreel.peer.PeerMessages.Hello;
import io.sillreel.peer.Peers;
import io.sillreel.pipeline.LiveTaskCounts;
import io.sillreel.recovery.Recovery;
import io.sillreel.settings.OperatorProperties;
import io.sillreel.settings.Settings;
import io.sillreel.settings.Settings.Member;
import io.sillreel.statestore.StateStore;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** One controller, put together from its slices. It does no I/O of its own: time and network are handed in. */
public final class Controller implements LeaderElection.Listener, LiveTaskCounts, MeterBinder {
    private static final String HEARTBEAT = "/agent/beat";
    private static final String HEALTH = "/up";
    private static final long HELLO_INTERVAL_MICROS = 1_000_000;
    private static final long HELLO_TIMEOUT_MICROS = 900_000;
    private static final long CANCELLED_TIMEOUT_MICROS = 2_000_000;
    private static final long STORE_SILENCE_MICROS = 4_000_000;
    /** The parts of the shared rates that one of several controllers allows itself. */
    private static final double REQUEST_RATE_SHARE = 0.5;

    private static final double WRITE_RATE_SHARE = 0.7;
    private static final double CLOUD_RATE_SHARE = 0.8;

    private final EventLoop eventLoop;
    private final HttpClient httpClient;
    private final Settings settings;
    private final OperatorProperties operator;
    private final FleetCapacity fleetCapacity;
    private final StateStore store;
    private final CloudClient cloud;
    private final MachineTypeCatalog machineTypes;
    private final LeaderElection leadership;
    private final AdaptiveLimit admissionLimit;
    private final HeartbeatRelay heartbeatRelay;
    private final HeartbeatRouter heartbeatRouter;
    private final LeaderLocator leaderLocator = new KnownLeaderLocator();
    private final Peers peers;
    private final WorkerLoadBalancer loadBalancer;
    private final long startedMicros;
    private final EventLoopLag eventLoopLag;
    private final RequestQueue requestQueue;
    /** Null unless operators have switched it on: then nothing of it is loaded. */
    private final Recovery recovery;

    private ControllerMetrics metrics;
    private LeaderTerm leaderTerm;

    /**
     * @param leaseCaller for what renews the lease, which waits behind nothing else
     * @param limits what the memory and the sockets of this process allow
     */
    public Controller(
            EventLoop eventLoop,
            HttpClient httpClient,
            HttpClient leaseHttpClient,
            Settings settings,
            OperatorProperties operator,
            ProcessLimits limits) {
        this.eventLoop = eventLoop;
        this.httpClient = httpClient;
        this.settings = settings;
        this.operator = operator;
        this.fleetCapacity = new FleetCapacity(limits);
        this.startedMicros = eventLoop.nowMicros();
        this.eventLoopLag = new EventLoopLag(eventLoop);
        this.requestQueue = new RequestQueue(eventLoop, limits.queuedRequestBytes());
        double requests = settings.state().requestsPerSecond() * REQUEST_RATE_SHARE;
        double writes = settings.state().writesPerSecond() * WRITE_RATE_SHARE;
        double calls = settings.cloud().requestsPerSecond() * CLOUD_RATE_SHARE;
        this.recovery = operator.recovery().enabled() ? newRecovery(limits) : null;
        this.store = new StateStore(
                recovery == null ? httpClient : recovery.monitored(httpClient),
                recovery == null ? leaseHttpClient : recovery.monitored(leaseHttpClient),
                eventLoop,
                settings.stateAddress(),
                new RateLimiter(eventLoop, requests, requests),
                new RateLimiter(eventLoop, writes, writes));
        this.cloud = new CloudClient(
                httpClient, eventLoop, settings.cloudAddress(), new RateLimiter(eventLoop, calls, Math.max(1, calls)));
        this.leadership = new LeaderElection(
                store,
                eventLoop,
                settings.nodeName(),
                operator.leaderLeaseMicros(),
                () -> recovery == null ? 0 : recovery.termFloor());
        this.machineTypes = new MachineTypeCatalog(store, cloud, eventLoop, () -> leadership.heldTerm() > 0);
        this.admissionLimit = new AdaptiveLimit(
                new Admission(
                        store,
                        eventLoop,
                        settings,
                        limits,
                        machineTypes::types,
                        this,
                        this::notifyLeaderOfCancellation),
                operator.maxRequestsInProgress(),
                limits.cachedJobStatuses(),
                eventLoop::nowMicros);
        this.peers = new Peers(eventLoop);
        this.loadBalancer = new WorkerLoadBalancer(
                eventLoop, peers, settings.nodeName(), settings.workers().heartbeatIntervalMicros());
        this.heartbeatRelay = new HeartbeatRelay(eventLoop, httpClient, loadBalancer::workerCount);
        this.heartbeatRouter = new HeartbeatRouter(
                eventLoop,
                leaderLocator,
                heartbeatRelay,
                loadBalancer,
                recovery == null ? HeartbeatObserver.NONE : recovery);
    }

    /** The leader as the election and this controller's own term show it. */
    private final class KnownLeaderLocator implements LeaderLocator {
        @Override
        public LeaderHeartbeats ownTerm() {
            return leaderTerm;
        }

        @Override
        public Optional<Member> remoteLeader() {
            String node = leadership.knownLeader().node();
            return node == null ? Optional.empty() : settings.member(node);
        }
    }

    private Recovery newRecovery(ProcessLimits limits) {
        return new Recovery(
                eventLoop,
                settings,
                httpClient,
                limits.recentChangeBytes(),
                operator.recovery().followMicros());
    }

    /** The version that the build wrote into the jar. */
    public static String version() {
        String version = Controller.class.getPackage().getImplementationVersion();
        return version == null ? "unpackaged" : version;
    }

    /**
     * @param open lets the public in: hundreds of workers that are refused once a second would else take the processor
     *     from the very election that they wait for
     */
    public void start(Runnable open) {
        eventLoopLag.start();
        leadership.start(this, open);
        if (recovery != null) {
            recovery.start(store, leadership);
        }
        machineTypes.start();
        exchangeHellos();
    }

    /** Where a public request waits for its turn: health checks nowhere, workers apart from users. */
    public static RequestClass requestClass(HttpRequest request) {
        return switch (request.route()) {
            case HEALTH -> RequestClass.IMMEDIATE;
            case HEARTBEAT -> RequestClass.WORKERS;
            default -> RequestClass.USERS;
        };
    }

    /** The turns that the public requests take. */
    public RequestQueue requestQueue() {
        return requestQueue;
    }

    /** What users, workers and health checks ask. */
    public CompletableFuture<HttpResponse> handlePublic(HttpRequest request) {
        String route = request.route();
        if (route.equals("/v2/runs") || route.startsWith("/v2/runs/")) {
            return recovery == null
                    ? admissionLimit.handle(request)
                    : recovery.guarded(() -> admissionLimit.handle(request));
        }
        if (route.equals(HEARTBEAT)) {
            return request.method().equals("POST")
                    ? heartbeatRouter.route(request)
                    : answer(HttpResponse.error(405, "use POST"));
        }
        if (route.equals(HEALTH)) {
            return answer(request.method().equals("GET") ? healthResponse() : HttpResponse.error(405, "use GET"));
        }
        return answer(HttpResponse.error(404, "no such path"));
    }

    /** What the other controllers, and operators, ask. */
    public CompletableFuture<HttpResponse> handleInternal(HttpRequest request) {
        switch (request.route()) {
            case PeerMessages.HEARTBEATS -> {
                return heartbeatRouter.handleRelayed(request);
            }
            case PeerMessages.HELLO -> {
                helloReceived(Hello.of(request.body()));
                return answer(new HttpResponse(200, ownHello().bytes(), 0));
            }
            case PeerMessages.CANCELLED -> {
                if (leaderTerm != null) {
                    PeerMessages.cancelled(request.body()).forEach(leaderTerm::jobCancelled);
                }
                return answer(HttpResponse.of(200, Json.object()));
            }
            case "/metrics" -> {
                return answer(HttpResponse.of(200, metricValues()));
            }
            default -> {
                boolean known = recovery != null && Recovery.concerns(request.route());
                return answer(known ? recovery.answer(request) : HttpResponse.error(404, "no such path"));
            }
        }
    }

    private static CompletableFuture<HttpResponse> answer(HttpResponse response) {
        return CompletableFuture.completedFuture(response);
    }

    /**
     * Healthy unless the state service refuses this controller while it answers another: then users are better served
     * elsewhere. When nobody is answered, going away would help no one.
     */
    private HttpResponse healthResponse() {
        boolean silent = !storeAnswers();
        boolean othersAnswered = peers.isStoreReachableElsewhere();
        boolean undecided = machineTypes.types().isEmpty();
        if (silent && othersAnswered || undecided && othersAnswered) {
            return HttpResponse.retryLater(503, "the state service can't be asked from here", 1);
        }
        return HttpResponse.of(200, Json.object().put("ok", true));
    }

    private boolean storeAnswers() {
        return eventLoop.nowMicros() - Math.max(store.lastAnswerMicros(), startedMicros) < STORE_SILENCE_MICROS;
    }

    /** The lease leader follows the stored cancellations, but the state service may refuse it alone. */
    private void notifyLeaderOfCancellation(String uid) {
        if (leaderTerm != null) {
            leaderTerm.jobCancelled(uid);
        } else {
            leaderLocator
                    .remoteLeader()
                    .ifPresent(leader ->
                            httpClient.send(leader.address(), PeerMessages.cancelled(uid), CANCELLED_TIMEOUT_MICROS));
        }
    }

    private void exchangeHellos() {
        eventLoop.schedule(HELLO_INTERVAL_MICROS, this::exchangeHellos);
        loadBalancer.rebalance(leadership.knownLeader().node());
        heartbeatRouter.startNextUnansweredWindow();
        if (leaderTerm != null) {
            leaderTerm.checkReachability();
        }
        for (Member member : settings.members()) {
            if (peers.wasHeardWithin(member.nodeName(), HELLO_INTERVAL_MICROS * 3 / 4)) {
                // It has just asked; its question and our answer have told both sides all there is to tell.
                continue;
            }
            HttpRequest request =
                    new HttpRequest("POST", PeerMessages.HELLO, ownHello().bytes());
            httpClient.send(member.address(), request, HELLO_TIMEOUT_MICROS).thenAccept(response -> {
                if (response.isOk()) {
                    helloReceived(Hello.of(response.body()));
                }
            });
        }
    }

    private Hello ownHello() {
        LeaderElection.Leader leader = leadership.knownLeader();
        return new Hello(
                settings.nodeName(),
                leader.node(),
                leader.term(),
                storeAnswers(),
                loadBalancer.workerCount(),
                heartbeatRouter.isServing(),
                heartbeatRouter.recentlyUnansweredCount());
    }

    private void helloReceived(Hello hello) {
        peers.recordHello(hello);
        if (hello.term() > 0) {
            leadership.observeTerm(hello.leader(), hello.term());
        }
    }

    @Override
    public void leadershipAcquired(TermGrant grant) {
        if (recovery == null) {
            beginTerm(grant);
        } else {
            recovery.beforeTerm(grant.term(), grant.leaderRevision(), () -> beginTerm(grant));
        }
    }

    private void beginTerm(TermGrant grant) {
        leaderTerm = new LeaderTerm(
                eventLoop,
                new TermServices(store, cloud, httpClient),
                new TermConfiguration(settings, operator, fleetCapacity),
                machineTypes::types,
                peers,
                leadership,
                grant);
        leaderTerm.start();
    }

    @Override
    public void leadershipLost(String reason) {
        if (recovery != null) {
            recovery.termLost();
        }
        if (leaderTerm != null) {
            leaderTerm.close();
            leaderTerm = null;
        }
    }

    @Override
    public Optional<Counts> countsOf(String uid) {
        LeaderTerm current = leaderTerm;
        return current == null ? Optional.empty() : current.countsOf(uid);
    }

    /** What is counted here, for the registry of a program that embeds this. */
    @Override
    public void bindTo(MeterRegistry to) {
        metrics().bindTo(to);
    }

    /** Most controllers are never asked for metrics, and a start has better things to do. */
    private ControllerMetrics metrics() {
        if (metrics == null) {
            metrics = new ControllerMetrics(
                    heartbeatRouter,
                    leadership,
                    admissionLimit,
                    heartbeatRelay,
                    loadBalancer,
                    eventLoopLag,
                    requestQueue);
        }
        return metrics;
    }

    private ObjectNode metricValues() {
        ObjectNode all = metrics().values();
        LeaderTerm current = leaderTerm;
        if (current != null) {
            current.gauges().forEach(all::put);
        }
        if (recovery != null) {
            recovery.gauges().forEach(all::put);
        }
        return all;
    }
}
