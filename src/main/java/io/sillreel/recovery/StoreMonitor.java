package io.sillreel.recovery;

import com.fasterxml.jackson.databind.JsonNode;
import io.sillreel.http.EventLoop;
import io.sillreel.http.HttpClient;
import io.sillreel.http.HttpRequest;
import io.sillreel.http.HttpResponse;
import io.sillreel.http.Json;
import io.sillreel.recovery.StoreHistory.Consistency;
import io.sillreel.recovery.StoreHistory.Mark;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Looks at each answer of the state service before anybody believes it. An answer that shows a loss, or that belongs to
 * the time before one, counts as none: what was asked may have been carried out, and has to be read again.
 */
final class StoreMonitor implements HttpClient {
    private static final String KEYS = "/kv/";
    private static final String TRANSACTIONS = "/txn";

    /**
     * @param key the key that is read, or null
     * @param knownStamp its stamp as far as it is known
     * @param changes what is written
     */
    private record ObservedRequest(Mark mark, String key, long knownStamp, List<JsonNode> changes) {}

    private final HttpClient caller;
    private final EventLoop loop;
    private final StoreHistory history;
    private final ChangeLog log;
    private final BooleanSupplier suspended;
    private final Consumer<String> onLoss;

    /**
     * @param suspended true while a loss is known: then what is remembered says nothing of what ought to be stored
     * @param onLoss told what shows that writes have been lost
     */
    StoreMonitor(
            HttpClient caller,
            EventLoop loop,
            StoreHistory history,
            ChangeLog log,
            BooleanSupplier suspended,
            Consumer<String> onLoss) {
        this.caller = caller;
        this.loop = loop;
        this.history = history;
        this.log = log;
        this.suspended = suspended;
        this.onLoss = onLoss;
    }

    @Override
    public CompletableFuture<HttpResponse> call(String address, HttpRequest call, long timeoutMicros) {
        String route = call.route();
        String key = route.startsWith(KEYS) ? route.substring(KEYS.length()) : null;
        long knownStamp = key == null || suspended.getAsBoolean() ? 0 : log.stampOf(key);
        List<JsonNode> changes = new ArrayList<>();
        if (route.equals(TRANSACTIONS)) {
            Json.parse(call.body()).path("then").forEach(changes::add);
        }
        ObservedRequest request = new ObservedRequest(history.mark(loop.wallMicros()), key, knownStamp, changes);
        return caller.call(address, call, timeoutMicros).thenApply(reply -> {
            if (reply.status() != 200 && reply.status() != 404 && reply.status() != 409) {
                return reply;
            }
            JsonNode body = reply.json();
            if (!believed(request, reply, body)) {
                return HttpResponse.noAnswer();
            }
            if (reply.ok() && !changes.isEmpty()) {
                remember(changes, body.path("ledger").asLong());
            }
            return reply;
        });
    }

    private boolean believed(ObservedRequest request, HttpResponse reply, JsonNode body) {
        Consistency verdict;
        if (request.key() != null && reply.ok()) {
            long stamp = body.path("stamp").asLong();
            verdict = history.answeredWithStamp(request.mark(), stamp);
            if (verdict == Consistency.CONSISTENT && stamp < request.knownStamp()) {
                onLoss.accept(request.key() + " has stamp " + stamp + ", and had " + request.knownStamp());
                return false;
            }
        } else if (body.has("ledger")) {
            long ledger = body.path("ledger").asLong();
            boolean written = reply.ok() && !request.changes().isEmpty();
            verdict = written ? history.committed(request.mark(), ledger) : history.answered(request.mark(), ledger);
        } else {
            return true;
        }
        if (verdict == Consistency.LOST) {
            onLoss.accept("ledger is " + body.path("ledger").asLong() + ", and was "
                    + request.mark().ledger());
        } else if (verdict == Consistency.CONSISTENT && hasVanished(request, reply)) {
            onLoss.accept(request.key() + " is gone, and nobody removes it");
            return false;
        }
        return verdict == Consistency.CONSISTENT;
    }

    private static boolean hasVanished(ObservedRequest request, HttpResponse reply) {
        return reply.status() == 404 && request.knownStamp() > 0 && PermanentKeys.contains(request.key());
    }

    private void remember(List<JsonNode> written, long ledger) {
        List<RecentChange> changes = new ArrayList<>();
        for (JsonNode change : written) {
            if (change.has("set")) {
                changes.add(RecentChange.of(change.path("set").asText(), change.path("v"), ledger));
            } else {
                changes.add(RecentChange.of(change.path("remove").asText(), null, ledger));
            }
        }
        log.stored(changes, ledger);
    }
}
