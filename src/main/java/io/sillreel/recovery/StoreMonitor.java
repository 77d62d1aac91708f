package io.sillreel.recovery;

import com.fasterxml.jackson.databind.JsonNode;
import io.sillreel.http.EventLoop;
import io.sillreel.http.HttpClient;
import io.sillreel.http.HttpRequest;
import io.sillreel.http.HttpResponse;
import io.sillreel.http.Json;
import io.sillreel.recovery.RevisionTracker.Consistency;
import io.sillreel.recovery.RevisionTracker.RequestBaseline;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Checks each response of the state service for evidence of lost writes before it is used. A response that shows a
 * loss, or whose request was sent before one was detected, is treated like a missing response: the request may have
 * been executed, so the caller has to read again.
 */
final class StoreMonitor implements HttpClient {
    private static final String KEY_ROUTE_PREFIX = "/kv/";
    private static final String TRANSACTION_ROUTE = "/txn";

    /**
     * A request with what is needed to check its response.
     *
     * @param baseline what was known when the request was sent
     * @param key the key that is read, or null
     * @param knownRevision the known revision of the key, or 0
     * @param changes the changes of a transaction
     */
    private record ObservedRequest(RequestBaseline baseline, String key, long knownRevision, List<JsonNode> changes) {}

    private final HttpClient httpClient;
    private final EventLoop eventLoop;
    private final RevisionTracker revisions;
    private final ChangeLog log;
    private final BooleanSupplier suspended;
    private final Consumer<String> onLoss;

    /**
     * @param suspended true while a loss is open, so that the change log does not tell what must be stored
     * @param onLoss receives the evidence when lost writes are detected
     */
    StoreMonitor(
            HttpClient httpClient,
            EventLoop eventLoop,
            RevisionTracker revisions,
            ChangeLog log,
            BooleanSupplier suspended,
            Consumer<String> onLoss) {
        this.httpClient = httpClient;
        this.eventLoop = eventLoop;
        this.revisions = revisions;
        this.log = log;
        this.suspended = suspended;
        this.onLoss = onLoss;
    }

    @Override
    public CompletableFuture<HttpResponse> send(String address, HttpRequest request, long timeoutMicros) {
        String route = request.route();
        String key = route.startsWith(KEY_ROUTE_PREFIX) ? route.substring(KEY_ROUTE_PREFIX.length()) : null;
        long knownRevision = key == null || suspended.getAsBoolean() ? 0 : log.revisionOf(key);
        List<JsonNode> changes = new ArrayList<>();
        if (route.equals(TRANSACTION_ROUTE)) {
            Json.parse(request.body()).path("then").forEach(changes::add);
        }
        ObservedRequest observed =
                new ObservedRequest(revisions.baseline(eventLoop.wallMicros()), key, knownRevision, changes);
        return httpClient.send(address, request, timeoutMicros).thenApply(response -> {
            if (response.status() != 200 && response.status() != 404 && response.status() != 409) {
                return response;
            }
            JsonNode body = response.json();
            if (!isConsistent(observed, response, body)) {
                return HttpResponse.noResponse();
            }
            if (response.isOk() && !changes.isEmpty()) {
                recordWrites(changes, body.path("ledger").asLong());
            }
            return response;
        });
    }

    private boolean isConsistent(ObservedRequest observed, HttpResponse response, JsonNode body) {
        Consistency consistency;
        if (observed.key() != null && response.isOk()) {
            long revision = body.path("stamp").asLong();
            consistency = revisions.observeKeyRevision(observed.baseline(), revision);
            if (consistency == Consistency.CONSISTENT && revision < observed.knownRevision()) {
                onLoss.accept(observed.key() + " has stamp " + revision + ", and had " + observed.knownRevision());
                return false;
            }
        } else if (body.has("ledger")) {
            long storeRevision = body.path("ledger").asLong();
            boolean written = response.isOk() && !observed.changes().isEmpty();
            consistency = written
                    ? revisions.observeCommit(observed.baseline(), storeRevision)
                    : revisions.observeRevision(observed.baseline(), storeRevision);
        } else {
            return true;
        }
        if (consistency == Consistency.WRITES_LOST) {
            onLoss.accept("ledger is " + body.path("ledger").asLong() + ", and was "
                    + observed.baseline().storeRevision());
        } else if (consistency == Consistency.CONSISTENT && isPermanentKeyMissing(observed, response)) {
            onLoss.accept(observed.key() + " is gone, and nobody removes it");
            return false;
        }
        return consistency == Consistency.CONSISTENT;
    }

    private static boolean isPermanentKeyMissing(ObservedRequest observed, HttpResponse response) {
        return response.status() == 404 && observed.knownRevision() > 0 && PermanentKeys.isPermanent(observed.key());
    }

    private void recordWrites(List<JsonNode> written, long storeRevision) {
        List<RecentChange> changes = new ArrayList<>();
        for (JsonNode change : written) {
            if (change.has("set")) {
                changes.add(RecentChange.of(change.path("set").asText(), change.path("v"), storeRevision));
            } else {
                changes.add(RecentChange.of(change.path("remove").asText(), null, storeRevision));
            }
        }
        log.addCommitted(changes, storeRevision);
    }
}
