import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A stand-in for the state service, after "Controller nodes -> state service" of the protocol page. */
final class StateService {
    record Entry(JsonNode value, long stamp, long permit) {}

    private record Change(String key, JsonNode value, long stamp) {}

    private record Grant(long lifeMs, long endNanos) {}

    /** Called before a request is carried out, without the lock; may delay it. False: no answer is ever sent. */
    interface Trouble {
        boolean before(String method, String path, Map<String, String> query) throws InterruptedException;

        /** Called after a request was carried out; false: the answer is lost. */
        default boolean answer(String method, String path, Map<String, String> query, Web.Answer answer)
                throws InterruptedException {
            return true;
        }
    }

    /** Earlier changes, which no watch of the run can ask for, have lower revisions. */
    private static final long FIRST_REVISION = 1_000_000;
    private static final int KEPT_CHANGES = 10_000;
    private static final int MAX_PAGE_BYTES = 512 * 1024;
    private final TreeMap<String, Entry> entries = new TreeMap<>();
    private final Deque<Change> changes = new ArrayDeque<>();
    private final Map<Long, Grant> grants = new HashMap<>();
    private final Bucket requests;
    private final Bucket writes;
    private final int maxOps;
    private final int maxValueBytes;
    private long ledger = FIRST_REVISION;
    private long lastLoaded;
    private long lastPermit;
    volatile Trouble trouble = (method, path, query) -> true;

    StateService(double rps, double writeRps, int maxOps, int maxValueBytes) {
        this.requests = new Bucket(rps, rps);
        this.writes = new Bucket(writeRps, writeRps);
        this.maxOps = maxOps;
        this.maxValueBytes = maxValueBytes;
    }

    void listen(int port) throws Exception {
        Web.serve(port, this::handle);
        Web.THREADS.execute(this::endGrants);
    }

    /** A token bucket. */
    static final class Bucket {
        private final double rate;
        private final double burst;
        private double tokens;
        private long filledNanos = System.nanoTime();

        Bucket(double rate, double burst) {
            this.rate = rate;
            this.burst = burst;
            this.tokens = burst;
        }

        synchronized boolean take(double amount) {
            long now = System.nanoTime();
            tokens = Math.min(burst, tokens + rate * (now - filledNanos) / 1e9);
            filledNanos = now;
            if (tokens < amount) {
                return false;
            }
            tokens -= amount;
            return true;
        }
    }

    /** Puts an entry that was there before the run; the entries are put in the order of their changes. */
    synchronized void load(String key, JsonNode value) {
        entries.put(key, new Entry(value, ++lastLoaded, 0));
    }

    synchronized Entry get(String key) {
        return entries.get(key);
    }

    synchronized int count(String prefix) {
        return entries.subMap(prefix, prefix + '\uffff').size();
    }

    private Web.Answer handle(String method, String path, Map<String, String> query, JsonNode body) throws Exception {
        if (!trouble.before(method, path, query)) {
            Thread.sleep(600_000);
        }
        Web.Answer answer = requests.take(1) ? carryOut(method, path, query, body) : Web.error(429, "too many requests");
        if (!trouble.answer(method, path, query, answer)) {
            Thread.sleep(600_000);
        }
        return answer;
    }

    private Web.Answer carryOut(String method, String path, Map<String, String> query, JsonNode body)
            throws InterruptedException {
        if (path.equals("/txn") && method.equals("POST")) {
            return transact(body);
        }
        if (path.equals("/kv") && method.equals("GET")) {
            return page(query);
        }
        if (path.startsWith("/kv/") && method.equals("GET")) {
            return read(path.substring(4));
        }
        if (path.equals("/watch") && method.equals("GET")) {
            return watch(query);
        }
        if (path.equals("/grants") && method.equals("POST")) {
            return grant(body.path("life_ms").asLong());
        }
        if (path.startsWith("/grants/") && path.endsWith("/touch") && method.equals("POST")) {
            return touch(Long.parseLong(path.substring(8, path.length() - 6)));
        }
        if (path.startsWith("/grants/") && method.equals("DELETE")) {
            return endGrant(Long.parseLong(path.substring(8)));
        }
        return Web.error(400, "malformed");
    }

    private synchronized Web.Answer read(String key) {
        Entry entry = entries.get(key);
        return entry == null
                ? new Web.Answer(404, Web.object().put("ledger", ledger))
                : new Web.Answer(200, json(key, entry));
    }

    private static ObjectNode json(String key, Entry entry) {
        ObjectNode node = Web.object().put("k", key);
        node.set("v", entry.value());
        node.put("stamp", entry.stamp());
        if (entry.permit() > 0) {
            node.put("permit", entry.permit());
        }
        return node;
    }

    private synchronized Web.Answer page(Map<String, String> query) {
        String prefix = query.getOrDefault("prefix", "");
        int limit = Math.min(1_000, Integer.parseInt(query.getOrDefault("limit", "1000")));
        String since = query.getOrDefault("since", "");
        ObjectNode answer = Web.object();
        ArrayNode list = answer.putArray("entries");
        boolean truncated = false;
        int bytes = 0;
        for (Map.Entry<String, Entry> each : entries.tailMap(prefix, true).entrySet()) {
            if (!each.getKey().startsWith(prefix)) {
                break;
            }
            if (each.getKey().compareTo(since) <= 0) {
                continue;
            }
            ObjectNode node = json(each.getKey(), each.getValue());
            bytes += node.toString().length();
            if (list.size() >= limit || bytes > MAX_PAGE_BYTES - 1_000) {
                truncated = true;
                break;
            }
            list.add(node);
        }
        return new Web.Answer(200, answer.put("truncated", truncated).put("ledger", ledger));
    }

