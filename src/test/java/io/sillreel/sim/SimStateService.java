package io.sillreel.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sillreel.http.HttpHandler;
import io.sillreel.http.HttpRequest;
import io.sillreel.http.HttpResponse;
import io.sillreel.http.Json;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

/** An in-memory state service that implements the documented protocol. */
public final class SimStateService implements HttpHandler {
    private static final int MAX_RETAINED_CHANGES = 10_000;

    private record Value(JsonNode value, long revision, long leaseId) {}

    private record Change(String key, JsonNode value, long revision) {}

    private final SimTime time;
    private int txnOps;
    private int valueBytes;
    private double writesPerSecond;
    private double writeTokens;
    private long refilledMicros;
    private int rejectedForSize;
    private int rejectedForRate;
    private final TreeMap<String, Value> keys = new TreeMap<>();
    private final Map<Long, Long> leaseDurations = new TreeMap<>();
    private final Map<Long, Long> leaseExpirations = new TreeMap<>();
    private final List<Change> changes = new ArrayList<>();
    private final Set<Runnable> watchers = new LinkedHashSet<>();
    private long revision = 100;
    private long lastLeaseId;
    private long compactedRevision;
    private boolean outage;
    private long misreportedRevision;
    private Runnable leaderWritten = () -> {};

    public SimStateService(SimTime time, int txnOps, int valueBytes, double writesPerSecond) {
        this.time = time;
        setLimits(txnOps, valueBytes, writesPerSecond);
    }

    /** Replaces the limits; stored values are kept even if they exceed them. */
    public void setLimits(int ops, int bytes, double perSecond) {
        txnOps = ops;
        valueBytes = bytes;
        writesPerSecond = perSecond;
        writeTokens = perSecond;
    }

    /** Returns the number of requests that were rejected because they, or values in them, were too large. */
    public int rejectedForSize() {
        return rejectedForSize;
    }

    public int rejectedForRate() {
        return rejectedForRate;
    }

    /** Takes writes from a token bucket that holds one second's worth; returns true if it holds too few. */
    private boolean exceedsWriteRate(int writes) {
        writeTokens = Math.min(
                writesPerSecond, writeTokens + writesPerSecond * (time.nowMicros() - refilledMicros) / 1_000_000.0);
        refilledMicros = time.nowMicros();
        if (writeTokens < writes) {
            return true;
        }
        writeTokens -= writes;
        return false;
    }

    /** Sets the action to run whenever the leader key is written. */
    void onLeaderWritten(Runnable then) {
        leaderWritten = then;
    }

    /** Begins or ends an outage; its end renews all leases for their full duration. */
    public void setOutage(boolean isDown) {
        outage = isDown;
        if (!isDown) {
            leaseExpirations.replaceAll((leaseId, end) -> time.nowMicros() + leaseDurations.get(leaseId));
            notifyWatchers();
        }
    }

    /** Returns the revision of the last change. */
    public long revision() {
        return revision;
    }

    public JsonNode value(String key) {
        expireLeases();
        return keys.containsKey(key) ? keys.get(key).value() : null;
    }

    public Set<String> keysWithPrefix(String prefix) {
        expireLeases();
        return new HashSet<>(keys.subMap(prefix, prefix + Character.MAX_VALUE).keySet());
    }

    /** All stored values, from which the service can be restored. */
    public static final class Snapshot {
        private final TreeMap<String, Value> keys;
        private final long revision;

        private Snapshot(TreeMap<String, Value> keys, long revision) {
            this.keys = keys;
            this.revision = revision;
        }
    }

    /** Makes the next response that contains a revision report the given one instead. */
    public void misreportRevision(long revision) {
        misreportedRevision = revision;
    }

    public Snapshot snapshot() {
        expireLeases();
        return new Snapshot(new TreeMap<>(keys), revision);
    }

