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

/** Protection against a state service that loses writes. Operators decide whether it is enabled. */
interface LostWriteProtection {
    /** Wraps a client of the state service, so that its responses are checked for signs of a loss. */
    HttpClient monitor(HttpClient client);

    /** The observer of agents' heartbeats, which may carry a term that is no longer stored. */
    HeartbeatObserver heartbeatObserver();

    /** A term that the next one has to lie above, whatever is stored. */
    long termFloor();

    /** Starts the protection; the store and the election use monitored clients. */
    void start(StateStore store, LeaderElection election);

    /** Handles a user's request, or refuses it if the response could be based on state that lacks lost writes. */
    CompletableFuture<HttpResponse> handleUserRequest(HttpRequest request, HttpHandler handler);

    /** Begins the term once no loss is known or a known one has been repaired. */
    void beforeTerm(TermGrant grant, Runnable beginTerm);

    /** Called when the term has ended, whether or not it had begun. */
    void leadershipLost();

    /** Handles a request of another controller or an operator; empty if the protection does not serve its route. */
    Optional<HttpResponse> handleInternal(HttpRequest request);

    /** The values of its metrics by their names. */
    Map<String, Double> gauges();
}
