package io.sillreel.heartbeat;

import io.sillreel.agent.Heartbeat;
import io.sillreel.agent.HeartbeatCodec;
import io.sillreel.http.EventLoop;
import io.sillreel.http.HttpRequest;
import io.sillreel.http.HttpResponse;
import io.sillreel.peer.HeartbeatBatchCodec;
import io.sillreel.settings.Settings.Member;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Routes the heartbeats of workers: processes them if this controller is the leader, relays them to the leader, or
 * redirects the worker to another controller. Used on the event loop only.
 */
public final class HeartbeatRouter {
    private static final HttpResponse NO_LEADER = HttpResponse.retryLater(503, "nobody holds the lease", 1);

    private final EventLoop eventLoop;
    private final LeaderLocator leaderLocator;
    private final HeartbeatRelay heartbeatRelay;
    private final WorkerLoadBalancer loadBalancer;
    private final HeartbeatObserver observer;
    private long heartbeatCount;
    private long relayedCount;
    private long redirectCount;
    private int unansweredCount;
    private int previousUnansweredCount;

    /** @param observer observes all heartbeats, and may prevent the leader from answering one */
    public HeartbeatRouter(
            EventLoop eventLoop,
            LeaderLocator leaderLocator,
            HeartbeatRelay heartbeatRelay,
            WorkerLoadBalancer loadBalancer,
            HeartbeatObserver observer) {
        this.eventLoop = eventLoop;
        this.leaderLocator = leaderLocator;
        this.heartbeatRelay = heartbeatRelay;
        this.loadBalancer = loadBalancer;
        this.observer = observer;
    }

    /**
     * Routes the heartbeat of a worker and completes with the response to it: status 200 with commands, 400 for a
     * malformed heartbeat, 421 with the controller to which the worker is redirected, or 503 if the heartbeat cannot be
     * processed now.
     */
    public CompletableFuture<HttpResponse> route(HttpRequest request) {
        heartbeatCount++;
        LeaderHeartbeats ownTerm = leaderLocator.ownTerm();
        Optional<Member> leader = ownTerm != null ? Optional.empty() : leaderLocator.remoteLeader();
        if (ownTerm == null && leader.isEmpty()) {
            // Not decoded: right after a start, the heartbeats of hundreds of workers must not hold up the election.
            unansweredCount++;
            return completed(NO_LEADER);
        }
        Optional<Heartbeat> decoded = HeartbeatCodec.decode(request.body());
        if (decoded.isEmpty()) {
            return completed(HeartbeatCodec.malformedResponse());
        }
        Heartbeat heartbeat = decoded.get();
        observer.observeHeartbeat(heartbeat);
        loadBalancer.recordHeartbeat(heartbeat.machine());
        String redirectTarget = takeRedirectTarget(heartbeat.machine(), leader);
        if (redirectTarget != null) {
            redirectCount++;
            loadBalancer.recordRedirect(heartbeat.machine());
            return completed(HeartbeatCodec.redirectResponse(redirectTarget));
        }
        return ownTerm != null
                ? completed(process(ownTerm, heartbeat))
                : relay(heartbeat, leader.get().address());
    }

    /**
     * Returns the node to which the worker is redirected, or null. A worker is redirected to balance the load, or to
     * the leader while this controller cannot reach the leader.
     *
     * @param leader the controller to which heartbeats are relayed; empty if they are processed here
     */
    private String takeRedirectTarget(String machine, Optional<Member> leader) {
        String balanced = loadBalancer.takeRedirectTarget(machine);
        if (balanced == null
                && leader.isPresent()
                && !heartbeatRelay.isReachable(leader.get().address())
                && !loadBalancer.wasRedirectedRecently(machine)) {
            return leader.get().nodeName();
        }
        return balanced;
    }

    private CompletableFuture<HttpResponse> relay(Heartbeat heartbeat, String leaderAddress) {
        return heartbeatRelay.relay(heartbeat, leaderAddress).thenApply(response -> {
            if (!response.isOk()) {
                unansweredCount++;
            }
            return response;
        });
    }

    /** Processes a batch of heartbeats relayed by another controller; 503 if this controller is not the leader. */
    public CompletableFuture<HttpResponse> handleRelayed(HttpRequest request) {
        LeaderHeartbeats ownTerm = leaderLocator.ownTerm();
        if (ownTerm == null) {
            return completed(HttpResponse.retryLater(503, "not the leader", 1));
        }
        List<Heartbeat> heartbeats = HeartbeatBatchCodec.decodeHeartbeats(request.body());
        relayedCount += heartbeats.size();
        return new HeartbeatBatch(eventLoop, heartbeats, heartbeat -> process(ownTerm, heartbeat)).start();
    }

    private HttpResponse process(LeaderHeartbeats ownTerm, Heartbeat heartbeat) {
        return observer.mayAnswer(heartbeat, ownTerm.term()) ? ownTerm.handleHeartbeat(heartbeat) : NO_LEADER;
    }

    /** True if this controller can have the heartbeats of its workers answered. */
    public boolean isServing() {
        return leaderLocator.ownTerm() != null
                || leaderLocator
                        .remoteLeader()
                        .map(member -> heartbeatRelay.isReachable(member.address()))
                        .orElse(false);
    }

    /** Starts a new window of {@link #recentlyUnansweredCount}; called about once a second. */
    public void startNextUnansweredWindow() {
        previousUnansweredCount = unansweredCount;
        unansweredCount = 0;
    }

    /** Returns how many heartbeats were not answered in the current and the previous window, about two seconds. */
    public int recentlyUnansweredCount() {
        return unansweredCount + previousUnansweredCount;
    }

    /** Returns how many heartbeats workers have sent to this controller. */
    public long heartbeatCount() {
        return heartbeatCount;
    }

    /** Returns how many heartbeats other controllers have relayed to this one. */
    public long relayedCount() {
        return relayedCount;
    }

    /** Returns how many heartbeats were answered with a redirect to another controller. */
    public long redirectCount() {
        return redirectCount;
    }

    private static CompletableFuture<HttpResponse> completed(HttpResponse response) {
        return CompletableFuture.completedFuture(response);
    }
}
