package io.sillreel.statestore;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sillreel.http.EventLoop;
import io.sillreel.http.HttpClient;
import io.sillreel.http.HttpRequest;
import io.sillreel.http.HttpResponse;
import io.sillreel.http.Json;
import io.sillreel.overload.RateLimiter;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Client of the state service, paced below this controller's part of the shared rates. */
public final class StateStore {
    /**
     * What became of a request. UNKNOWN: it may have been executed, or may yet be; read before deciding. TOO_LARGE: not
     * executed, nor will it ever be as it is.
     */
    public enum StoreOutcome {
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
    public record StoredEntry(String key, JsonNode value, long revision) {}

    /** The answer to a read; the entry is null unless the key exists. */
    public record ReadResult(StoreOutcome outcome, StoredEntry entry) {
        /** Stamp of the key as read: 0 if it does not exist. */
        public long revision() {
            return entry == null ? 0 : entry.revision();
        }

        /** True if the answer says what the key is, or that it is not. */
        public boolean isConclusive() {
            return outcome == StoreOutcome.OK || outcome == StoreOutcome.NOT_FOUND;
        }
    }

    /** All entries under a prefix, and the revision from which changes have to be watched. */
    public record ListResult(StoreOutcome outcome, List<StoredEntry> entries, long storeRevision) {}

    /** How reading all entries under a prefix ended, and the revision from which changes have to be watched. */
    public record ScanResult(StoreOutcome outcome, long storeRevision) {}

    /** Takes the entries of a scan, in the order of their keys. */
    @FunctionalInterface
    public interface PageConsumer {
        /** Completes with true once the next page is wanted, with false if the scan is to end here. */
        CompletableFuture<Boolean> accept(List<StoredEntry> page);
    }

    /** What became of a transaction, its revision, and the keys whose conditions failed. */
    public record CommitResult(StoreOutcome outcome, long storeRevision, List<String> failedKeys) {}

    /** A lease of the state service. */
    public record LeaseGrant(StoreOutcome outcome, long leaseId) {}

    /** A change; the value is null if the key was removed. */
    public record WatchEvent(String key, JsonNode value, long revision) {}

    /** The changes that a watch has seen, and the revision up to which it has seen them. */
    public record WatchResult(StoreOutcome outcome, long storeRevision, List<WatchEvent> events) {}

    private static final Logger LOG = LoggerFactory.getLogger(StateStore.class);
    private static final long TIMEOUT_MICROS = 1_500_000;
    /** Whoever compares waits for less: the same can be read, and a user who polls gives up after two seconds. */
    private static final long COMPARE_TIMEOUT_MICROS = 700_000;

    private static final long WATCH_SLACK_MICROS = 2_500_000;
    /** Reading a page is one piece of work, and a renewal waits for its end. */
    private static final int PAGE = 200;

    /** A page that the rate does not allow yet is tried again so much later. */
    private static final long PAGE_PAUSE_MICROS = 20_000;

    private static final long PAGE_RETRY_MICROS = 300_000;
    private static final int MAX_PAGE_FAILURES = 3;
    private static final long NO_REVISION = -1;

    private static final int SILENT_AFTER = 2;
    private static final int TOO_MANY_REQUESTS = 429;

    private final HttpClient httpClient;
    private final HttpClient leaseHttpClient;
    private final EventLoop eventLoop;
    private final String address;
    private final RateLimiter requestLimiter;
    private final RateLimiter writeLimiter;
    private long lastAnswerMicros = Long.MIN_VALUE;
    private int consecutiveFailures;

    /**
     * @param leaseCaller asks for leases and their renewal, on connections of its own: one that had to be opened first,
     *     or waited behind users' questions, took longer than the lease in a crowd
     */
    public StateStore(
            HttpClient httpClient,
            HttpClient leaseHttpClient,
            EventLoop eventLoop,
            String address,
            RateLimiter requests,
            RateLimiter writes) {
        this.httpClient = httpClient;
        this.leaseHttpClient = leaseHttpClient;
        this.eventLoop = eventLoop;
        this.address = address;
        this.requestLimiter = requests;
        this.writeLimiter = writes;
    }

    /** When the service last carried out a request of ours; long ago if it never has. */
    public synchronized long lastAnswerMicros() {
        return lastAnswerMicros;
    }

    /**
     * True while requests go unanswered one after the other: whoever asks is better refused at once than kept waiting.
     */
    public synchronized boolean isUnresponsive() {
        return consecutiveFailures >= SILENT_AFTER;
    }

    /** What may still be written now without passing this controller's part of the shared rate. */
    public double availableWrites() {
        return writeLimiter.availableTokens();
    }

    /** The most that may be written at once after a pause. */
    public double maxWriteBurst() {
        return writeLimiter.burst();
    }

    /** Reads one key. */
    public CompletableFuture<ReadResult> get(String key) {
        return send(HttpRequest.get("/kv/" + key), TIMEOUT_MICROS).thenApply(response -> {
            StoreOutcome outcome = outcome(response);
            return new ReadResult(outcome, outcome == StoreOutcome.OK ? entry(response.json()) : null);
        });
    }

