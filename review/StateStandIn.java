package review2;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** A state service after the protocol's page, with an address of its own for each controller. */
final class StateStandIn {
    private static final int KEPT_CHANGES = 10_000;
    private static final int MAX_ITEMS = 1_000;
    private static final int MAX_PAGE_BYTES = 512 * 1024;
    private static final int MAX_TXN_BYTES = 64 * 1024;

    /** Decides over one request of a controller before it is handled; may wait. Null handles it as usual. */
    interface Trouble {
        Desk.Answer before(int node, String method, String path, JsonNode body) throws InterruptedException;
    }

    /** Decides over the answer to a request that was carried out; may wait, and null loses it. */
    interface LateTrouble {
        Desk.Answer after(int node, String method, String path, JsonNode body, Desk.Answer answer)
                throws InterruptedException;
    }

    private record Entry(JsonNode value, long stamp, long permit) {}

    private record Change(long stamp, String key, JsonNode value) {}

    private static final class Lease {
        long lifeMillis;
        long endsMillis;
    }

    private static final class Bucket {
        private final double rate;
        private double tokens;
        private long filledNanos = System.nanoTime();

        Bucket(double rate) {
            this.rate = rate;
            this.tokens = rate;
        }

        boolean take(double amount) {
            long now = System.nanoTime();
            tokens = Math.min(rate, tokens + rate * (now - filledNanos) / 1e9);
            filledNanos = now;
            if (tokens < amount) {
                return false;
            }
            tokens -= amount;
            return true;
        }
    }

    private final TreeMap<String, Entry> entries = new TreeMap<>();
    private final ArrayDeque<Change> changes = new ArrayDeque<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final List<Desk> desks = new ArrayList<>();
    private final Bucket requests;
    private final Bucket writes;
    private final int valueBytes;
    private final int maxChanges;
    private long ledger = 1_000_000;
    private long pastStamp;
    private long lastPermit;
    private boolean outage;
    private final Set<Integer> refused = ConcurrentHashMap.newKeySet();
    private volatile Trouble trouble = (node, method, path, body) -> null;
    private volatile LateTrouble lateTrouble = (node, method, path, body, answer) -> answer;
    long served;
    long rejected;

    StateStandIn(int nodes, double rps, double writeRps, double valueKb, int txnOps) throws IOException {
        requests = new Bucket(rps);
        writes = new Bucket(writeRps);
        valueBytes = (int) (valueKb * 1024);
        maxChanges = txnOps;
        for (int node = 0; node < nodes; node++) {
            int number = node;
            desks.add(new Desk((method, path, query, body) -> {
                Desk.Answer early = trouble.before(number, method, path, body);
                if (early != null) {
                    return early;
                }
                return lateTrouble.after(
                        number, method, path, body, handle(number, method, path, query, body));
            }));
        }
        Thread expiry = new Thread(this::expire, "leases");
        expiry.setDaemon(true);
        expiry.start();
    }

    String address(int node) {
        return desks.get(node).address();
    }

    void trouble(Trouble newTrouble) {
        trouble = newTrouble;
    }

    void lateTrouble(LateTrouble newTrouble) {
        lateTrouble = newTrouble;
    }

    /** Starts or ends an outage: every request gets 503, watches stay open, leases have their full time afterwards. */
    synchronized void outage(boolean begins) {
        outage = begins;
        if (!begins) {
            long now = millis();
            leases.values().forEach(lease -> lease.endsMillis = now + lease.lifeMillis);
        }
        notifyAll();
    }

    /** Refuses one controller alone with 503, or serves it again. */
    void refuse(int node, boolean begins) {
        if (begins) {
            refused.add(node);
        } else {
            refused.remove(node);
        }
    }

    /** The value of a key, or null. */
    synchronized JsonNode value(String key) {
        Entry entry = entries.get(key);
        return entry == null ? null : entry.value();
    }

    synchronized List<String> keys(String prefix) {
        return new ArrayList<>(entries.tailMap(prefix, true).headMap(prefix + "\uffff").keySet());
    }

    /** Puts a key as a transaction of long ago has left it; watches that are newer don't show it. */
    synchronized void putPast(String key, JsonNode value) {
        entries.put(key, new Entry(value, ++pastStamp, 0));
    }

    private static long millis() {
        return System.nanoTime() / 1_000_000;
    }

