package io.sillreel.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sillreel.http.EventLoop;
import io.sillreel.http.HttpRequest;
import io.sillreel.http.HttpResponse;
import io.sillreel.http.Json;
import io.sillreel.http.NettyHttpClient;
import io.sillreel.overload.RateLimiter;
import io.sillreel.sim.MachinePages;
import io.sillreel.sim.SimCluster;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A cloud and its machines on real sockets, as far as a load needs them: nothing fails, no rule is checked. Lists come
 * in pages, and what passes the cloud's rate is refused.
 */
final class SimulatedServices {
    private static final long SECOND = 1_000_000;
    private static final long ANSWER_MICROS = 4 * SECOND;
    private static final int CPUS = 4;
    private static final int MAX_ANSWER_BYTES = 1 << 20;
    private static final double BURST_SECONDS = 2;

    private final io.netty.channel.EventLoop nettyLoop;
    private final EventLoop eventLoop;
    private final List<String> controllers;
    private final int capacity;
    private final long reportMicros;
    private final RateLimiter cloudRate;
    private final Random random = new Random(1);
    private final TreeMap<String, Worker> workers = new TreeMap<>();
    private final Map<String, ArrayNode> rentals = new LinkedHashMap<>();
    private long answered;
    private long launched;
    private long lists;
    private long refused;
    /** When a task of a job that is named so was last launched. */
    private final Map<String, Long> launchedMicros = new ConcurrentHashMap<>();

    /** @param cloudRate how many requests the cloud takes a second */
    SimulatedServices(
            io.netty.channel.EventLoop nettyLoop,
            EventLoop eventLoop,
            List<String> controllers,
            int capacity,
            long reportMicros,
            double cloudRate) {
        this.nettyLoop = nettyLoop;
        this.eventLoop = eventLoop;
        this.controllers = controllers;
        this.capacity = capacity;
        this.reportMicros = reportMicros;
        this.cloudRate = new RateLimiter(eventLoop, cloudRate, BURST_SECONDS * cloudRate);
    }

    /** Lists that were answered up to their last page. */
    long lists() {
        return lists;
    }

    /** Requests to the cloud that were refused for its rate. */
    long refused() {
        return refused;
    }

    long answered() {
        return answered;
    }

    long launched() {
        return launched;
    }

    int machines() {
        return workers.size();
    }

    /** True if a task of one of the jobs has been launched since. */
    boolean launchedSince(long micros, Set<String> jobs) {
        return launchedMicros.entrySet().stream()
                .anyMatch(entry -> entry.getValue() > micros && jobs.contains(entry.getKey()));
    }

    CompletableFuture<HttpResponse> cloud(HttpRequest request) {
        if (!cloudRate.tryAcquire(1)) {
            refused++;
            return CompletableFuture.completedFuture(HttpResponse.error(429, "too many requests"));
        }
        return CompletableFuture.completedFuture(
                switch (request.method() + " " + request.route()) {
                    case "GET /flavors" -> HttpResponse.of(200, machineTypes());
                    case "POST /machines" -> rental(Json.parse(request.body()));
                    case "POST /machines/return" -> {
                        Json.parse(request.body()).path("hoppers").forEach(name -> {
                            Worker gone = workers.remove(name.asText());
                            if (gone != null) {
                                gone.gone = true;
                            }
                        });
                        yield HttpResponse.of(200, Json.object());
                    }
                    default -> list(request);
                });
    }

    private static ObjectNode machineTypes() {
        ObjectNode body = Json.object();
        body.putArray("builds")
                .addObject()
                .put("sku", "c4")
                .put("vcpus", CPUS)
                .put("cards", 0)
                .put("ram_gb", 16)
                .put("cache_gb", 50)
                .put("pull_gb_per_s", 1.0)
                .put("price", 1.0)
                .put("spot_price", 0.5)
                .put("boot_s", 2)
                .putArray("yards")
                .add("a");
        return body;
    }

    private HttpResponse rental(JsonNode body) {
        ArrayNode names = rentals.computeIfAbsent(body.path("hire").asText(), request -> {
            ArrayNode fresh = Json.array();
            for (int i = 0; i < body.path("count").asInt() && workers.size() < capacity; i++) {
                Worker worker =
                        new Worker("host-%06d".formatted(rentals.size() * 100 + i), random.nextInt(controllers.size()));
                workers.put(worker.name, worker);
                fresh.add(worker.name);
                eventLoop.schedule(SECOND + random.nextInt((int) SECOND), worker::report);
            }
            return fresh;
        });
        if (names.isEmpty()) {
            return HttpResponse.error(503, "no capacity");
        }
        ObjectNode answer = Json.object();
        answer.set("hoppers", names);
        return HttpResponse.of(200, answer);
    }

