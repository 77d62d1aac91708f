package io.sillreel.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sillreel.http.HttpRequest;
import io.sillreel.http.HttpResponse;
import io.sillreel.http.Json;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

/**
 * Stub services for the training run: a state service that commits every transaction and a cloud with one machine. They
 * exist to load the classes that a leader needs, and check nothing.
 */
final class TrainingServices {
    private record PendingWatch(String prefix, long since, CompletableFuture<HttpResponse> response) {}

    private final TreeMap<String, ObjectNode> keys = new TreeMap<>();
    private final List<ObjectNode> changes = new ArrayList<>();
    private final List<PendingWatch> pendingWatches = new ArrayList<>();
    private long storeRevision = 1;

    synchronized CompletableFuture<HttpResponse> handle(HttpRequest request) {
        String route = request.route();
        if (route.equals("/watch")) {
            PendingWatch watch = new PendingWatch(
                    request.queryParameter("prefix"),
                    Long.parseLong(request.queryParameter("since")),
                    new CompletableFuture<>());
            pendingWatches.add(watch);
            notifyWatchers();
            return watch.response();
        }
        return CompletableFuture.completedFuture(
                switch (route) {
                    case "/txn" -> commit(Json.parse(request.body()));
                    case "/kv" -> list(request.queryParameter("prefix"));
                    case "/grants" -> HttpResponse.of(200, Json.object().put("permit", 1));
                    case "/flavors" -> HttpResponse.of(200, machineTypes());
                    case "/machines" -> HttpResponse.of(200, machines());
                    default -> route.startsWith("/kv/") ? get(route.substring(4)) : HttpResponse.of(200, Json.object());
                });
    }

    private HttpResponse commit(JsonNode body) {
        storeRevision++;
        for (JsonNode change : body.path("then")) {
            if (change.has("set")) {
                String key = change.path("set").asText();
                keys.put(
                        key,
                        Json.object().put("k", key).put("stamp", storeRevision).set("v", change.path("v")));
                changes.add(Json.object()
                        .put("set", key)
                        .put("stamp", storeRevision)
                        .set("v", change.path("v")));
            }
        }
        notifyWatchers();
        return HttpResponse.of(200, Json.object().put("ledger", storeRevision));
    }

    private void notifyWatchers() {
        pendingWatches.removeIf(watch -> {
            ArrayNode events = Json.array();
            for (ObjectNode change : changes) {
                if (change.path("stamp").asLong() > watch.since()
                        && change.path("set").asText().startsWith(watch.prefix())) {
                    events.add(change);
                }
            }
            ObjectNode body = Json.object().put("ledger", storeRevision);
            body.set("news", events);
            return !events.isEmpty() && watch.response().complete(HttpResponse.of(200, body));
        });
    }

    private HttpResponse list(String prefix) {
        ObjectNode body = Json.object().put("truncated", false).put("ledger", storeRevision);
        ArrayNode entries = body.putArray("entries");
        keys.subMap(prefix, prefix + Character.MAX_VALUE).values().forEach(entries::add);
        return HttpResponse.of(200, body);
    }

    private HttpResponse get(String key) {
        ObjectNode entry = keys.get(key);
        return entry == null
                ? HttpResponse.of(404, Json.object().put("ledger", storeRevision))
                : HttpResponse.of(200, entry);
    }

    private static ObjectNode machineTypes() {
        ObjectNode body = Json.object();
        ObjectNode type = body.putArray("builds")
                .addObject()
                .put("sku", "c4")
                .put("vcpus", 4)
                .put("cards", 0)
                .put("ram_gb", 16)
                .put("cache_gb", 50)
                .put("pull_gb_per_s", 1.0)
                .put("price", 1.0)
                .put("spot_price", 0.5)
                .put("boot_s", 4);
        type.putArray("yards").add("a");
        return body;
    }

    private static ObjectNode machines() {
        ObjectNode body = Json.object().put("truncated", false);
        body.putArray("hoppers").add("host-000000");
        return body;
    }
}
