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

/** A state service in memory, as far as the protocol describes it. */
public final class SimStateService implements HttpHandler {
    private static final int KEPT_CHANGES = 10_000;

    private record Value(JsonNode value, long stamp, long permit) {}

    private record Change(String key, JsonNode value, long stamp) {}

    private final SimTime time;
    private int txnOps;
    private int valueBytes;
    private double writesPerSecond;
    private double writesLeft;
    private long writesMicros;
    private int rejectedForSize;
    private int rejectedForRate;
    private final TreeMap<String, Value> keys = new TreeMap<>();
    private final Map<Long, Long> lives = new TreeMap<>();
    private final Map<Long, Long> ends = new TreeMap<>();
    private final List<Change> changes = new ArrayList<>();
    private final Set<Runnable> watchers = new LinkedHashSet<>();
    private long revision = 100;
    private long permits;
    private long forgotten;
    private boolean outage;
    private long misreported;
    private Runnable leaderWritten = () -> {};

    public SimStateService(SimTime time, int txnOps, int valueBytes, double writesPerSecond) {
        this.time = time;
        setLimits(txnOps, valueBytes, writesPerSecond);
    }

    /** From now on these are the limits; what is stored stays. */
    public void setLimits(int ops, int bytes, double perSecond) {
        txnOps = ops;
        valueBytes = bytes;
        writesPerSecond = perSecond;
        writesLeft = perSecond;
    }

    /** Requests that were refused since they, or values in them, were too large. */
    public int rejectedForSize() {
        return rejectedForSize;
    }

    public int rejectedForRate() {
        return rejectedForRate;
    }

    /** Takes writes from a bucket that holds one second's worth. */
    private boolean tooFast(int writes) {
        writesLeft = Math.min(
                writesPerSecond, writesLeft + writesPerSecond * (time.nowMicros() - writesMicros) / 1_000_000.0);
        writesMicros = time.nowMicros();
        if (writesLeft < writes) {
            return true;
        }
        writesLeft -= writes;
        return false;
    }

    /** Done whenever the leader key is written. */
    void onLeaderWritten(Runnable then) {
        leaderWritten = then;
    }

    /** Begins or ends an outage; after it all leases have their full time again. */
    public void setOutage(boolean down) {
        outage = down;
        if (!down) {
            ends.replaceAll((permit, end) -> time.nowMicros() + lives.get(permit));
            wake();
        }
    }

    /** The revision of the last change. */
    public long revision() {
        return revision;
    }

    public JsonNode value(String key) {
        expire();
        return keys.containsKey(key) ? keys.get(key).value() : null;
    }

    public Set<String> keysWithPrefix(String prefix) {
        expire();
        return new HashSet<>(keys.subMap(prefix, prefix + Character.MAX_VALUE).keySet());
    }

    /** Everything that is stored, to come back with later. */
    public static final class Snapshot {
        private final TreeMap<String, Value> keys;
        private final long storeRevision;

        private Snapshot(TreeMap<String, Value> keys, long storeRevision) {
            this.keys = keys;
            this.storeRevision = storeRevision;
        }
    }

    /** The next answer that names a revision names this one. */
    public void misreportRevision(long revision) {
        misreported = revision;
    }

    public Snapshot snapshot() {
        expire();
        return new Snapshot(new TreeMap<>(keys), revision);
    }

    /** Comes back with an older image of itself: no lease is left, and what hung on one is gone. */
    public void restore(Snapshot image) {
        keys.clear();
        keys.putAll(image.keys);
        keys.values().removeIf(value -> value.permit() > 0);
        lives.clear();
        ends.clear();
        changes.removeIf(change -> change.stamp() > image.storeRevision);
        revision = image.storeRevision;
        forgotten = Math.min(forgotten, revision);
    }

    /** Forgets the record of changes, as if very many had come since. */
    public void compact() {
        changes.clear();
        forgotten = revision;
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
        expire();
        if (route.equals("/kv")) {
            return list(request);
        }
        if (route.startsWith("/kv/")) {
            return get(route.substring(4));
        }
        if (route.equals("/txn")) {
            return txn(Json.parse(request.body()));
        }
        return grants(request);
    }

    private CompletableFuture<HttpResponse> get(String key) {
        Value value = keys.get(key);
        return value == null ? answer(404, Json.object().put("ledger", revision)) : answer(200, entry(key, value));
    }