    private synchronized Web.Answer transact(JsonNode body) {
        JsonNode changed = body.path("then");
        if (changed.size() > maxOps || body.path("if").size() > 4 * maxOps || body.toString().length() > 65_536) {
            return Web.error(400, "too large");
        }
        for (JsonNode change : changed) {
            if (change.path("v").toString().length() > maxValueBytes) {
                return Web.error(400, "value too large");
            }
        }
        if (changed.size() > 0 && !writes.take(changed.size())) {
            return Web.error(429, "too many changes");
        }
        for (JsonNode change : changed) {
            if (change.has("permit") && !grants.containsKey(change.path("permit").asLong())) {
                return Web.error(400, "no such lease");
            }
        }
        ArrayNode failed = Web.array();
        for (JsonNode condition : body.path("if")) {
            Entry entry = entries.get(condition.path("k").asText());
            if ((entry == null ? 0 : entry.stamp()) != condition.path("stamp").asLong()) {
                failed.add(condition.path("k").asText());
            }
        }
        if (!failed.isEmpty()) {
            ObjectNode answer = Web.object();
            answer.set("failed", failed);
            return new Web.Answer(409, answer.put("ledger", ledger));
        }
        if (changed.size() > 0) {
            ledger++;
            for (JsonNode change : changed) {
                if (change.has("set")) {
                    put(change.path("set").asText(), change.path("v"), change.path("permit").asLong());
                } else {
                    remove(change.path("remove").asText());
                }
            }
            notifyAll();
        }
        return new Web.Answer(200, Web.object().put("ledger", ledger));
    }

    private void put(String key, JsonNode value, long permit) {
        entries.put(key, new Entry(value, ledger, permit));
        changed(new Change(key, value, ledger));
    }

    private void remove(String key) {
        if (entries.remove(key) != null) {
            changed(new Change(key, null, ledger));
        }
    }

    private void changed(Change change) {
        changes.add(change);
        while (changes.size() > KEPT_CHANGES) {
            changes.poll();
        }
    }

    private synchronized Web.Answer watch(Map<String, String> query) throws InterruptedException {
        String prefix = query.getOrDefault("prefix", "");
        long since = Long.parseLong(query.getOrDefault("since", "0"));
        long endNanos = System.nanoTime() + Math.min(60_000, Long.parseLong(query.getOrDefault("block_ms", "0"))) * 1_000_000L;
        while (true) {
            if (changes.size() >= KEPT_CHANGES && changes.peek().stamp() > since + 1) {
                return Web.error(410, "too old");
            }
            List<Change> news = new ArrayList<>();
            for (Change change : changes) {
                if (change.stamp() > since && change.key().startsWith(prefix)) {
                    news.add(change);
                }
            }
            long leftMs = (endNanos - System.nanoTime()) / 1_000_000;
            if (!news.isEmpty() || leftMs <= 0) {
                ObjectNode answer = Web.object().put("ledger", ledger);
                ArrayNode list = answer.putArray("news");
                for (Change change : news) {
                    ObjectNode node = list.addObject();
                    if (change.value() == null) {
                        node.put("remove", change.key());
                    } else {
                        node.put("set", change.key()).set("v", change.value());
                    }
                    node.put("stamp", change.stamp());
                }
                return new Web.Answer(200, answer);
            }
            wait(leftMs);
        }
    }

    private synchronized Web.Answer grant(long lifeMs) {
        if (lifeMs < 100 || lifeMs > 600_000) {
            return Web.error(400, "life_ms");
        }
        grants.put(++lastPermit, new Grant(lifeMs, System.nanoTime() + lifeMs * 1_000_000));
        return new Web.Answer(200, Web.object().put("permit", lastPermit));
    }

    private synchronized Web.Answer touch(long permit) {
        Grant grant = grants.get(permit);
        if (grant == null) {
            return Web.error(404, "no such lease");
        }
        grants.put(permit, new Grant(grant.lifeMs(), System.nanoTime() + grant.lifeMs() * 1_000_000));
        return new Web.Answer(200, Web.object().put("permit", permit));
    }

    private synchronized Web.Answer endGrant(long permit) {
        if (grants.remove(permit) == null) {
            return Web.error(404, "no such lease");
        }
        removeKeysOf(permit);
        return new Web.Answer(200, Web.object());
    }

    private void removeKeysOf(long permit) {
        List<String> keys = new ArrayList<>();
        entries.forEach((key, entry) -> {
            if (entry.permit() == permit) {
                keys.add(key);
            }
        });
        if (!keys.isEmpty()) {
            ledger++;
            keys.forEach(this::remove);
            notifyAll();
        }
    }

    private void endGrants() {
        while (true) {
            try {
                Thread.sleep(20);
            } catch (InterruptedException e) {
                return;
            }
            synchronized (this) {
                long now = System.nanoTime();
                List<Long> ended = new ArrayList<>();
                grants.forEach((permit, grant) -> {
                    if (grant.endNanos() <= now) {
                        ended.add(permit);
                    }
                });
                ended.forEach(permit -> {
                    grants.remove(permit);
                    removeKeysOf(permit);
                });
            }
        }
    }
}
