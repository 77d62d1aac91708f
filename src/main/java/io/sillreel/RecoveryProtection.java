package io.sillreel;

import io.sillreel.heartbeat.HeartbeatObserver;
import io.sillreel.http.HttpClient;
import io.sillreel.http.HttpHandler;
import io.sillreel.http.HttpRequest;
import io.sillreel.http.HttpResponse;
import io.sillreel.leadership.LeaderElection;
import io.sillreel.leadership.TermGrant;
import io.sillreel.recovery.Recovery;
import io.sillreel.statestore.StateStore;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Enabled protection: {@link Recovery} detects lost writes and restores them. */
final class RecoveryProtection implements LostWriteProtection {
    private final Recovery recovery;

    RecoveryProtection(Recovery recovery) {
        this.recovery = recovery;
    }

    @Override
    public HttpClient monitor(HttpClient client) {
        return recovery.monitor(client);
    }

    @Override
    public HeartbeatObserver heartbeatObserver() {
        return recovery;
    }

    @Override
    public long termFloor() {
        return recovery.termFloor();
    }

    @Override
    public void start(StateStore store, LeaderElection election) {
        recovery.start(store, election);
    }

    @Override
    public CompletableFuture<HttpResponse> handleUserRequest(HttpRequest request, HttpHandler handler) {
        return recovery.handleUserRequest(() -> handler.handle(request));
    }

    @Override
    public void beforeTerm(TermGrant grant, Runnable beginTerm) {
        recovery.beforeTerm(grant.term(), grant.leaderRevision(), beginTerm);
    }

    @Override
    public void leadershipLost() {
        recovery.leadershipLost();
    }

    @Override
    public Optional<HttpResponse> handleInternal(HttpRequest request) {
        return Recovery.handlesRoute(request.route()) ? Optional.of(recovery.handle(request)) : Optional.empty();
    }

    @Override
    public Map<String, Double> gauges() {
        return recovery.gauges();
    }
}
