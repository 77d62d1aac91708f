package io.sillreel.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sillreel.http.HttpHandler;
import io.sillreel.http.HttpRequest;
import io.sillreel.http.HttpResponse;
import io.sillreel.http.Json;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

/** A cloud in memory: one machine type in two zones, a list without lag. */
public final class SimCloud implements HttpHandler {
    private final SimCluster cluster;
    private final TreeMap<String, SimWorker> machines = new TreeMap<>();
    private final TreeMap<String, String> booting = new TreeMap<>();
    private final Map<String, ArrayNode> answers = new LinkedHashMap<>();
    private int created;
    private boolean outage;
    private long bootMicros = 4_000_000;
    private final int capacity;

    SimCloud(SimCluster cluster, int capacity) {
        this.cluster = cluster;
        this.capacity = capacity;
    }

    public void setOutage(boolean down) {
        outage = down;
    }

    /** How long machines rented from now on take to come up. */
    public void setBootMicros(long micros) {
        bootMicros = micros;
    }

    public TreeMap<String, SimWorker> machines() {
        return machines;
    }

    /** The cloud takes a machine back without a word. */
    public void reclaim(String name) {
        SimWorker worker = machines.remove(name);
        if (worker != null) {
            worker.terminate();
        }
    }

    /** The cloud takes a machine back after some time, and its worker is told. */
    public void reclaimWithNotice(String name, long afterMicros) {
        machines.get(name).noticeInterruption(afterMicros);
        cluster.time().after(afterMicros, () -> reclaim(name));
    }

    @Override
    public CompletableFuture<HttpResponse> handle(HttpRequest request) {
        if (outage) {
            return CompletableFuture.completedFuture(HttpResponse.error(503, "trouble"));
        }
        return CompletableFuture.completedFuture(
                switch (request.method() + " " + request.route()) {
                    case "GET /flavors" -> HttpResponse.of(200, machineTypes());
                    case "POST /machines" -> rental(Json.parse(request.body()));
                    case "POST /machines/return" -> giveBack(Json.parse(request.body()));
                    default -> list(request);
                });
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
        type.putArray("yards").add("a").add("b");
        return body;
    }

    private HttpResponse rental(JsonNode body) {
        String request = body.path("hire").asText();
        ArrayNode names = answers.get(request);
        if (names == null) {
            names = Json.array();
            for (int i = 0; i < body.path("count").asInt() && machines.size() + booting.size() < capacity; i++) {
                names.add(boot(
                        body.path("build").asText(),
                        body.path("yard").asText(),
                        body.path("loaners").asBoolean()));
            }
            if (names.isEmpty()) {
                return HttpResponse.error(503, "no capacity");
            }
            answers.put(request, names);
        }
        ObjectNode answer = Json.object();
        answer.set("hoppers", names);
        return HttpResponse.of(200, answer);
    }

    private String boot(String machineType, String zone, boolean spot) {
        String name = "host-%06d".formatted(created++);
        booting.put(name, machineType);
        cluster.time().after(bootMicros, () -> {
            if (booting.remove(name) != null) {
                machines.put(name, new SimWorker(cluster, name, machineType, zone, spot, created % cluster.nodes()));
            }
        });
        return name;
    }

    private HttpResponse giveBack(JsonNode body) {
        for (JsonNode name : body.path("hoppers")) {
            booting.remove(name.asText());
            reclaim(name.asText());
        }
        return HttpResponse.of(200, Json.object());
    }

    private HttpResponse list(HttpRequest request) {
        return MachinePages.page(
                request,
                machines,
                (worker, entry) -> entry.put("addr", worker.address())
                        .put("build", worker.machineType())
                        .put("yard", worker.zone())
                        .put("loaners", worker.spot()));
    }
}