    private CompletableFuture<HttpResponse> list(HttpRequest request) {
        String prefix = request.query("prefix");
        String since = request.query("since");
        int limit = Integer.parseInt(request.query("limit"));
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

    private CompletableFuture<HttpResponse> txn(JsonNode body) {
        JsonNode then = body.path("then");
        if (tooFast(then.size())) {
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
            if (change.has("permit") && !ends.containsKey(change.path("permit").asLong())) {
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
            wake();
        }
        return answer(200, Json.object().put("ledger", revision));
    }

    private ArrayNode failedConditions(JsonNode conditions) {
        ArrayNode failed = Json.array();
        for (JsonNode condition : conditions) {
            String key = condition.path("k").asText();
            long revision = keys.containsKey(key) ? keys.get(key).stamp() : 0;
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

    private CompletableFuture<HttpResponse> grants(HttpRequest request) {
        String route = request.route();
        if (route.equals("/grants")) {
            long life = Json.parse(request.body()).path("life_ms").asLong() * 1_000;
            permits++;
            lives.put(permits, life);
            ends.put(permits, time.nowMicros() + life);
            time.after(life + 1, this::expire);
            return answer(200, Json.object().put("permit", permits));
        }
        String[] parts = route.split("/");
        long leaseId = Long.parseLong(parts[2]);
        if (!ends.containsKey(leaseId)) {
            return answer(404, Json.object().put("error", "no such lease"));
        }
        if (request.method().equals("DELETE")) {
            ends.put(leaseId, time.nowMicros() - 1);
            expire();
        } else {
            ends.put(leaseId, time.nowMicros() + lives.get(leaseId));
            time.after(lives.get(leaseId) + 1, this::expire);
        }
        return answer(200, Json.object());
    }

    private CompletableFuture<HttpResponse> watch(HttpRequest request) {
        String prefix = request.query("prefix");
        long since = Long.parseLong(request.query("since"));
        CompletableFuture<HttpResponse> answer = new CompletableFuture<>();
        long end = time.nowMicros() + Long.parseLong(request.query("block_ms")) * 1_000;
        if (outage) {
            return answer(503, Json.object().put("error", "trouble"));
        }
        Runnable[] look = new Runnable[1];
        look[0] = () -> {
            if (answer.isDone() || outage) {
                return;
            }
            if (since < forgotten) {
                answer.complete(HttpResponse.of(410, Json.object()));
                watchers.remove(look[0]);
                return;
            }
            ObjectNode body = Json.object().put("ledger", revision);
            ArrayNode result = body.putArray("news");
            for (Change change : changes) {
                if (change.stamp() > since && change.key().startsWith(prefix)) {
                    ObjectNode node = result.addObject().put(change.value() == null ? "remove" : "set", change.key());
                    if (change.value() != null) {
                        node.set("v", change.value());
                    }
                    node.put("stamp", change.stamp());
                }
            }
            if (!result.isEmpty() || time.nowMicros() >= end) {
                watchers.remove(look[0]);
                answer.complete(HttpResponse.of(200, body));
            }
        };
        watchers.add(look[0]);
        time.after(end - time.nowMicros(), look[0]);
        look[0].run();
        return answer;
    }

    private void wake() {
        for (Runnable watcher : List.copyOf(watchers)) {
            watcher.run();
        }
        while (changes.size() > KEPT_CHANGES) {
            forgotten = changes.remove(0).stamp();
        }
    }

    private void expire() {
        if (outage) {
            return;
        }
        boolean ended = false;
        for (long leaseId : List.copyOf(ends.keySet())) {
            if (ends.get(leaseId) < time.nowMicros()) {
                ends.remove(leaseId);
                lives.remove(leaseId);
                revision++;
                for (String key : List.copyOf(keys.keySet())) {
                    if (keys.get(key).permit() == leaseId) {
                        delete(key);
                    }
                }
                ended = true;
            }
        }
        if (ended) {
            wake();
        }
    }

    private void delete(String key) {
        if (keys.remove(key) != null) {
            changes.add(new Change(key, null, revision));
        }
    }

    private static ObjectNode entry(String key, Value value) {
        ObjectNode node = Json.object().put("k", key).put("stamp", value.stamp());
        node.set("v", value.value());
        return node;
    }

    private CompletableFuture<HttpResponse> answer(int status, ObjectNode body) {
        if (misreported > 0 && body.has("ledger")) {
            body.put("ledger", misreported);
            misreported = 0;
        }
        return CompletableFuture.completedFuture(HttpResponse.of(status, body));
    }
}