    /** Restores an older snapshot, without its leases and the keys that were stored with one. */
    public void restore(Snapshot snapshot) {
        keys.clear();
        keys.putAll(snapshot.keys);
        keys.values().removeIf(value -> value.leaseId() > 0);
        leaseDurations.clear();
        leaseExpirations.clear();
        changes.removeIf(change -> change.revision() > snapshot.revision);
        revision = snapshot.revision;
        compactedRevision = Math.min(compactedRevision, revision);
    }

    /** Discards the change history, as after very many changes; watches from older revisions then fail with 410. */
    public void compact() {
        changes.clear();
        compactedRevision = revision;
    }

    @Override
    public CompletableFuture<HttpResponse> handle(HttpRequest request) {
        String route = request.route();
        if (route.equals("/watch")) {
            return watch(request);
        }
        if (outage) {
            return answer(503, Json.object().put("error", "trouble"));
        }
        expireLeases();
        if (route.equals("/kv")) {
            return list(request);
        }
        if (route.startsWith("/kv/")) {
            return get(route.substring(4));
        }
        if (route.equals("/txn")) {
            return commit(Json.parse(request.body()));
        }
        return handleLease(request);
    }

    private CompletableFuture<HttpResponse> get(String key) {
        Value value = keys.get(key);
        return value == null ? answer(404, Json.object().put("ledger", revision)) : answer(200, entry(key, value));
    }

    private CompletableFuture<HttpResponse> list(HttpRequest request) {
        String prefix = request.queryParameter("prefix");
        String since = request.queryParameter("since");
        int limit = Integer.parseInt(request.queryParameter("limit"));
        ObjectNode body = Json.object().put("ledger", revision);
        ArrayNode entries = body.putArray("entries");
        boolean truncated = false;
        for (Map.Entry<String, Value> each :
                keys.tailMap(since.isEmpty() ? prefix : since, since.isEmpty()).entrySet()) {
            if (!each.getKey().startsWith(prefix)) {
                break;
            }
            if (entries.size() == limit) {
                truncated = true;
                break;
            }
            entries.add(entry(each.getKey(), each.getValue()));
        }
        return answer(200, body.put("truncated", truncated));
    }

    private CompletableFuture<HttpResponse> commit(JsonNode body) {
        JsonNode then = body.path("then");
        if (exceedsWriteRate(then.size())) {
            rejectedForRate++;
            return answer(429, Json.object().put("error", "too fast"));
        }
        if (then.size() > txnOps || body.path("if").size() > 4 * txnOps || Json.bytes(body).length > 64 * 1024) {
            rejectedForSize++;
            return answer(400, Json.object().put("error", "too large"));
        }
        for (JsonNode change : then) {
            if (change.has("v") && Json.bytes(change.path("v")).length > valueBytes) {
                rejectedForSize++;
                return answer(400, Json.object().put("error", "value too large"));
            }
            if (change.has("permit")
                    && !leaseExpirations.containsKey(change.path("permit").asLong())) {
                return answer(400, Json.object().put("error", "no such lease"));
            }
        }
        ArrayNode failed = failedConditions(body.path("if"));
        if (!failed.isEmpty()) {
            ObjectNode conflict = Json.object().put("ledger", revision);
            conflict.set("failed", failed);
            return answer(409, conflict);
        }
        if (!then.isEmpty()) {
            revision++;
            then.forEach(this::apply);
            notifyWatchers();
        }
        return answer(200, Json.object().put("ledger", revision));
    }

    private ArrayNode failedConditions(JsonNode conditions) {
        ArrayNode failed = Json.array();
        for (JsonNode condition : conditions) {
            String key = condition.path("k").asText();
            long revision = keys.containsKey(key) ? keys.get(key).revision() : 0;
            if (revision != condition.path("stamp").asLong()) {
                failed.add(key);
            }
        }
        return failed;
    }

    private void apply(JsonNode change) {
        if (change.has("remove")) {
            delete(change.path("remove").asText());
            return;
        }
        String key = change.path("set").asText();
        keys.put(
                key, new Value(change.path("v"), revision, change.path("permit").asLong()));
        changes.add(new Change(key, change.path("v"), revision));
        if (key.equals("leader")) {
            leaderWritten.run();
        }
    }