    /**
     * Reads the few entries under a prefix. What is refused or lost is told at once: whoever looks who leads has to
     * know that this can't be known, and looks again by itself.
     */
    public CompletableFuture<ListResult> list(String prefix) {
        List<StoredEntry> entries = new ArrayList<>();
        PageConsumer collect = page -> {
            entries.addAll(page);
            return CompletableFuture.completedFuture(true);
        };
        return scan(prefix, collect, false)
                .thenApply(scan -> new ListResult(
                        scan.outcome(), scan.outcome() == StoreOutcome.OK ? entries : List.of(), scan.storeRevision()));
    }

    /**
     * Reads everything under the prefix, which is not one moment's picture: later pages may be newer. Hands it over
     * page by page, so that nobody has to hold all of it. However many pages there are, they keep to this controller's
     * part of the rate, and one that is refused or lost is asked for again by itself: a list that began anew each time
     * would never end once it is longer than the rate allows at once.
     */
    public CompletableFuture<ScanResult> scan(String prefix, PageConsumer consumer) {
        return scan(prefix, consumer, true);
    }

    private CompletableFuture<ScanResult> scan(String prefix, PageConsumer consumer, boolean patient) {
        CompletableFuture<ScanResult> result = new CompletableFuture<>();
        page(new PageRequest(prefix, "", NO_REVISION, 0, patient, consumer, result));
        return result;
    }

    /** One page of a scan: what it follows, how often it has been asked for in vain, and whether it may be again. */
    private record PageRequest(
            String prefix,
            String since,
            long firstLedger,
            int failures,
            boolean patient,
            PageConsumer consumer,
            CompletableFuture<ScanResult> result) {
        HttpRequest call() {
            String after = since.isEmpty() ? "" : "&since=" + since;
            return HttpRequest.get("/kv?prefix=" + prefix + after + "&limit=" + PAGE);
        }

        PageRequest again() {
            return new PageRequest(prefix, since, firstLedger, failures + 1, patient, consumer, result);
        }

        PageRequest after(String lastKey, long storeRevision) {
            return new PageRequest(prefix, lastKey, storeRevision, 0, patient, consumer, result);
        }
    }

    private void page(PageRequest pageRequest) {
        if (!requestLimiter.tryAcquire(1)) {
            if (pageRequest.patient()) {
                eventLoop.schedule(PAGE_PAUSE_MICROS, () -> page(pageRequest));
            } else {
                pageRequest.result().complete(new ScanResult(StoreOutcome.REFUSED, 0));
            }
            return;
        }
        httpClient.send(address, pageRequest.call(), TIMEOUT_MICROS).thenAccept(response -> {
            noteRefusal(response);
            StoreOutcome outcome = outcome(response);
            if (outcome == StoreOutcome.OK) {
                pageRead(pageRequest, response.json());
            } else if (pageRequest.patient() && pageRequest.failures() < MAX_PAGE_FAILURES) {
                eventLoop.schedule(PAGE_RETRY_MICROS, () -> page(pageRequest.again()));
            } else {
                pageRequest.result().complete(new ScanResult(outcome, 0));
            }
        });
    }

    private void pageRead(PageRequest pageRequest, JsonNode body) {
        List<StoredEntry> entries = new ArrayList<>();
        body.path("entries").forEach(entry -> entries.add(entry(entry)));
        // The first page's ledger: a watch from there misses nothing that later pages may have left out.
        long storeRevision =
                pageRequest.firstLedger() == NO_REVISION ? body.path("ledger").asLong() : pageRequest.firstLedger();
        boolean more = body.path("truncated").asBoolean() && !entries.isEmpty();
        hand(pageRequest, entries).thenAccept(wanted -> {
            if (!wanted) {
                pageRequest.result().complete(new ScanResult(StoreOutcome.REFUSED, 0));
            } else if (more) {
                page(pageRequest.after(entries.get(entries.size() - 1).key(), storeRevision));
            } else {
                pageRequest.result().complete(new ScanResult(StoreOutcome.OK, storeRevision));
            }
        });
    }

    /** An entry that can't be understood ends the scan, so that whoever waits for it is told. */
    private static CompletableFuture<Boolean> hand(PageRequest pageRequest, List<StoredEntry> entries) {
        try {
            return pageRequest.consumer().accept(entries);
        } catch (RuntimeException e) {
            LOG.error("a page of the keys under {} could not be taken in", pageRequest.prefix(), e);
            return CompletableFuture.completedFuture(false);
        }
    }

