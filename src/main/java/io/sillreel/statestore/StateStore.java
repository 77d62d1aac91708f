package io.sillreel.statestore;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sillreel.http.Call;
import io.sillreel.http.Caller;
import io.sillreel.http.Json;
import io.sillreel.http.Loop;
import io.sillreel.http.Reply;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Client of the state service, paced below this controller's part of the shared rates. */
public final class StateStore {
    /**
     * What became of a request. UNKNOWN: it may have been executed, or may yet be; read before deciding. TOO_LARGE: not
     * executed, nor will it ever be as it is.
     */
    public enum Outcome {
        OK,
        NOT_FOUND,
        CONFLICT,
        REFUSED,
        TOO_LARGE,
        NO_SUCH_LEASE,
        COMPACTED,
        UNKNOWN
    }

    /** A key with its value and the revision of its last change. */
    public record Entry(String key, JsonNode value, long stamp) {}

    /** The answer to a read; the entry is null unless the key exists. */
    public record Read(Outcome outcome, Entry entry) {
        /** Stamp of the key as read: 0 if it does not exist. */
        public long stamp() {
            return entry == null ? 0 : entry.stamp();
        }

        /** True if the answer says what the key is, or that it is not. */
        public boolean decided() {
            return outcome == Outcome.OK || outcome == Outcome.NOT_FOUND;
        }
    }

    /** All entries under a prefix, and the revision from which changes have to be watched. */
    public record Listing(Outcome outcome, List<Entry> entries, long ledger) {}

    /** What became of a transaction, its revision, and the keys whose conditions failed. */
    public record Commit(Outcome outcome, long ledger, List<String> failed) {}

    /** A lease of the state service. */
    public record Grant(Outcome outcome, long permit) {}

    /** A change; the value is null if the key was removed. */
    public record Change(String key, JsonNode value, long stamp) {}

    /** The changes that a watch has seen, and the revision up to which it has seen them. */
    public record WatchResult(Outcome outcome, long ledger, List<Change> changes) {}

    private static final long TIMEOUT_MICROS = 1_500_000;
    /** Whoever compares waits for less: the same can be read, and a user who polls gives up after two seconds. */
    private static final long COMPARE_TIMEOUT_MICROS = 700_000;

    private static final long WATCH_SLACK_MICROS = 2_500_000;
    /** Reading a page is one piece of work, and a renewal waits for its end. */
    private static final int PAGE = 200;

    private static final int SILENT_AFTER = 2;

    private final Caller caller;
    private final Caller leaseCaller;
    private final Loop loop;
    private final String address;
    private final Pacer requests;
    private final Pacer writes;
    private long lastAnswerMicros = Long.MIN_VALUE;
    private int unanswered;

    /**
     * @param leaseCaller asks for leases and their renewal, on connections of its own: one that had to be opened first,
     *     or waited behind users' questions, took longer than the lease in a crowd
     */
    public StateStore(Caller caller, Caller leaseCaller, Loop loop, String address, Pacer requests, Pacer writes) {
        this.caller = caller;
        this.leaseCaller = leaseCaller;
        this.loop = loop;
        this.address = address;
        this.requests = requests;
        this.writes = writes;
    }

    /** When the service last carried out a request of ours; long ago if it never has. */
    public synchronized long lastAnswerMicros() {
        return lastAnswerMicros;
    }

    /**
     * True while requests go unanswered one after the other: whoever asks is better refused at once than kept waiting.
     */
    public synchronized boolean silent() {
        return unanswered >= SILENT_AFTER;
    }

    /** What may still be written now without passing this controller's part of the shared rate. */
    public double writesAvailable() {
        return writes.available();
    }

    /** The most that may be written at once after a pause. */
    public double writeBurst() {
        return writes.burst();
    }

    /** Reads one key. */
    public CompletableFuture<Read> get(String key) {
        return send(Call.get("/kv/" + key), TIMEOUT_MICROS).thenApply(reply -> {
            Outcome outcome = outcome(reply);
            return new Read(outcome, outcome == Outcome.OK ? entry(reply.json()) : null);
        });
    }

    /** Reads everything under the prefix, page by page. Not one moment's picture: later pages may be newer. */
    public CompletableFuture<Listing> list(String prefix) {
        return page(prefix, "", new ArrayList<>(), -1);
    }

    private CompletableFuture<Listing> page(String prefix, String since, List<Entry> sofar, long firstLedger) {
        String query = "/kv?prefix=" + prefix + (since.isEmpty() ? "" : "&since=" + since) + "&limit=" + PAGE;
        return send(Call.get(query), TIMEOUT_MICROS).thenCompose(reply -> {
            Outcome outcome = outcome(reply);
            if (outcome != Outcome.OK) {
                return CompletableFuture.completedFuture(new Listing(outcome, List.of(), 0));
            }
            JsonNode body = reply.json();
            body.path("entries").forEach(entry -> sofar.add(entry(entry)));
            // The first page's ledger: a watch from there misses nothing that later pages may have left out.
            long ledger = firstLedger < 0 ? body.path("ledger").asLong() : firstLedger;
            if (body.path("truncated").asBoolean() && !sofar.isEmpty()) {
                return page(prefix, sofar.get(sofar.size() - 1).key(), sofar, ledger);
            }
            return CompletableFuture.completedFuture(new Listing(Outcome.OK, sofar, ledger));
        });
    }

