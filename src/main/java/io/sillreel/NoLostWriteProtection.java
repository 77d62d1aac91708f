package io.sillreel;

import io.sillreel.heartbeat.HeartbeatObserver;
import io.sillreel.http.HttpClient;
import io.sillreel.http.HttpHandler;
import io.sillreel.http.HttpRequest;
import io.sillreel.http.HttpResponse;
import io.sillreel.leadership.LeaderElection;
import io.sillreel.leadership.TermGrant;
import io.sillreel.statestore.StateStore;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Disabled protection: responses of the state service are not checked, and no class of the recovery package is loaded.
 */
final class NoLostWriteProtection implements LostWriteProtection {
    @Override
    public HttpClient monitor(HttpClient client) {
        return client;
    }

    @Override
    public HeartbeatObserver heartbeatObserver() {
        return HeartbeatObserver.NONE;
    }

    @Override
    public long termFloor() {
        return 0;
    }

    @Override
    public void start(StateStore store, LeaderElection election) {}

    @Override
    public CompletableFuture<HttpResponse> handleUserRequest(HttpRequest request, HttpHandler handler) {
        return handler.handle(request);
    }

    @Override
    public void beforeTerm(TermGrant grant, Runnable beginTerm) {
        beginTerm.run();
    }

    @Override
    public void leadershipLost() {}

    @Override
    public Optional<HttpResponse> handleInternal(HttpRequest request) {
        return Optional.empty();
    }

    @Override
    public Map<String, Double> gauges() {
        return Map.of();
    }
}