    /** Sends a transaction, unless this controller's part of the shared rates is used up. */
    public CompletableFuture<CommitResult> commit(Transaction transaction) {
        if (!requestLimiter.tryAcquire(1) || transaction.size() > 0 && !writeLimiter.tryAcquire(transaction.size())) {
            return CompletableFuture.completedFuture(new CommitResult(StoreOutcome.REFUSED, 0, List.of()));
        }
        long timeout = transaction.size() > 0 ? TIMEOUT_MICROS : COMPARE_TIMEOUT_MICROS;
        return httpClient
                .send(address, HttpRequest.post("/txn", transaction.toJson()), timeout)
                .thenApply(response -> {
                    if (response.status() == TOO_MANY_REQUESTS) {
                        (transaction.size() > 0 ? writeLimiter : requestLimiter).onRejected();
                    }
                    JsonNode body = response.json();
                    List<String> failed = new ArrayList<>();
                    body.path("failed").forEach(key -> failed.add(key.asText()));
                    return new CommitResult(
                            outcome(response), body.path("ledger").asLong(), failed);
                });
    }

    /** Requests a lease. */
    public CompletableFuture<LeaseGrant> grantLease(long lifeMicros) {
        ObjectNode body = Json.object().put("life_ms", lifeMicros / 1_000);
        return sendNow(HttpRequest.post("/grants", body))
                .thenApply(response -> new LeaseGrant(
                        outcome(response), response.json().path("permit").asLong()));
    }

    public CompletableFuture<StoreOutcome> renewLease(long leaseId) {
        return sendNow(HttpRequest.post("/grants/" + leaseId + "/touch", Json.object()))
                .thenApply(this::outcome);
    }

    public CompletableFuture<StoreOutcome> revokeLease(long leaseId) {
        return send(new HttpRequest("DELETE", "/grants/" + leaseId, HttpRequest.NO_BODY), TIMEOUT_MICROS)
                .thenApply(this::outcome);
    }

    /** Waits until a key under the prefix has changed after the revision, or until the time is over. */
    public CompletableFuture<WatchResult> watch(String prefix, long since, long blockMicros) {
        String path = "/watch?prefix=" + prefix + "&since=" + since + "&block_ms=" + blockMicros / 1_000;
        return send(HttpRequest.get(path), blockMicros + WATCH_SLACK_MICROS).thenApply(response -> {
            // What is too much to be taken in at once can still be read in pages.
            StoreOutcome outcome =
                    response.status() == HttpResponse.RESPONSE_TOO_LARGE ? StoreOutcome.COMPACTED : outcome(response);
            List<WatchEvent> changes = new ArrayList<>();
            JsonNode body = response.json();
            for (JsonNode change : body.path("news")) {
                boolean removed = change.has("remove");
                changes.add(new WatchEvent(
                        change.path(removed ? "remove" : "set").asText(),
                        removed ? null : change.path("v"),
                        change.path("stamp").asLong()));
            }
            return new WatchResult(outcome, body.path("ledger").asLong(), changes);
        });
    }

    private CompletableFuture<HttpResponse> send(HttpRequest request, long timeoutMicros) {
        if (!requestLimiter.tryAcquire(1)) {
            return CompletableFuture.completedFuture(HttpResponse.retryLater(TOO_MANY_REQUESTS, "paced", 1));
        }
        return httpClient.send(address, request, timeoutMicros).thenApply(response -> {
            noteRefusal(response);
            return response;
        });
    }

    private void noteRefusal(HttpResponse response) {
        if (response.status() == TOO_MANY_REQUESTS) {
            requestLimiter.onRejected();
        }
    }

    private CompletableFuture<HttpResponse> sendNow(HttpRequest request) {
        requestLimiter.acquireUnconditionally(1);
        return leaseHttpClient.send(address, request, TIMEOUT_MICROS);
    }

    private StoreOutcome outcome(HttpResponse response) {
        synchronized (this) {
            consecutiveFailures = response.status() > 0 ? 0 : consecutiveFailures + 1;
        }
        if (response.status() == 200
                || response.status() == 404
                || response.status() == 409
                || response.status() == 410) {
            synchronized (this) {
                lastAnswerMicros = eventLoop.nowMicros();
            }
        }
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

    private static StoredEntry entry(JsonNode node) {
        return new StoredEntry(
                node.path("k").asText(), node.path("v"), node.path("stamp").asLong());
    }

    /** A transaction in the making. */
    public static final class Transaction {
        private final ArrayNode conditions = Json.array();
        private final ArrayNode changes = Json.array();

        public Transaction requireRevision(String key, long revision) {
            conditions.add(Json.object().put("k", key).put("stamp", revision));
            return this;
        }

        public Transaction set(String key, JsonNode value) {
            changes.add(Json.object().put("set", key).set("v", value));
            return this;
        }

        /** Sets a key that is removed together with the lease. */
        public Transaction set(String key, JsonNode value, long leaseId) {
            ObjectNode change = Json.object().put("set", key);
            change.set("v", value);
            changes.add(change.put("permit", leaseId));
            return this;
        }

        public Transaction remove(String key) {
            changes.add(Json.object().put("remove", key));
            return this;
        }

        public int size() {
            return changes.size();
        }

        JsonNode toJson() {
            ObjectNode body = Json.object();
            body.set("if", conditions);
            if (!changes.isEmpty()) {
                body.set("then", changes);
            }
            return body;
        }
    }
}
