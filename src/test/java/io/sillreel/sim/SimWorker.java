package io.sillreel.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sillreel.http.HttpClient;
import io.sillreel.http.HttpRequest;
import io.sillreel.http.HttpResponse;
import io.sillreel.http.Json;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** The worker agent of one simulated machine, following the documented protocol. */
public final class SimWorker {
    private static final class Task {
        final String id;
        final long attempt;
        long endsMicros;
        String stage = "running";
        String cause = "";

        Task(String id, long attempt, long endsMicros) {
            this.id = id;
            this.attempt = attempt;
            this.endsMicros = endsMicros;
        }

        boolean isActive() {
            return !stage.equals("ended");
        }
    }

    private static final long RESPONSE_TIMEOUT_MICROS = 4_000_000;
    private static final long MIN_HEARTBEAT_GAP_MICROS = 500_000;

    private final SimCluster cluster;
    private final String name;
    private final String machineType;
    private final String zone;
    private final boolean spot;
    private final SimTime.Process process;
    private final HttpClient httpClient;
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private int node;
    private long epoch = 1;
    private long sequence;
    private long fencingToken;
    private long leaseStartMicros;
    private long lastHeartbeatMicros;
    private boolean inFlight;
    private int incarnation;
    private boolean tasksFail;
    private long runMicros = 3_000_000;
    private long interruptionAtMicros = -1;

    SimWorker(SimCluster cluster, String name, String machineType, String zone, boolean spot, int firstNode) {
        this.cluster = cluster;
        this.name = name;
        this.machineType = machineType;
        this.zone = zone;
        this.spot = spot;
        this.node = firstNode;
        this.process = cluster.time().new Process();
        this.httpClient = cluster.network().clientOf(name, process);
        this.leaseStartMicros = cluster.time().nowMicros();
        cluster.network().listen(address(), request -> process.runOrDefer(() -> handleDirectRequest(request)));
        process.schedule(1_000, this::sendHeartbeat);
        process.schedule(cluster.clusterSettings().tickMicros(), this::tick);
    }

    public String name() {
        return name;
    }

    String machineType() {
        return machineType;
    }

    public String zone() {
        return zone;
    }

    public boolean spot() {
        return spot;
    }

    String address() {
        return name + ":9000";
    }

    public void setTasksFail(boolean fail) {
        tasksFail = fail;
    }

    /** Sets the run time of tasks that start from now on. */
    public void setRunMicros(long micros) {
        runMicros = micros;
    }

    void receiveInterruptionNotice(long afterMicros) {
        interruptionAtMicros = cluster.time().nowMicros() + afterMicros;
        scheduleHeartbeat();
    }

    /** Extends the run time of the running tasks. */
    public void extendRunningTasks(long micros) {
        tasks.values().forEach(task -> task.endsMicros += micros);
    }

    /** Reboots the machine at once: its tasks are lost, and epoch, sequence and fencing token start anew. */
    public void reboot() {
        incarnation++;
        inFlight = false;
        tasks.clear();
        epoch = 1;
        sequence = 0;
        fencingToken = 0;
        leaseStartMicros = cluster.time().nowMicros();
        process.schedule(1_000, this::sendHeartbeat);
    }

    public int node() {
        return node;
    }

    /** Pauses the machine; its tasks continue afterwards if its lease has not expired. */
    public void pause(long forMicros) {
        process.pause(forMicros);
    }

    /** Terminates the machine and all its tasks. */
    public void terminate() {
        process.kill();
        cluster.network().stopListening(address());
        tasks.clear();
    }

    /** Returns the tasks that run on the machine. */
    public List<String> runningTasks() {
        List<String> running = new ArrayList<>();
        if (isLeaseExpired()) {
            return running;
        }
        tasks.values().stream().filter(Task::isActive).forEach(task -> running.add(task.id));
        return running;
    }

    /** Returns the number of tasks that run on the machine. */
    int runningTaskCount() {
        int count = 0;
        if (!isLeaseExpired()) {
            for (Task task : tasks.values()) {
                count += task.isActive() ? 1 : 0;
            }
        }
        return count;
    }

    private boolean isLeaseExpired() {
        return cluster.time().nowMicros() - leaseStartMicros
                > cluster.settings().workers().leaseMicros();
    }

    private void expireLease() {
        if (isLeaseExpired()) {
            tasks.clear();
            epoch++;
            leaseStartMicros = cluster.time().nowMicros();
            scheduleHeartbeat();
        }
    }

    private void tick() {
        process.schedule(cluster.clusterSettings().tickMicros(), this::tick);
        long now = cluster.time().nowMicros();
        expireLease();
        for (Task task : tasks.values()) {
            if (task.isActive() && now >= task.endsMicros) {
                task.stage = "ended";
                task.cause = tasksFail || cluster.checker().hasFailingTasks(uid(task.id)) ? "error" : "done";
                if (task.cause.equals("done")) {
                    cluster.checker().completed(task.id);
                }
                scheduleHeartbeat();
            }
        }
    }

