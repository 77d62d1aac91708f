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
 * A simulated cloud and its machines on real sockets, for load measurements. There are no failures and no checks of
 * invariants. The machine list is paginated, and requests above the cloud's rate limit are rejected with 429.
 */
final class SimulatedServices {
    private static final long SECOND = 1_000_000;
    private static final long RESPONSE_TIMEOUT_MICROS = 4 * SECOND;
    private static final int CPUS = 4;
    private static final int MAX_RESPONSE_BYTES = 1 << 20;
    private static final double BURST_SECONDS = 2;

    private final io.netty.channel.EventLoop nettyLoop;
    private final EventLoop eventLoop;
    private final List<String> controllers;
    private final int capacity;
    private final long heartbeatMicros;
    private final RateLimiter cloudRate;
    private final Random random = new Random(1);
    private final TreeMap<String, Worker> workers = new TreeMap<>();
    private final Map<String, ArrayNode> provisionedMachines = new LinkedHashMap<>();
    private long answeredHeartbeats;
    private long launchCount;
    private long listCount;
    private long rejectedCloudRequests;
    /** The time of the last launch of a task, by job id. */
    private final Map<String, Long> launchedMicros = new ConcurrentHashMap<>();

    /** @param cloudRate the request rate limit of the cloud, per second */
    SimulatedServices(
            io.netty.channel.EventLoop nettyLoop,
            EventLoop eventLoop,
            List<String> controllers,
            int capacity,
            long heartbeatMicros,
            double cloudRate) {
        this.nettyLoop = nettyLoop;
        this.eventLoop = eventLoop;
        this.controllers = controllers;
        this.capacity = capacity;
        this.heartbeatMicros = heartbeatMicros;
        this.cloudRate = new RateLimiter(eventLoop, cloudRate, BURST_SECONDS * cloudRate);
    }

    /** Returns the number of machine lists that were read to their last page. */
    long listCount() {
        return listCount;
    }

    /** Returns the number of requests that exceeded the rate limit of the cloud. */
    long rejectedCloudRequests() {
        return rejectedCloudRequests;
    }

    long answeredHeartbeats() {
        return answeredHeartbeats;
    }

    long launchCount() {
        return launchCount;
    }

    int machines() {
        return workers.size();
    }

    /** True if a task of one of the jobs has been launched since the given time. */
    boolean launchedSince(long micros, Set<String> jobs) {
        return launchedMicros.entrySet().stream()
                .anyMatch(entry -> entry.getValue() > micros && jobs.contains(entry.getKey()));
    }