    private CompletableFuture<HttpResponse> handleLease(HttpRequest request) {
        String route = request.route();
        if (route.equals("/grants")) {
            long duration = Json.parse(request.body()).path("life_ms").asLong() * 1_000;
            lastLeaseId++;
            leaseDurations.put(lastLeaseId, duration);
            leaseExpirations.put(lastLeaseId, time.nowMicros() + duration);
            time.after(duration + 1, this::expireLeases);
            return answer(200, Json.object().put("permit", lastLeaseId));
        }
        String[] parts = route.split("/");
        long leaseId = Long.parseLong(parts[2]);
        if (!leaseExpirations.containsKey(leaseId)) {
            return answer(404, Json.object().put("error", "no such lease"));
        }
        if (request.method().equals("DELETE")) {
            leaseExpirations.put(leaseId, time.nowMicros() - 1);
            expireLeases();
        } else {
            leaseExpirations.put(leaseId, time.nowMicros() + leaseDurations.get(leaseId));
            time.after(leaseDurations.get(leaseId) + 1, this::expireLeases);
        }
        return answer(200, Json.object());
    }

    private CompletableFuture<HttpResponse> watch(HttpRequest request) {
        String prefix = request.queryParameter("prefix");
        long since = Long.parseLong(request.queryParameter("since"));
        CompletableFuture<HttpResponse> answer = new CompletableFuture<>();
        long end = time.nowMicros() + Long.parseLong(request.queryParameter("block_ms")) * 1_000;
        if (outage) {
            return answer(503, Json.object().put("error", "trouble"));
        }
        Runnable[] poll = new Runnable[1];
        poll[0] = () -> {
            if (answer.isDone() || outage) {
                return;
            }
            if (since < compactedRevision) {
                answer.complete(HttpResponse.of(410, Json.object()));
                watchers.remove(poll[0]);
                return;
            }
            ObjectNode body = Json.object().put("ledger", revision);
            ArrayNode events = body.putArray("news");
            for (Change change : changes) {
                if (change.revision() > since && change.key().startsWith(prefix)) {
                    ObjectNode node = events.addObject().put(change.value() == null ? "remove" : "set", change.key());
                    if (change.value() != null) {
                        node.set("v", change.value());
                    }
                    node.put("stamp", change.revision());
                }
            }
            if (!events.isEmpty() || time.nowMicros() >= end) {
                watchers.remove(poll[0]);
                answer.complete(HttpResponse.of(200, body));
            }
        };
        watchers.add(poll[0]);
        time.after(end - time.nowMicros(), poll[0]);
        poll[0].run();
        return answer;
    }

    private void notifyWatchers() {
        for (Runnable watcher : List.copyOf(watchers)) {
            watcher.run();
        }
        while (changes.size() > MAX_RETAINED_CHANGES) {
            compactedRevision = changes.remove(0).revision();
        }
    }

    private void expireLeases() {
        if (outage) {
            return;
        }
        boolean ended = false;
        for (long leaseId : List.copyOf(leaseExpirations.keySet())) {
            if (leaseExpirations.get(leaseId) < time.nowMicros()) {
                leaseExpirations.remove(leaseId);
                leaseDurations.remove(leaseId);
                revision++;
                for (String key : List.copyOf(keys.keySet())) {
                    if (keys.get(key).leaseId() == leaseId) {
                        delete(key);
                    }
                }
                ended = true;
            }
        }
        if (ended) {
            notifyWatchers();
        }
    }

    private void delete(String key) {
        if (keys.remove(key) != null) {
            changes.add(new Change(key, null, revision));
        }
    }

    private static ObjectNode entry(String key, Value value) {
        ObjectNode node = Json.object().put("k", key).put("stamp", value.revision());
        node.set("v", value.value());
        return node;
    }

    private CompletableFuture<HttpResponse> answer(int status, ObjectNode body) {
        if (misreportedRevision > 0 && body.has("ledger")) {
            body.put("ledger", misreportedRevision);
            misreportedRevision = 0;
        }
        return CompletableFuture.completedFuture(HttpResponse.of(status, body));
    }
}