    /** Sends a transaction, unless this controller's part of the shared rates is used up. */
    public CompletableFuture<Commit> commit(Txn txn) {
        if (!requests.tryTake(1) || txn.size() > 0 && !writes.tryTake(txn.size())) {
            return CompletableFuture.completedFuture(new Commit(Outcome.REFUSED, 0, List.of()));
        }
        long timeout = txn.size() > 0 ? TIMEOUT_MICROS : COMPARE_TIMEOUT_MICROS;
        return caller.call(address, Call.post("/txn", txn.json()), timeout).thenApply(reply -> {
            if (reply.status() == 429) {
                (txn.size() > 0 ? writes : requests).refused();
            }
            JsonNode body = reply.json();
            List<String> failed = new ArrayList<>();
            body.path("failed").forEach(key -> failed.add(key.asText()));
            return new Commit(outcome(reply), body.path("ledger").asLong(), failed);
        });
    }

    /** Requests a lease. */
    public CompletableFuture<Grant> grant(long lifeMicros) {
        ObjectNode body = Json.object().put("life_ms", lifeMicros / 1_000);
        return sendNow(Call.post("/grants", body))
                .thenApply(reply ->
                        new Grant(outcome(reply), reply.json().path("permit").asLong()));
    }

    public CompletableFuture<Outcome> touch(long permit) {
        return sendNow(Call.post("/grants/" + permit + "/touch", Json.object())).thenApply(this::outcome);
    }

    public CompletableFuture<Outcome> revoke(long permit) {
        return send(new Call("DELETE", "/grants/" + permit, Call.NO_BODY), TIMEOUT_MICROS)
                .thenApply(this::outcome);
    }

    /** Waits until a key under the prefix has changed after the revision, or until the time is over. */
    public CompletableFuture<WatchResult> watch(String prefix, long since, long blockMicros) {
        String path = "/watch?prefix=" + prefix + "&since=" + since + "&block_ms=" + blockMicros / 1_000;
        return send(Call.get(path), blockMicros + WATCH_SLACK_MICROS).thenApply(reply -> {
            Outcome outcome = outcome(reply);
            List<Change> changes = new ArrayList<>();
            JsonNode body = reply.json();
            for (JsonNode change : body.path("news")) {
                boolean removed = change.has("remove");
                changes.add(new Change(
                        change.path(removed ? "remove" : "set").asText(),
                        removed ? null : change.path("v"),
                        change.path("stamp").asLong()));
            }
            return new WatchResult(outcome, body.path("ledger").asLong(), changes);
        });
    }

    private CompletableFuture<Reply> send(Call call, long timeoutMicros) {
        if (!requests.tryTake(1)) {
            return CompletableFuture.completedFuture(Reply.later(429, "paced", 1));
        }
        return caller.call(address, call, timeoutMicros).thenApply(reply -> {
            if (reply.status() == 429) {
                requests.refused();
            }
            return reply;
        });
    }

    private CompletableFuture<Reply> sendNow(Call call) {
        requests.take(1);
        return leaseCaller.call(address, call, TIMEOUT_MICROS);
    }

    private Outcome outcome(Reply reply) {
        synchronized (this) {
            unanswered = reply.status() > 0 ? 0 : unanswered + 1;
        }
        if (reply.status() == 200 || reply.status() == 404 || reply.status() == 409 || reply.status() == 410) {
            synchronized (this) {
                lastAnswerMicros = loop.nowMicros();
            }
        }
        return switch (reply.status()) {
            case 200 -> Outcome.OK;
            case 404 -> Outcome.NOT_FOUND;
            case 409 -> Outcome.CONFLICT;
            case 410 -> Outcome.COMPACTED;
            case 400 ->
                reply.json().path("error").asText().equals("no such lease") ? Outcome.NO_SUCH_LEASE : Outcome.TOO_LARGE;
            case 429, 503, Reply.NOT_SENT -> Outcome.REFUSED;
            default -> Outcome.UNKNOWN;
        };
    }

    private static Entry entry(JsonNode node) {
        return new Entry(
                node.path("k").asText(), node.path("v"), node.path("stamp").asLong());
    }

    /** A transaction in the making. */
    public static final class Txn {
        private final ArrayNode conditions = Json.array();
        private final ArrayNode changes = Json.array();

        public Txn require(String key, long stamp) {
            conditions.add(Json.object().put("k", key).put("stamp", stamp));
            return this;
        }

        public Txn set(String key, JsonNode value) {
            changes.add(Json.object().put("set", key).set("v", value));
            return this;
        }

        /** Sets a key that is removed together with the lease. */
        public Txn set(String key, JsonNode value, long permit) {
            ObjectNode change = Json.object().put("set", key);
            change.set("v", value);
            changes.add(change.put("permit", permit));
            return this;
        }

        public Txn remove(String key) {
            changes.add(Json.object().put("remove", key));
            return this;
        }

        public int size() {
            return changes.size();
        }

        JsonNode json() {
            ObjectNode body = Json.object();
            body.set("if", conditions);
            if (!changes.isEmpty()) {
                body.set("then", changes);
            }
            return body;
        }
    }
}