    private HttpResponse list(HttpRequest request) {
        HttpResponse page = MachinePages.page(
                request,
                workers,
                (worker, entry) -> entry.put("addr", "127.0.0.1:1")
                        .put("build", "c4")
                        .put("yard", "a")
                        .put("loaners", true));
        lists += page.json().path("truncated").asBoolean() ? 0 : 1;
        return page;
    }

    private final class Worker {
        private final String name;
        private final NettyHttpClient client = new NettyHttpClient(nettyLoop, 1, MAX_ANSWER_BYTES);
        private final Map<String, ObjectNode> tasks = new LinkedHashMap<>();
        private final Map<String, Long> ends = new LinkedHashMap<>();
        private int node;
        private long sequence;
        private long token;
        private boolean gone;

        Worker(String name, int node) {
            this.name = name;
            this.node = node;
        }

        void report() {
            if (gone) {
                return;
            }
            long now = eventLoop.nowMicros();
            ends.forEach((key, at) -> {
                if (at <= now && !tasks.get(key).has("cause")) {
                    tasks.get(key).put("stage", "ended").put("cause", "done");
                }
            });
            ObjectNode body = Json.object()
                    .put("hopper", name)
                    .put("addr", "127.0.0.1:1")
                    .put("build", "c4")
                    .put("yard", "a")
                    .put("loaners", true)
                    .put("shift", 1)
                    .put("tally", ++sequence)
                    .put("baton", token);
            ArrayNode pieces = body.putArray("pieces");
            tasks.values().forEach(pieces::add);
            client.send(controllers.get(node), HttpRequest.post("/agent/beat", body), ANSWER_MICROS)
                    .thenAccept(this::answered);
        }

        private void answered(HttpResponse response) {
            if (response.status() == 421) {
                node = Integer.parseInt(response.json().path("foreman").asText().substring("hopper-".length()));
                eventLoop.schedule(SECOND / 4, this::report);
                return;
            }
            if (!response.isOk()) {
                node = (node + 1) % controllers.size();
                eventLoop.schedule(SECOND, this::report);
                return;
            }
            answered++;
            JsonNode body = response.json();
            boolean changed = body.path("baton").asLong() > token;
            token = Math.max(token, body.path("baton").asLong());
            for (JsonNode order : body.path("orders")) {
                String piece = order.path("piece").asText();
                String key = piece + "#" + order.path("try").asLong();
                changed = true;
                if (order.path("verb").asText().equals("launch")) {
                    launched++;
                    launchedMicros.put(piece.substring(0, piece.indexOf('/')), eventLoop.nowMicros());
                    tasks.putIfAbsent(
                            key,
                            Json.object()
                                    .put("piece", piece)
                                    .put("try", order.path("try").asLong())
                                    .put("stage", "running"));
                    ends.putIfAbsent(key, eventLoop.nowMicros() + 10 * SECOND + random.nextInt((int) (20 * SECOND)));
                } else {
                    tasks.remove(key);
                    ends.remove(key);
                }
            }
            long spread = reportMicros * 3 / 4 + random.nextInt((int) reportMicros / 2);
            eventLoop.schedule(changed ? SECOND / 2 : spread, this::report);
        }
    }

    /** Jobs that were submitted and are not known to be done. */
    static final class Users {
        private final EventLoop eventLoop;
        private final NettyHttpClient client;
        private final List<String> controllers;
        private final List<String> open = new CopyOnWriteArrayList<>();
        private final Random random = new Random(2);
        private int jobs;
        private long asked;

        Users(io.netty.channel.EventLoop nettyLoop, EventLoop eventLoop, List<String> controllers) {
            this.eventLoop = eventLoop;
            this.client = new NettyHttpClient(nettyLoop, 8, MAX_ANSWER_BYTES);
            this.controllers = controllers;
        }

        List<String> open() {
            return List.copyOf(open);
        }

        long asked() {
            return asked;
        }

        private CompletableFuture<HttpResponse> ask(HttpRequest request) {
            asked++;
            return client.send(controllers.get(random.nextInt(controllers.size())), request, 2 * SECOND);
        }

        void submitEvery(long micros, int pieces) {
            String uid = "job-%06d".formatted(++jobs);
            ObjectNode job = SimCluster.job(uid, pieces).put("guess_s", 20.0).put("due_s", 100.0);
            ask(HttpRequest.post("/v2/runs", job)).thenAccept(response -> {
                if (response.status() == 201) {
                    open.add(uid);
                }
            });
            eventLoop.schedule(micros, () -> submitEvery(micros, pieces));
        }

        void pollEvery(long micros) {
            for (String uid : List.copyOf(open)) {
                ask(HttpRequest.get("/v2/runs/" + uid)).thenAccept(response -> {
                    if (response.json().path("stage").asText().equals("done")) {
                        open.remove(uid);
                    }
                });
            }
            eventLoop.schedule(micros, () -> pollEvery(micros));
        }
    }
}