    private void expire() {
        try {
            while (true) {
                synchronized (this) {
                    long now = millis();
                    if (!outage) {
                        for (Iterator<Map.Entry<Long, Lease>> it = leases.entrySet().iterator(); it.hasNext(); ) {
                            Map.Entry<Long, Lease> lease = it.next();
                            if (lease.getValue().endsMillis < now) {
                                it.remove();
                                removeAttached(lease.getKey());
                            }
                        }
                    }
                }
                Thread.sleep(20);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void removeAttached(long permit) {
        List<String> attached = new ArrayList<>();
        entries.forEach((key, entry) -> {
            if (entry.permit() == permit) {
                attached.add(key);
            }
        });
        if (!attached.isEmpty()) {
            ledger++;
            attached.forEach(key -> remove(key, ledger));
            notifyAll();
        }
    }

    private void put(String key, JsonNode value, long permit, long stamp) {
        entries.put(key, new Entry(value, stamp, permit));
        record(new Change(stamp, key, value));
    }

    private void remove(String key, long stamp) {
        if (entries.remove(key) != null) {
            record(new Change(stamp, key, null));
        }
    }

    private void record(Change change) {
        changes.add(change);
        while (changes.size() > KEPT_CHANGES) {
            changes.poll();
        }
    }

    private synchronized Desk.Answer handle(int node, String method, String path, String query, JsonNode body)
            throws InterruptedException {
        if (outage || refused.contains(node)) {
            return Desk.Answer.error(503, "trouble");
        }
        served++;
        if (!requests.take(1)) {
            rejected++;
            return Desk.Answer.error(429, "too many requests");
        }
        if (path.equals("/txn")) {
            return transact(body);
        }
        if (path.equals("/watch")) {
            return watch(node, query);
        }
        if (path.equals("/kv")) {
            return list(query);
        }
        if (path.startsWith("/kv/")) {
            Entry entry = entries.get(path.substring(4));
            if (entry == null) {
                return Desk.Answer.of(404, Wire.object().put("ledger", ledger));
            }
            ObjectNode found = Wire.object().put("k", path.substring(4)).put("stamp", entry.stamp());
            found.set("v", entry.value());
            return Desk.Answer.of(200, found);
        }
        if (path.equals("/grants")) {
            Lease lease = new Lease();
            lease.lifeMillis = body.path("life_ms").asLong();
            lease.endsMillis = millis() + lease.lifeMillis;
            leases.put(++lastPermit, lease);
            return Desk.Answer.of(200, Wire.object().put("permit", lastPermit));
        }
        if (path.startsWith("/grants/")) {
            String[] parts = path.split("/");
            long permit = Long.parseLong(parts[2]);
            Lease lease = leases.get(permit);
            if (lease == null) {
                return Desk.Answer.error(404, "no such lease");
            }
            if (method.equals("DELETE")) {
                leases.remove(permit);
                removeAttached(permit);
            } else {
                lease.endsMillis = millis() + lease.lifeMillis;
            }
            return Desk.Answer.of(200, Wire.object().put("permit", permit));
        }
        return Desk.Answer.error(400, "malformed");
    }

    private Desk.Answer list(String query) {
        String prefix = Desk.parameter(query, "prefix", "");
        String since = Desk.parameter(query, "since", "");
        int limit = Math.min(MAX_ITEMS, Integer.parseInt(Desk.parameter(query, "limit", "" + MAX_ITEMS)));
        ObjectNode answer = Wire.object();
        ArrayNode page = answer.putArray("entries");
        boolean truncated = false;
        int bytes = 0;
        Map<String, Entry> rest =
                since.compareTo(prefix) > 0 ? entries.tailMap(since, false) : entries.tailMap(prefix, true);
        for (Map.Entry<String, Entry> each : rest.entrySet()) {
            if (!each.getKey().startsWith(prefix)) {
                break;
            }
            int size = each.getValue().value().toString().length() + each.getKey().length() + 60;
            if (page.size() >= limit || bytes + size > MAX_PAGE_BYTES) {
                truncated = true;
                break;
            }
            bytes += size;
            ObjectNode item = page.addObject().put("k", each.getKey()).put("stamp", each.getValue().stamp());
            item.set("v", each.getValue().value());
        }
        return Desk.Answer.of(200, answer.put("truncated", truncated).put("ledger", ledger));
    }

    private Desk.Answer transact(JsonNode body) {
        JsonNode conditions = body.path("if");
        JsonNode then = body.path("then");
        if (then.size() > maxChanges || conditions.size() > 4 * maxChanges || body.toString().length() > MAX_TXN_BYTES) {
            return Desk.Answer.error(400, "too large");
        }
        for (JsonNode change : then) {
            if (change.has("set") && change.path("v").toString().length() > valueBytes) {
                return Desk.Answer.error(400, "too large");
            }
            if (change.has("permit") && !leases.containsKey(change.path("permit").asLong())) {
                return Desk.Answer.error(400, "no such lease");
            }
        }
        if (!then.isEmpty() && !writes.take(then.size())) {
            rejected++;
            return Desk.Answer.error(429, "too many changes");
        }
        ObjectNode failure = Wire.object();
        ArrayNode failed = failure.putArray("failed");
        for (JsonNode condition : conditions) {
            Entry entry = entries.get(condition.path("k").asText());
            if ((entry == null ? 0 : entry.stamp()) != condition.path("stamp").asLong()) {
                failed.add(condition.path("k").asText());
            }
        }
        if (!failed.isEmpty()) {
            return Desk.Answer.of(409, failure.put("ledger", ledger));
        }
        if (!then.isEmpty()) {
            ledger++;
            for (JsonNode change : then) {
                if (change.has("set")) {
                    put(change.path("set").asText(), change.path("v"), change.path("permit").asLong(0), ledger);
                } else {
                    remove(change.path("remove").asText(), ledger);
                }
            }
            notifyAll();
        }
        return Desk.Answer.of(200, Wire.object().put("ledger", ledger));
    }

    private Desk.Answer watch(int node, String query) throws InterruptedException {
        String prefix = Desk.parameter(query, "prefix", "");
        long since = Long.parseLong(Desk.parameter(query, "since", "0"));
        long until = millis() + Math.min(60_000, Long.parseLong(Desk.parameter(query, "block_ms", "0")));
        if (changes.size() == KEPT_CHANGES && changes.peek().stamp() > since + 1) {
            return Desk.Answer.error(410, "too old");
        }
        while (true) {
            boolean silent = outage || refused.contains(node);
            ObjectNode answer = Wire.object().put("ledger", ledger);
            ArrayNode news = answer.putArray("news");
            for (Change change : changes) {
                if (change.stamp() > since && change.key().startsWith(prefix)) {
                    ObjectNode item = news.addObject().put("stamp", change.stamp());
                    if (change.value() == null) {
                        item.put("remove", change.key());
                    } else {
                        item.put("set", change.key()).set("v", change.value());
                    }
                }
            }
            long left = until - millis();
            if (!silent && (!news.isEmpty() || left <= 0)) {
                return Desk.Answer.of(200, answer);
            }
            wait(silent ? 50 : Math.max(1, Math.min(left, 1_000)));
        }
    }
}
