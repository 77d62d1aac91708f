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

/** One machine's worker, as the protocol describes it. */
public final class SimWorker {
    private static final class Task {
        final String piece;
        final long attempt;
        long endsMicros;
        String stage = "running";
        String cause = "";

        Task(String piece, long attempt, long endsMicros) {
            this.piece = piece;
            this.attempt = attempt;
            this.endsMicros = endsMicros;
        }

        boolean alive() {
            return !stage.equals("ended");
        }
    }

    private static final long ANSWER_MICROS = 4_000_000;
    private static final long MIN_GAP_MICROS = 500_000;

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
    private long token;
    private long leaseFromMicros;
    private long lastReportMicros;
    private boolean inFlight;
    private int life;
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
        this.leaseFromMicros = cluster.time().nowMicros();
        cluster.network().listen(address(), request -> process.runOrDefer(() -> direct(request)));
        process.schedule(1_000, this::report);
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

    public void setTasksFail(boolean fails) {
        tasksFail = fails;
    }

    /** How long tasks that start from now on run. */
    public void setRunMicros(long micros) {
        runMicros = micros;
    }

    void noticeInterruption(long afterMicros) {
        interruptionAtMicros = cluster.time().nowMicros() + afterMicros;
        changed();
    }

    /** What runs now runs for so much longer. */
    public void extendRunningTasks(long micros) {
        tasks.values().forEach(task -> task.endsMicros += micros);
    }

    /** The machine starts again at once: what ran is gone, and it counts from the beginning. */
    public void reboot() {
        life++;
        inFlight = false;
        tasks.clear();
        epoch = 1;
        sequence = 0;
        token = 0;
        leaseFromMicros = cluster.time().nowMicros();
        process.schedule(1_000, this::report);
    }

    public int node() {
        return node;
    }

    /** The machine hangs; what was on it goes on later if its lease still lives. */
    public void pause(long forMicros) {
        process.pause(forMicros);
    }

    /** The machine and all that was on it are gone. */
    public void terminate() {
        process.kill();
        cluster.network().stopListening(address());
        tasks.clear();
    }

    /** Returns the tasks that are on the machine. */
    public List<String> runningTasks() {
        List<String> running = new ArrayList<>();
        if (leaseIsOver()) {
            return running;
        }
        tasks.values().stream().filter(Task::alive).forEach(task -> running.add(task.piece));
        return running;
    }

    /** How many tasks are on the machine. */
    int runningTaskCount() {
        int count = 0;
        if (!leaseIsOver()) {
            for (Task task : tasks.values()) {
                count += task.alive() ? 1 : 0;
            }
        }
        return count;
    }

    private boolean leaseIsOver() {
        return cluster.time().nowMicros() - leaseFromMicros
                > cluster.settings().workers().leaseMicros();
    }

    private void endLease() {
        if (leaseIsOver()) {
            tasks.clear();
            epoch++;
            leaseFromMicros = cluster.time().nowMicros();
            changed();
        }
    }

    private void tick() {
        process.schedule(cluster.clusterSettings().tickMicros(), this::tick);
        long now = cluster.time().nowMicros();
        endLease();
        for (Task task : tasks.values()) {
            if (task.alive() && now >= task.endsMicros) {
                task.stage = "ended";
                task.cause = tasksFail || cluster.checker().isMistaken(uid(task.piece)) ? "error" : "done";
                if (task.cause.equals("done")) {
                    cluster.checker().completed(task.piece);
                }
                changed();
            }
        }
    }

    private static String uid(String piece) {
        return piece.substring(0, piece.indexOf('/'));
    }

    private void changed() {
        long wait = lastReportMicros + MIN_GAP_MICROS - cluster.time().nowMicros();
        process.schedule(Math.max(wait, 1_000), this::report);
    }

    private void report() {
        endLease();
        long now = cluster.time().nowMicros();
        if (inFlight || now - lastReportMicros < MIN_GAP_MICROS) {
            return;
        }
        inFlight = true;
        lastReportMicros = now;
        sequence++;
        long sentSession = epoch;
        int sentLife = life;
        HttpRequest request = HttpRequest.post("/agent/beat", body());
        httpClient.send(cluster.publicAddress(node), request, ANSWER_MICROS).thenAccept(response -> {
            if (sentLife == life) {
                inFlight = false;
                answered(response, now, sentSession);
            }
        });
    }

    private void answered(HttpResponse answer, long sentMicros, long sentSession) {
        endLease();
        // A worker that hung has waited for too long by its own clock.
        HttpResponse response =
                cluster.time().nowMicros() - sentMicros > ANSWER_MICROS ? HttpResponse.noResponse() : answer;
        if (response.status() == 421
                && cluster.nodeIndex(response.json().path("foreman").asText()) >= 0) {
            node = cluster.nodeIndex(response.json().path("foreman").asText());
            process.schedule(MIN_GAP_MICROS, this::report);
            return;
        }
        if (!response.isOk()) {
            node = (node + 1) % cluster.nodes();
            process.schedule(1_000_000, this::report);
            return;
        }
        process.schedule(cluster.settings().workers().heartbeatIntervalMicros(), this::report);
        JsonNode body = response.json();
        if (body.path("baton").asLong() < token || sentSession != epoch) {
            return;
        }
        leaseFromMicros = sentMicros;
        obey(body);
    }

    private CompletableFuture<HttpResponse> direct(HttpRequest request) {
        endLease();
        sequence++;
        int status = 200;
        if (request.route().equals("/do")) {
            JsonNode body = Json.parse(request.body());
            if (body.path("baton").asLong() < token || body.path("shift").asLong() != epoch) {
                status = 409;
            } else {
                obey(body);
            }
        }
        return CompletableFuture.completedFuture(HttpResponse.of(status, body()));
    }

    private void obey(JsonNode body) {
        if (body.path("baton").asLong() > token) {
            token = body.path("baton").asLong();
            changed();
        }
        for (JsonNode order : body.path("orders")) {
            String piece = order.path("piece").asText();
            long attempt = order.path("try").asLong();
            String key = piece + "#" + attempt;
            Task task = tasks.get(key);
            switch (order.path("verb").asText()) {
                case "launch" -> {
                    if (task == null) {
                        long run = cluster.checker().isCompleted(piece) ? 0 : runMicros;
                        tasks.put(key, new Task(piece, attempt, cluster.time().nowMicros() + run));
                        cluster.checker().started(this, piece);
                    }
                }
                case "halt" -> {
                    if (task != null && task.alive()) {
                        task.stage = "ended";
                        task.cause = "stopped";
                    }
                }
                default -> {
                    if (task != null && !task.alive()) {
                        tasks.remove(key);
                    }
                }
            }
            changed();
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
                .put("baton", token);
        if (interruptionAtMicros >= 0) {
            body.put("recall_s", (interruptionAtMicros - cluster.time().nowMicros()) / 1_000_000.0);
        }
        ArrayNode pieces = body.putArray("pieces");
        for (Task task : tasks.values()) {
            ObjectNode node = pieces.addObject()
                    .put("piece", task.piece)
                    .put("try", task.attempt)
                    .put("stage", task.stage);
            if (!task.alive()) {
                node.put("cause", task.cause);
            }
        }
        return body;
    }
}