    private static String uid(String taskId) {
        return taskId.substring(0, taskId.indexOf('/'));
    }

    private void scheduleHeartbeat() {
        long wait =
                lastHeartbeatMicros + MIN_HEARTBEAT_GAP_MICROS - cluster.time().nowMicros();
        process.schedule(Math.max(wait, 1_000), this::sendHeartbeat);
    }

    private void sendHeartbeat() {
        expireLease();
        long now = cluster.time().nowMicros();
        if (inFlight || now - lastHeartbeatMicros < MIN_HEARTBEAT_GAP_MICROS) {
            return;
        }
        inFlight = true;
        lastHeartbeatMicros = now;
        sequence++;
        long sentEpoch = epoch;
        int sentIncarnation = incarnation;
        HttpRequest request = HttpRequest.post("/agent/beat", body());
        httpClient
                .send(cluster.publicAddress(node), request, RESPONSE_TIMEOUT_MICROS)
                .thenAccept(response -> {
                    if (sentIncarnation == incarnation) {
                        inFlight = false;
                        handleResponse(response, now, sentEpoch);
                    }
                });
    }

    private void handleResponse(HttpResponse answer, long sentMicros, long sentEpoch) {
        expireLease();
        // An agent that was paused has exceeded the response timeout by its own clock.
        HttpResponse response =
                cluster.time().nowMicros() - sentMicros > RESPONSE_TIMEOUT_MICROS ? HttpResponse.noResponse() : answer;
        if (response.status() == 421
                && cluster.nodeIndex(response.json().path("foreman").asText()) >= 0) {
            node = cluster.nodeIndex(response.json().path("foreman").asText());
            process.schedule(MIN_HEARTBEAT_GAP_MICROS, this::sendHeartbeat);
            return;
        }
        if (!response.isOk()) {
            node = (node + 1) % cluster.nodes();
            process.schedule(1_000_000, this::sendHeartbeat);
            return;
        }
        process.schedule(cluster.settings().workers().heartbeatIntervalMicros(), this::sendHeartbeat);
        JsonNode body = response.json();
        if (body.path("baton").asLong() < fencingToken || sentEpoch != epoch) {
            return;
        }
        leaseStartMicros = sentMicros;
        execute(body);
    }

    private CompletableFuture<HttpResponse> handleDirectRequest(HttpRequest request) {
        expireLease();
        sequence++;
        int status = 200;
        if (request.route().equals("/do")) {
            JsonNode body = Json.parse(request.body());
            if (body.path("baton").asLong() < fencingToken || body.path("shift").asLong() != epoch) {
                status = 409;
            } else {
                execute(body);
            }
        }
        return CompletableFuture.completedFuture(HttpResponse.of(status, body()));
    }

    private void execute(JsonNode body) {
        if (body.path("baton").asLong() > fencingToken) {
            fencingToken = body.path("baton").asLong();
            scheduleHeartbeat();
        }
        for (JsonNode command : body.path("orders")) {
            String taskId = command.path("piece").asText();
            long attempt = command.path("try").asLong();
            String key = taskId + "#" + attempt;
            Task task = tasks.get(key);
            switch (command.path("verb").asText()) {
                case "launch" -> {
                    if (task == null) {
                        long run = cluster.checker().isCompleted(taskId) ? 0 : runMicros;
                        tasks.put(key, new Task(taskId, attempt, cluster.time().nowMicros() + run));
                        cluster.checker().started(this, taskId);
                    }
                }
                case "halt" -> {
                    if (task != null && task.isActive()) {
                        task.stage = "ended";
                        task.cause = "stopped";
                    }
                }
                default -> {
                    if (task != null && !task.isActive()) {
                        tasks.remove(key);
                    }
                }
            }
            scheduleHeartbeat();
        }
    }

    private ObjectNode body() {
        ObjectNode body = Json.object()
                .put("hopper", name)
                .put("addr", address())
                .put("build", machineType)
                .put("yard", zone)
                .put("loaners", spot)
                .put("shift", epoch)
                .put("tally", sequence)
                .put("baton", fencingToken);
        if (interruptionAtMicros >= 0) {
            body.put("recall_s", (interruptionAtMicros - cluster.time().nowMicros()) / 1_000_000.0);
        }
        ArrayNode pieces = body.putArray("pieces");
        for (Task task : tasks.values()) {
            ObjectNode node = pieces.addObject()
                    .put("piece", task.id)
                    .put("try", task.attempt)
                    .put("stage", task.stage);
            if (!task.isActive()) {
                node.put("cause", task.cause);
            }
        }
        return body;
    }
}
