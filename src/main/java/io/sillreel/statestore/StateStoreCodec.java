package io.sillreel.statestore;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sillreel.http.HttpRequest;
import io.sillreel.http.HttpResponse;
import io.sillreel.http.Json;
import java.util.ArrayList;
import java.util.List;

/** The wire format of the state service: paths, field names and status codes. */
final class StateStoreCodec {
    static final int TOO_MANY_REQUESTS = 429;

    private StateStoreCodec() {}

    static HttpRequest readRequest(String key) {
        return HttpRequest.get("/kv/" + key);
    }

    /** @param afterKey the last key of the previous page, empty for the first page */
    static HttpRequest pageRequest(String prefix, String afterKey, int limit) {
        String after = afterKey.isEmpty() ? "" : "&since=" + afterKey;
        return HttpRequest.get("/kv?prefix=" + prefix + after + "&limit=" + limit);
    }

    static HttpRequest commitRequest(Transaction transaction) {
        return HttpRequest.post("/txn", transaction.toJson());
    }

    static HttpRequest grantRequest(long lifeMicros) {
        return HttpRequest.post("/grants", Json.object().put("life_ms", lifeMicros / 1_000));
    }

    static HttpRequest renewRequest(long leaseId) {
        return HttpRequest.post("/grants/" + leaseId + "/touch", Json.object());
    }

    static HttpRequest revokeRequest(long leaseId) {
        return new HttpRequest("DELETE", "/grants/" + leaseId, HttpRequest.NO_BODY);
    }

    static HttpRequest watchRequest(String prefix, long sinceRevision, long blockMicros) {
        return HttpRequest.get(
                "/watch?prefix=" + prefix + "&since=" + sinceRevision + "&block_ms=" + blockMicros / 1_000);
    }

    static ObjectNode condition(String key, long revision) {
        return Json.object().put("k", key).put("stamp", revision);
    }

    static ObjectNode put(String key, JsonNode value) {
        ObjectNode change = Json.object().put("set", key);
        change.set("v", value);
        return change;
    }

    static ObjectNode put(String key, JsonNode value, long leaseId) {
        return put(key, value).put("permit", leaseId);
    }

    static ObjectNode remove(String key) {
        return Json.object().put("remove", key);
    }

    static ObjectNode transaction(ArrayNode conditions, ArrayNode changes) {
        ObjectNode body = Json.object();
        body.set("if", conditions);
        if (!changes.isEmpty()) {
            body.set("then", changes);
        }
        return body;
    }

    static StoreOutcome outcome(HttpResponse response) {
        return switch (response.status()) {
            case 200 -> StoreOutcome.OK;
            case 404 -> StoreOutcome.NOT_FOUND;
            case 409 -> StoreOutcome.CONFLICT;
            case 410 -> StoreOutcome.COMPACTED;
            case 400 ->
                response.json().path("error").asText().equals("no such lease")
                        ? StoreOutcome.NO_SUCH_LEASE
                        : StoreOutcome.TOO_LARGE;
            case TOO_MANY_REQUESTS, 503, HttpResponse.NOT_SENT -> StoreOutcome.REFUSED;
            default -> StoreOutcome.UNKNOWN;
        };
    }

    /** True if the status shows that the service itself executed or decided the request. */
    static boolean isConclusive(HttpResponse response) {
        return switch (response.status()) {
            case 200, 404, 409, 410 -> true;
            default -> false;
        };
    }

    static StoredEntry entry(JsonNode node) {
        return new StoredEntry(
                node.path("k").asText(), node.path("v"), node.path("stamp").asLong());
    }

    static List<StoredEntry> entries(JsonNode body) {
        List<StoredEntry> entries = new ArrayList<>();
        for (JsonNode entry : body.path("entries")) {
            entries.add(entry(entry));
        }
        return entries;
    }

    /** True if further entries under the prefix follow the page. */
    static boolean isTruncated(JsonNode body) {
        return body.path("truncated").asBoolean();
    }

    /** The revision of the store when it responded. */
    static long storeRevision(JsonNode body) {
        return body.path("ledger").asLong();
    }

    static CommitResult commitResult(StoreOutcome outcome, JsonNode body) {
        List<String> failedKeys = new ArrayList<>();
        for (JsonNode key : body.path("failed")) {
            failedKeys.add(key.asText());
        }
        return new CommitResult(outcome, storeRevision(body), failedKeys);
    }

    static LeaseGrant leaseGrant(StoreOutcome outcome, JsonNode body) {
        return new LeaseGrant(outcome, body.path("permit").asLong());
    }

    static WatchResult watchResult(StoreOutcome outcome, JsonNode body) {
        List<WatchEvent> events = new ArrayList<>();
        for (JsonNode change : body.path("news")) {
            events.add(watchEvent(change));
        }
        return new WatchResult(outcome, storeRevision(body), events);
    }

    private static WatchEvent watchEvent(JsonNode change) {
        boolean removed = change.has("remove");
        return new WatchEvent(
                change.path(removed ? "remove" : "set").asText(),
                removed ? null : change.path("v"),
                change.path("stamp").asLong());
    }
}
