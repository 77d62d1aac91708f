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

/** An in-memory cloud with one machine type in two zones, whose machine list has no lag. */
public final class SimCloud implements HttpHandler {
    private final SimCluster cluster;
    private final TreeMap<String, SimWorker> machines = new TreeMap<>();
    private final TreeMap<String, String> booting = new TreeMap<>();
    private final Map<String, ArrayNode> provisionedMachines = new LinkedHashMap<>();
    private int createdCount;
    private boolean outage;
    private long bootMicros = 4_000_000;
    private final int capacity;

    SimCloud(SimCluster cluster, int capacity) {
        this.cluster = cluster;
        this.capacity = capacity;
    }

    public void setOutage(boolean isDown) {
        outage = isDown;
    }

    /** Sets the boot time of machines that are provisioned from now on. */
    public void setBootMicros(long micros) {
        bootMicros = micros;
    }

    public TreeMap<String, SimWorker> machines() {
        return machines;
    }

    /** Reclaims a machine without notice. */
    public void reclaim(String name) {
        SimWorker worker = machines.remove(name);
        if (worker != null) {
            worker.terminate();
        }
    }

    /** Gives the machine an interruption notice and reclaims it after the given time. */
    public void reclaimWithNotice(String name, long afterMicros) {
        machines.get(name).receiveInterruptionNotice(afterMicros);
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
                    case "POST /machines" -> provision(Json.parse(request.body()));
                    case "POST /machines/return" -> returnMachines(Json.parse(request.body()));
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

    private HttpResponse provision(JsonNode body) {
        String request = body.path("hire").asText();
        ArrayNode names = provisionedMachines.get(request);
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
            provisionedMachines.put(request, names);
        }
        ObjectNode answer = Json.object();
        answer.set("hoppers", names);
        return HttpResponse.of(200, answer);
    }

    private String boot(String machineType, String zone, boolean spot) {
        String name = "host-%06d".formatted(createdCount++);
        booting.put(name, machineType);
        cluster.time().after(bootMicros, () -> {
            if (booting.remove(name) != null) {
                machines.put(
                        name, new SimWorker(cluster, name, machineType, zone, spot, createdCount % cluster.nodes()));
            }
        });
        return name;
    }

    private HttpResponse returnMachines(JsonNode body) {
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
