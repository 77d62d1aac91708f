package io.sillreel.heartbeat;

import io.sillreel.agent.Heartbeat;
import io.sillreel.http.EventLoop;
import io.sillreel.http.HttpRequest;
import io.sillreel.http.HttpResponse;
import io.sillreel.http.Json;
import io.sillreel.leadership.LeaderElection;
import io.sillreel.leadership.LeaderTerm;
import io.sillreel.peer.PeerMessages;
import io.sillreel.settings.Settings;
import io.sillreel.settings.Settings.Member;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** Brings workers' reports to where they can be decided: here, at the lease leader, or at another controller. */
public final class HeartbeatRouter {
    private static final HttpResponse NOBODY_LEADS = HttpResponse.retryLater(503, "nobody holds the lease", 1);

    private final EventLoop eventLoop;
    private final Settings settings;
    private final LeaderElection leadership;
    private final HeartbeatRelay relay;
    private final WorkerLoadBalancer spread;
    private final Supplier<LeaderTerm> leaderTerm;
    private final HeartbeatObserver watcher;
    private long reports;
    private long handed;
    private long moved;
    private int unanswered;
    private int unansweredBefore;

    /** @param leaderTerm the term that this controller leads, or null */
    public HeartbeatRouter(
            EventLoop eventLoop,
            Settings settings,
            LeaderElection leadership,
            HeartbeatRelay relay,
            WorkerLoadBalancer spread,
            Supplier<LeaderTerm> leaderTerm,
            HeartbeatObserver watcher) {
        this.eventLoop = eventLoop;
        this.settings = settings;
        this.leadership = leadership;
        this.relay = relay;
        this.spread = spread;
        this.leaderTerm = leaderTerm;
        this.watcher = watcher;
    }

    /** A worker's report: decided here, handed on to the lease leader, or sent to where it can be. */
    public CompletableFuture<HttpResponse> heartbeat(HttpRequest request) {
        reports++;
        LeaderTerm current = leaderTerm.get();
        Optional<Member> leader = current != null ? Optional.empty() : leader();
        if (current == null && leader.isEmpty()) {
            // Not even read: right after a start hundreds ask, and the election can't wait for that.
            unanswered++;
            return answer(NOBODY_LEADS);
        }
        Heartbeat heartbeat = Heartbeat.read(request.body());
        if (heartbeat == null) {
            return answer(HttpResponse.refusal(400, "hopper: is missing"));
        }
        watcher.received(heartbeat);
        spread.seen(heartbeat.machine());
        String elsewhere = spread.moveTo(heartbeat.machine());
        if (elsewhere == null
                && current == null
                && !relay.works(leader.get().address())
                && !spread.sentOnLately(heartbeat.machine())) {
            elsewhere = leader.get().nodeName();
        }
        if (elsewhere != null) {
            moved++;
            spread.sentOn(heartbeat.machine());
            return answer(elsewhere(elsewhere));
        }
        if (current != null) {
            return answer(decide(current, heartbeat));
        }
        return relay.pass(heartbeat, leader.get().address()).thenApply(response -> {
            if (!response.isOk()) {
                unanswered++;
            }
            return response;
        });
    }

    /** The controller that is known to lead, unless it is this one or nobody. */
    public Optional<Member> leader() {
        String node = leadership.known().node();
        return node == null ? Optional.empty() : settings.member(node);
    }

    /** Reports that another controller hands on. */
    public CompletableFuture<HttpResponse> handedOn(HttpRequest request) {
        LeaderTerm current = leaderTerm.get();
        if (current == null) {
            return answer(HttpResponse.retryLater(503, "not the leader", 1));
        }
        List<Heartbeat> reports = PeerMessages.reports(request.body());
        handed += reports.size();
        return new HeartbeatBatch(eventLoop, reports, heartbeat -> decide(current, heartbeat)).start();
    }

    private HttpResponse decide(LeaderTerm current, Heartbeat heartbeat) {
        return watcher.answerable(heartbeat, current.term()) ? current.answer(heartbeat) : NOBODY_LEADS;
    }

    private static HttpResponse elsewhere(String node) {
        return HttpResponse.of(421, Json.object().put("foreman", node));
    }

    /** True if workers that report here have their reports answered. */
    public boolean serves() {
        return leaderTerm.get() != null
                || leader().map(member -> relay.works(member.address())).orElse(false);
    }

    /** A second or so has passed; what went unanswered is remembered for one more. */
    public void review() {
        unansweredBefore = unanswered;
        unanswered = 0;
    }

    /** Reports that could not be answered within the last two seconds or so. */
    public int recentlyUnanswered() {
        return unanswered + unansweredBefore;
    }

    /** Reports that came from workers. */
    public long reports() {
        return reports;
    }

    /** Reports that other controllers handed on. */
    public long reportsHandedOn() {
        return handed;
    }

    /** Workers that were sent to another controller. */
    public long workersMoved() {
        return moved;
    }

    private static CompletableFuture<HttpResponse> answer(HttpResponse response) {
        return CompletableFuture.completedFuture(response);
    }
}
