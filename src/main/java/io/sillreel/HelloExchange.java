package io.sillreel;

import io.sillreel.heartbeat.HeartbeatRouter;
import io.sillreel.heartbeat.WorkerLoadBalancer;
import io.sillreel.http.HttpClient;
import io.sillreel.http.HttpRequest;
import io.sillreel.http.HttpResponse;
import io.sillreel.http.UnexpectedErrors;
import io.sillreel.leadership.LeaderElection;
import io.sillreel.peer.Hello;
import io.sillreel.peer.HelloCodec;
import io.sillreel.peer.Peers;
import io.sillreel.settings.Settings;
import io.sillreel.settings.Settings.Member;

/**
 * Exchanges hellos with the other controllers, which carry the known leader and the sender's reachability and load.
 * Runs on the event loop.
 */
final class HelloExchange {
    /** The interval at which hellos are to be sent. */
    static final long INTERVAL_MICROS = 1_000_000;

    private static final long TIMEOUT_MICROS = 900_000;

    private final UnexpectedErrors errors;
    private final HttpClient httpClient;
    private final Settings settings;
    private final Peers peers;
    private final LeaderElection election;
    private final HealthCheck healthCheck;
    private final WorkerLoadBalancer loadBalancer;
    private final HeartbeatRouter heartbeatRouter;

    HelloExchange(
            UnexpectedErrors errors,
            HttpClient httpClient,
            Settings settings,
            Peers peers,
            LeaderElection election,
            HealthCheck healthCheck,
            WorkerLoadBalancer loadBalancer,
            HeartbeatRouter heartbeatRouter) {
        this.errors = errors;
        this.httpClient = httpClient;
        this.settings = settings;
        this.peers = peers;
        this.election = election;
        this.healthCheck = healthCheck;
        this.loadBalancer = loadBalancer;
        this.heartbeatRouter = heartbeatRouter;
    }

    /** Sends a hello to each controller that has not sent one within most of the interval. */
    void sendHellos() {
        for (Member member : settings.members()) {
            if (peers.wasHeardWithin(member.nodeName(), INTERVAL_MICROS * 3 / 4)) {
                // Its hello and the response to it have already informed both sides.
                continue;
            }
            HttpRequest request = HelloCodec.toRequest(ownHello());
            errors.whenDone(httpClient.send(member.address(), request, TIMEOUT_MICROS), "a hello", response -> {
                if (response.isOk()) {
                    receive(HelloCodec.decode(response.body()));
                }
            });
        }
    }

    /** Handles the hello of another controller; the response carries this controller's own. */
    HttpResponse handle(HttpRequest request) {
        receive(HelloCodec.decode(request.body()));
        return HelloCodec.toResponse(ownHello());
    }

    private void receive(Hello hello) {
        peers.recordHello(hello);
        if (hello.term() > 0) {
            election.observeTerm(hello.leader(), hello.term());
        }
    }

    private Hello ownHello() {
        LeaderElection.Leader leader = election.knownLeader();
        return new Hello(
                settings.nodeName(),
                leader.node(),
                leader.term(),
                healthCheck.isStoreReachable(),
                loadBalancer.workerCount(),
                heartbeatRouter.isServing(),
                heartbeatRouter.recentlyUnansweredCount());
    }
}
