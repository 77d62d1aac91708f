package io.sillreel.heartbeat;

import io.sillreel.agent.Heartbeat;
import io.sillreel.agent.HeartbeatCodec;
import io.sillreel.http.EventLoop;
import io.sillreel.http.HttpRequest;
import io.sillreel.http.HttpResponse;
import io.sillreel.peer.PeerMessages;
import io.sillreel.settings.Settings.Member;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Brings workers' reports to where they can be decided: here, at the lease leader, or at another controller. */
public final class HeartbeatRouter {
    private static final HttpResponse NOBODY_LEADS = HttpResponse.retryLater(503, "nobody holds the lease", 1);

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

    public HeartbeatRouter(
            EventLoop eventLoop,
            LeaderLocator leaderLocator,
            HeartbeatRelay heartbeatRelay,
            WorkerLoadBalancer loadBalancer,
            HeartbeatObserver watcher) {
        this.eventLoop = eventLoop;
        this.leaderLocator = leaderLocator;
        this.heartbeatRelay = heartbeatRelay;
        this.loadBalancer = loadBalancer;
        this.observer = watcher;
    }

    /** A worker's report: decided here, handed on to the lease leader, or sent to where it can be. */
    public CompletableFuture<HttpResponse> route(HttpRequest request) {
        heartbeatCount++;
        LeaderHeartbeats current = leaderLocator.ownTerm();
        Optional<Member> leader = current != null ? Optional.empty() : leaderLocator.remoteLeader();
        if (current == null && leader.isEmpty()) {
            // Not even read: right after a start hundreds ask, and the election can't wait for that.
            unansweredCount++;
            return answer(NOBODY_LEADS);
        }
        Optional<Heartbeat> decoded = HeartbeatCodec.decode(request.body());
        if (decoded.isEmpty()) {
            return answer(HeartbeatCodec.malformedResponse());
        }
        Heartbeat heartbeat = decoded.get();
        observer.observeHeartbeat(heartbeat);
        loadBalancer.recordHeartbeat(heartbeat.machine());
        String elsewhere = loadBalancer.takeRedirectTarget(heartbeat.machine());
        if (elsewhere == null
                && current == null
                && !heartbeatRelay.isReachable(leader.get().address())
                && !loadBalancer.wasRedirectedRecently(heartbeat.machine())) {
            elsewhere = leader.get().nodeName();
        }
        if (elsewhere != null) {
            redirectCount++;
            loadBalancer.recordRedirect(heartbeat.machine());
            return answer(HeartbeatCodec.redirectResponse(elsewhere));
        }
        if (current != null) {
            return answer(decide(current, heartbeat));
        }
        return heartbeatRelay.relay(heartbeat, leader.get().address()).thenApply(response -> {
            if (!response.isOk()) {
                unansweredCount++;
            }
            return response;
        });
    }

    /** Reports that another controller hands on. */
    public CompletableFuture<HttpResponse> handleRelayed(HttpRequest request) {
        LeaderHeartbeats current = leaderLocator.ownTerm();
        if (current == null) {
            return answer(HttpResponse.retryLater(503, "not the leader", 1));
        }
        List<Heartbeat> reports = PeerMessages.decodeHeartbeats(request.body());
        relayedCount += reports.size();
        return new HeartbeatBatch(eventLoop, reports, heartbeat -> decide(current, heartbeat)).start();
    }

    private HttpResponse decide(LeaderHeartbeats current, Heartbeat heartbeat) {
        return observer.mayAnswer(heartbeat, current.term()) ? current.handleHeartbeat(heartbeat) : NOBODY_LEADS;
    }

    /** True if workers that report here have their reports answered. */
    public boolean isServing() {
        return leaderLocator.ownTerm() != null
                || leaderLocator
                        .remoteLeader()
                        .map(member -> heartbeatRelay.isReachable(member.address()))
                        .orElse(false);
    }

    /** A second or so has passed; what went unanswered is remembered for one more. */
    public void startNextUnansweredWindow() {
        previousUnansweredCount = unansweredCount;
        unansweredCount = 0;
    }

    /** Reports that could not be answered within the last two seconds or so. */
    public int recentlyUnansweredCount() {
        return unansweredCount + previousUnansweredCount;
    }

    /** Reports that came from workers. */
    public long heartbeatCount() {
        return heartbeatCount;
    }

    /** Reports that other controllers handed on. */
    public long relayedCount() {
        return relayedCount;
    }

    /** Workers that were sent to another controller. */
    public long redirectCount() {
        return redirectCount;
    }

    private static CompletableFuture<HttpResponse> answer(HttpResponse response) {
        return CompletableFuture.completedFuture(response);
    }
}
