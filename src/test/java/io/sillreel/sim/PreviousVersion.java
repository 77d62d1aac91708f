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
 * Makes a controller behave as version 5806758 does towards everything that it shares with others: the state service,
 * the other controllers, users and workers. Whatever that version does not know is hidden from the controller, and the
 * controller is reported if it says or stores anything that version 5806758 would not, or would be shown a key on which
 * that version fails. {@code VersionsTest} holds samples of what the version itself wrote and said, and checks that
 * this class leaves them as they are.
 */
public final class PreviousVersion {
    /** Everything that version 5806758 was seen to store. */
    private static final Pattern KNOWN_KEYS = Pattern.compile(
            "plan/job-\\d+|run/job-\\d+(/\\d+)?|withdraw/job-\\d+|hire/[a-z0-9.-]+|term|leader|flavors");
    /** The version takes whatever follows a second slash for a number, and fails in a takeover if it is none. */
    private static final Pattern READABLE_RECORD = Pattern.compile("run/job-\\d+(/\\d+)?");

    private static final Set<String> PLAN_FIELDS_SINCE = Set.of("awaits");
    private static final Set<String> RECORD_FIELDS_SINCE = Set.of("ready_us", "per", "gens");
    private static final String PARTS_PREFIX = "prefix=bits/";

    private final HttpClient network;
    private final Consumer<String> violation;

    /** @param violation told what version 5806758 would not have done, or could not have read */
    public PreviousVersion(HttpClient network, Consumer<String> violation) {
        this.network = network;
        this.violation = violation;
    }

    /** The network as the version uses it. */
    public CompletableFuture<HttpResponse> send(String address, HttpRequest request, long timeoutMicros) {
        if (request.path().contains(PARTS_PREFIX)) {
            // The version never lists these keys.
            ObjectNode nothing = Json.object().put("truncated", false).put("ledger", 0);
            nothing.putArray("entries");
            return CompletableFuture.completedFuture(HttpResponse.of(200, nothing));
        }
        if (request.route().equals("/txn")) {
            Json.parse(request.body()).path("then").forEach(this::checkWritten);
        }
        boolean reads = request.route().equals("/watch") || request.route().startsWith("/kv");
        return network.send(address, request, timeoutMicros)
                .thenApply(response -> reads && response.isOk() ? asRead(response) : response);
    }

    /** A user's request as the version understands it. */
    public static HttpRequest withoutNewerFields(HttpRequest request) {
        if (!request.route().equals("/v2/runs") || !(Json.parse(request.body()) instanceof ObjectNode submission)) {
            return request;
        }
        return new HttpRequest(request.method(), request.path(), Json.bytes(submission.without(PLAN_FIELDS_SINCE)));
    }

    /** A stored value as the version understands it. */
    public static JsonNode withoutNewerFields(String key, JsonNode value) {
        if (key.startsWith("plan/")) {
            ObjectNode plan = value.deepCopy();
            ((ObjectNode) plan.path("job")).remove(PLAN_FIELDS_SINCE);
            return plan;
        }
        if (key.startsWith("run/")) {
            return ((ObjectNode) value.deepCopy()).remove(RECORD_FIELDS_SINCE);
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
            violation.accept("written by the previous version: " + change);
        }
    }

    private HttpResponse asRead(HttpResponse response) {
        ObjectNode body = (ObjectNode) response.json();
        if (body.has("k")) {
            understand(body, body.path("k").asText());
        }
        for (String list : List.of("entries", "news")) {
            for (JsonNode entry : body.path(list)) {
                understand(
                        (ObjectNode) entry,
                        entry.path(entry.has("k") ? "k" : "set").asText());
            }
        }
        return HttpResponse.of(response.status(), body);
    }

    private void understand(ObjectNode entry, String key) {
        if (!entry.has("v")) {
            return;
        }
        if (key.startsWith("run/") && !READABLE_RECORD.matcher(key).matches()) {
            violation.accept("read by the previous version: " + key);
        }
        entry.set("v", withoutNewerFields(key, entry.path("v")));
    }
}