    CompletableFuture<HttpResponse> handleCloudRequest(HttpRequest request) {
        if (!cloudRate.tryAcquire(1)) {
            rejectedCloudRequests++;
            return CompletableFuture.completedFuture(HttpResponse.error(429, "too many requests"));
        }
        return CompletableFuture.completedFuture(
                switch (request.method() + " " + request.route()) {
                    case "GET /flavors" -> HttpResponse.of(200, machineTypes());
                    case "POST /machines" -> provision(Json.parse(request.body()));
                    case "POST /machines/return" -> {
                        Json.parse(request.body()).path("hoppers").forEach(name -> {
                            Worker gone = workers.remove(name.asText());
                            if (gone != null) {
                                gone.returned = true;
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

    private HttpResponse provision(JsonNode body) {
        ArrayNode names = provisionedMachines.computeIfAbsent(body.path("hire").asText(), request -> {
            ArrayNode fresh = Json.array();
            for (int i = 0; i < body.path("count").asInt() && workers.size() < capacity; i++) {
                Worker worker = new Worker(
                        "host-%06d".formatted(provisionedMachines.size() * 100 + i),
                        random.nextInt(controllers.size()));
                workers.put(worker.name, worker);
                fresh.add(worker.name);
                eventLoop.schedule(SECOND + random.nextInt((int) SECOND), worker::sendHeartbeat);
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
        listCount += page.json().path("truncated").asBoolean() ? 0 : 1;
        return page;
    }

    private final class Worker {
        private final String name;
        private final NettyHttpClient client = new NettyHttpClient(nettyLoop, 1, MAX_RESPONSE_BYTES);
        private final Map<String, ObjectNode> tasks = new LinkedHashMap<>();
        private final Map<String, Long> taskEndMicros = new LinkedHashMap<>();
        private int node;
        private long sequence;
        private long fencingToken;
        private boolean returned;

        Worker(String name, int node) {
            this.name = name;
            this.node = node;
        }

        void sendHeartbeat() {
            if (returned) {
                return;
            }
            long now = eventLoop.nowMicros();
            taskEndMicros.forEach((key, at) -> {
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
                    .put("baton", fencingToken);
            ArrayNode pieces = body.putArray("pieces");
            tasks.values().forEach(pieces::add);
            client.send(controllers.get(node), HttpRequest.post("/agent/beat", body), RESPONSE_TIMEOUT_MICROS)
                    .thenAccept(this::handleResponse);
        }

        private void handleResponse(HttpResponse response) {
            if (response.status() == 421) {
                node = Integer.parseInt(response.json().path("foreman").asText().substring("hopper-".length()));
                eventLoop.schedule(SECOND / 4, this::sendHeartbeat);
                return;
            }
            if (!response.isOk()) {
                node = (node + 1) % controllers.size();
                eventLoop.schedule(SECOND, this::sendHeartbeat);
                return;
            }
            answeredHeartbeats++;
            JsonNode body = response.json();
            boolean changed = body.path("baton").asLong() > fencingToken;
            fencingToken = Math.max(fencingToken, body.path("baton").asLong());
            for (JsonNode command : body.path("orders")) {
                String taskId = command.path("piece").asText();
                String key = taskId + "#" + command.path("try").asLong();
                changed = true;
                if (command.path("verb").asText().equals("launch")) {
                    launchCount++;
                    launchedMicros.put(taskId.substring(0, taskId.indexOf('/')), eventLoop.nowMicros());
                    tasks.putIfAbsent(
                            key,
                            Json.object()
                                    .put("piece", taskId)
                                    .put("try", command.path("try").asLong())
                                    .put("stage", "running"));
                    taskEndMicros.putIfAbsent(
                            key, eventLoop.nowMicros() + 10 * SECOND + random.nextInt((int) (20 * SECOND)));
                } else {
                    tasks.remove(key);
                    taskEndMicros.remove(key);
                }
            }
            long spread = heartbeatMicros * 3 / 4 + random.nextInt((int) heartbeatMicros / 2);
            eventLoop.schedule(changed ? SECOND / 2 : spread, this::sendHeartbeat);
        }
    }

    /** Simulated users, who submit jobs at a fixed rate and poll those not known to be done. */
    static final class Users {
        private final EventLoop eventLoop;
        private final NettyHttpClient client;
        private final List<String> controllers;
        private final List<String> unfinishedJobs = new CopyOnWriteArrayList<>();
        private final Random random = new Random(2);
        private int submittedCount;
        private long requestCount;

        Users(io.netty.channel.EventLoop nettyLoop, EventLoop eventLoop, List<String> controllers) {
            this.eventLoop = eventLoop;
            this.client = new NettyHttpClient(nettyLoop, 8, MAX_RESPONSE_BYTES);
            this.controllers = controllers;
        }

        List<String> unfinishedJobs() {
            return List.copyOf(unfinishedJobs);
        }

        long requestCount() {
            return requestCount;
        }

        private CompletableFuture<HttpResponse> send(HttpRequest request) {
            requestCount++;
            return client.send(controllers.get(random.nextInt(controllers.size())), request, 2 * SECOND);
        }

        void submitEvery(long micros, int pieces) {
            String uid = "job-%06d".formatted(++submittedCount);
            ObjectNode job = SimCluster.job(uid, pieces).put("guess_s", 20.0).put("due_s", 100.0);
            send(HttpRequest.post("/v2/runs", job)).thenAccept(response -> {
                if (response.status() == 201) {
                    unfinishedJobs.add(uid);
                }
            });
            eventLoop.schedule(micros, () -> submitEvery(micros, pieces));
        }

        void pollEvery(long micros) {
            for (String uid : List.copyOf(unfinishedJobs)) {
                send(HttpRequest.get("/v2/runs/" + uid)).thenAccept(response -> {
                    if (response.json().path("stage").asText().equals("done")) {
                        unfinishedJobs.remove(uid);
                    }
                });
            }
            eventLoop.schedule(micros, () -> pollEvery(micros));
        }
    }
}
