package io.sillreel.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sillreel.http.HttpClient;
import io.sillreel.http.HttpRequest;
import io.sillreel.http.HttpResponse;
import io.sillreel.http.Json;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.regex.Pattern;

/**
 * Emulates version 5806758 in the communication of a controller with the state service, other controllers, users and
 * workers. Fields and keys that the version does not know are hidden from the controller. A violation is reported if
 * the controller stores anything that the version would not store, or reads a key on which the version fails.
 * {@code VersionsTest} holds samples that the version itself wrote, and checks that this class does not change them.
 */
public final class PreviousVersion {
    /** All keys that version 5806758 was observed to store. */
    private static final Pattern KNOWN_KEYS = Pattern.compile(
            "plan/job-\\d+|run/job-\\d+(/\\d+)?|withdraw/job-\\d+|hire/[a-z0-9.-]+|term|leader|flavors");
    /** The version parses the text after a second slash as a number; its failover aborts if that is not one. */
    private static final Pattern READABLE_RECORD_KEY = Pattern.compile("run/job-\\d+(/\\d+)?");

    private static final Set<String> NEWER_PLAN_FIELDS = Set.of("awaits");
    private static final Set<String> NEWER_RECORD_FIELDS = Set.of("ready_us", "per", "gens");
    private static final String BITMAP_PREFIX_QUERY = "prefix=bits/";

    private final HttpClient network;
    private final Consumer<String> violations;

    /** @param violations accepts what version 5806758 would not have stored or could not have read */
    public PreviousVersion(HttpClient network, Consumer<String> violations) {
        this.network = network;
        this.violations = violations;
    }

    /** Sends a request as the version would, and returns the response as the version would see it. */
    public CompletableFuture<HttpResponse> send(String address, HttpRequest request, long timeoutMicros) {
        if (request.path().contains(BITMAP_PREFIX_QUERY)) {
            // The version never lists these keys.
            ObjectNode emptyPage = Json.object().put("truncated", false).put("ledger", 0);
            emptyPage.putArray("entries");
            return CompletableFuture.completedFuture(HttpResponse.of(200, emptyPage));
        }
        if (request.route().equals("/txn")) {
            Json.parse(request.body()).path("then").forEach(this::checkWritten);
        }
        boolean reads = request.route().equals("/watch") || request.route().startsWith("/kv");
        return network.send(address, request, timeoutMicros)
                .thenApply(response -> reads && response.isOk() ? withoutNewerFieldsInResponse(response) : response);
    }

    /** Returns a user's request without the fields that the version ignores. */
    public static HttpRequest withoutNewerFields(HttpRequest request) {
        if (!request.route().equals("/v2/runs") || !(Json.parse(request.body()) instanceof ObjectNode submission)) {
            return request;
        }
        return new HttpRequest(request.method(), request.path(), Json.bytes(submission.without(NEWER_PLAN_FIELDS)));
    }

    /** Returns a stored value without the fields that the version ignores. */
    public static JsonNode withoutNewerFields(String key, JsonNode value) {
        if (key.startsWith("plan/")) {
            ObjectNode plan = value.deepCopy();
            ((ObjectNode) plan.path("job")).remove(NEWER_PLAN_FIELDS);
            return plan;
        }
        if (key.startsWith("run/")) {
            return ((ObjectNode) value.deepCopy()).remove(NEWER_RECORD_FIELDS);
        }
        return value;
    }

    private void checkWritten(JsonNode change) {
        if (!change.has("set")) {
            return;
        }
        String key = change.path("set").asText();
        if (!KNOWN_KEYS.matcher(key).matches()
                || !withoutNewerFields(key, change.path("v")).equals(change.path("v"))) {
            violations.accept("written by the previous version: " + change);
        }
    }

    private HttpResponse withoutNewerFieldsInResponse(HttpResponse response) {
        ObjectNode body = (ObjectNode) response.json();
        if (body.has("k")) {
            removeNewerFields(body, body.path("k").asText());
        }
        for (String list : List.of("entries", "news")) {
            for (JsonNode entry : body.path(list)) {
                removeNewerFields(
                        (ObjectNode) entry,
                        entry.path(entry.has("k") ? "k" : "set").asText());
            }
        }
        return HttpResponse.of(response.status(), body);
    }

    private void removeNewerFields(ObjectNode entry, String key) {
        if (!entry.has("v")) {
            return;
        }
        if (key.startsWith("run/") && !READABLE_RECORD_KEY.matcher(key).matches()) {
            violations.accept("read by the previous version: " + key);
        }
        entry.set("v", withoutNewerFields(key, entry.path("v")));
    }
}
