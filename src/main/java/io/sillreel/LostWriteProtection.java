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

/** What a controller does about a state store that may lose writes. Operators decide whether it does anything. */
interface LostWriteProtection {
    /** Wraps a client of the state store, so that its responses are checked for signs of a loss. */
    HttpClient monitor(HttpClient client);

    /** Sees the heartbeats of agents, which may show a term that is no longer stored. */
    HeartbeatObserver heartbeatObserver();

    /** The next term has to lie above this one, whatever is stored. */
    long termFloor();

    /** Starts the protection; both use a monitored client. */
    void start(StateStore store, LeaderElection election);

    /** Handles a user's request, unless its answer could rest on a state that lost writes. */
    CompletableFuture<HttpResponse> handleUserRequest(HttpRequest request, HttpHandler handler);

    /** Begins the term once no loss is known, or a known one is repaired. */
    void beforeTerm(TermGrant grant, Runnable beginTerm);

    /** The term, begun or not, has ended. */
    void termLost();

    /** Handles a request of another controller or an operator; empty if its path belongs to something else. */
    Optional<HttpResponse> handleInternal(HttpRequest request);

    /** The values of its metrics by their names. */
    Map<String, Double> gauges();
}
