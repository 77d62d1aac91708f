package io.sillreel.heartbeat;

import io.sillreel.agent.Heartbeat;
import io.sillreel.http.EventLoop;
import io.sillreel.http.HttpRequest;
import io.sillreel.http.HttpResponse;
import io.sillreel.http.Json;
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
    private final HeartbeatObserver watcher;
    private long heartbeatCount;
    private long relayed;
    private long redirected;
    private int unanswered;
    private int unansweredBefore;

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
        this.watcher = watcher;
    }

    /** A worker's report: decided here, handed on to the lease leader, or sent to where it can be. */
    public CompletableFuture<HttpResponse> route(HttpRequest request) {
        heartbeatCount++;
        LeaderHeartbeats current = leaderLocator.ownTerm();
        Optional<Member> leader = current != null ? Optional.empty() : leaderLocator.remoteLeader();
        if (current == null && leader.isEmpty()) {
            // Not even read: right after a start hundreds ask, and the election can't wait for that.
            unanswered++;
            return answer(NOBODY_LEADS);
        }
        Heartbeat heartbeat = Heartbeat.read(request.body());
        if (heartbeat == null) {
            return answer(HttpResponse.error(400, "hopper: is missing"));
        }
        watcher.heartbeatReceived(heartbeat);
        loadBalancer.heartbeatReceived(heartbeat.machine());
        String elsewhere = loadBalancer.redirectTarget(heartbeat.machine());
        if (elsewhere == null
                && current == null
                && !heartbeatRelay.isReachable(leader.get().address())
                && !loadBalancer.wasRedirectedRecently(heartbeat.machine())) {
            elsewhere = leader.get().nodeName();
        }
        if (elsewhere != null) {
            redirected++;
            loadBalancer.redirected(heartbeat.machine());
            return answer(elsewhere(elsewhere));
        }
        if (current != null) {
            return answer(decide(current, heartbeat));
        }
        return heartbeatRelay.relay(heartbeat, leader.get().address()).thenApply(response -> {
            if (!response.isOk()) {
                unanswered++;
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
        relayed += reports.size();
        return new HeartbeatBatch(eventLoop, reports, heartbeat -> decide(current, heartbeat)).start();
    }

    private HttpResponse decide(LeaderHeartbeats current, Heartbeat heartbeat) {
        return watcher.mayAnswer(heartbeat, current.term()) ? current.handleHeartbeat(heartbeat) : NOBODY_LEADS;
    }

    private static HttpResponse elsewhere(String node) {
        return HttpResponse.of(421, Json.object().put("foreman", node));
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
    public void startNextWindow() {
        unansweredBefore = unanswered;
        unanswered = 0;
    }

    /** Reports that could not be answered within the last two seconds or so. */
    public int recentlyUnansweredCount() {
        return unanswered + unansweredBefore;
    }

    /** Reports that came from workers. */
    public long heartbeatCount() {
        return heartbeatCount;
    }

    /** Reports that other controllers handed on. */
    public long relayedCount() {
        return relayed;
    }

    /** Workers that were sent to another controller. */
    public long redirectCount() {
        return redirected;
    }

    private static CompletableFuture<HttpResponse> answer(HttpResponse response) {
        return CompletableFuture.completedFuture(response);
    }
}
