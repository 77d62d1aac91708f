package io.sillreel.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sillreel.Controller;
import io.sillreel.http.HttpClient;
import io.sillreel.http.HttpRequest;
import io.sillreel.http.HttpResponse;
import io.sillreel.http.Json;
import io.sillreel.limits.ProcessLimits;
import io.sillreel.settings.OperatorProperties;
import io.sillreel.settings.Settings;
import io.sillreel.settings.SettingsReader;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

/**
 * A simulation of a deployment in virtual time: controllers, the state service, the cloud and its machines. All
 * randomness derives from the seed. An {@link InvariantChecker} checks the guarantees to users throughout.
 */
public final class SimCluster {
    private static final long SECOND = 1_000_000;
    private static final int DEFAULT_NODES = 3;
    private static final long HEAP_BYTES = 50L << 20;
    private static final long REQUEST_DEADLINE_MICROS = 4 * SECOND;

    /** The version that a controller runs: the one before job dependencies (5806758), or the current one. */
    public enum Version {
        PREVIOUS,
        CURRENT
    }

    private final SimTime time = new SimTime();
    private final SimNetwork network;
    private final SimStateService stateService;
    private final SimCloud cloud;
    private final Settings settings;
    private final int nodes;
    private final Controller[] controllers;
    private final SimTime.Process[] processes;
    private final Version[] versions;
    private final SimClusterSettings clusterSettings;
    private final OperatorProperties properties;
    private final HttpClient userClient;
    private final Map<String, ObjectNode> submitted = new HashMap<>();
    private final InvariantChecker checker;

    public SimCluster(long seed) {
        this(seed, 0);
    }

    /** @param cpusMax the CPU quota of the team, 0 for none */
    public SimCluster(long seed, double cpusMax) {
        this(seed, cpusMax, DEFAULT_NODES, Version.CURRENT);
    }

    /** @param version the version that all controllers run at first */
    public SimCluster(long seed, double cpusMax, int nodes, Version version) {
        this(seed, SimClusterSettings.small(nodes, cpusMax), version);
    }

    /** @param version the version that all controllers run at first */
    public SimCluster(long seed, SimClusterSettings clusterSettings, Version version) {
        this(seed, clusterSettings, version, OperatorProperties.defaults());
    }

    /** @param version the version that all controllers run at first */
    public SimCluster(long seed, SimClusterSettings clusterSettings, Version version, OperatorProperties properties) {
        this.clusterSettings = clusterSettings;
        this.properties = properties;
        this.nodes = clusterSettings.nodes();
        controllers = new Controller[nodes];
        processes = new SimTime.Process[nodes];
        versions = new Version[nodes];
        Arrays.fill(versions, version);
        settings = SettingsReader.parse(settingsFile(0));
        network = new SimNetwork(time, seed);
        stateService = new SimStateService(time, 20, 8 * 1024, 100);
        cloud = new SimCloud(this, clusterSettings.machines());
        network.listen("state:1", stateService);
        network.listen("cloud:1", cloud);
        checker = new InvariantChecker(this);
        userClient = network.clientOf("users", time.new Process());
        stateService.onLeaderWritten(() -> network.replayRecorded(publicAddresses()));
        for (int node = 0; node < nodes; node++) {
            start(node);
        }
        checker.monitorCancelledTasks();
    }

    /** Returns the contents of the controller's settings file. */
    public String settingsFile(int node) {
        return clusterSettings.toml(node, versions[node] == Version.CURRENT);
    }

    private void start(int node) {
        SimTime.Process process = time.new Process();
        String host = "10.0.0." + node;
        boolean previous = versions[node] == Version.PREVIOUS;
        HttpClient direct = network.clientOf(host, process);
        HttpClient httpClient = previous ? new PreviousVersion(direct, checker::recordViolation)::send : direct;
        Controller controller = new Controller(
                process,
                httpClient,
                httpClient,
                SettingsReader.parse(settingsFile(node)),
                properties,
                ProcessLimits.of(settings, HEAP_BYTES));
        processes[node] = process;
        controllers[node] = controller;
        network.listen(host + ":8081", request -> process.runOrDefer(() -> controller.handleInternal(request)));
        controller.start(() -> {
            if (!process.isKilled()) {
                network.listen(
                        host + ":8080",
                        request -> process.runOrDefer(() ->
                                enqueue(controller, previous ? PreviousVersion.withoutNewerFields(request) : request)));
            }
        });
    }

    private CompletableFuture<HttpResponse> enqueue(Controller controller, HttpRequest request) {
        CompletableFuture<HttpResponse> answer = new CompletableFuture<>();
        long deadlineMicros = time.nowMicros() + REQUEST_DEADLINE_MICROS;
        controller
                .requestQueue()
                .enqueue(
                        Controller.requestClass(request),
                        request.body().length,
                        () -> time.nowMicros() < deadlineMicros,
                        () -> controller.handlePublic(request).thenAccept(answer::complete));
        return answer;
    }

    /** Sets the processing time of each event that the controller handles from now on. */
    public void setProcessingMicros(int node, long microsPerTask) {
        processes[node].setProcessingMicros(microsPerTask);
    }

    /** Kills the process at once, without a graceful shutdown. */
    public void kill(int node) {
        processes[node].kill();
        network.stopListening("10.0.0." + node + ":8080");
        network.stopListening("10.0.0." + node + ":8081");
    }

    /** Pauses the controller while its clocks run on. */
    public void pause(int node, long forMicros) {
        processes[node].pause(forMicros);
    }

    public void restart(int node) {
        kill(node);
        start(node);
    }

    /** Kills the process and starts it again with the given version, which later restarts keep. */
    public void restart(int node, Version version) {
        versions[node] = version;
        restart(node);
    }

    public Version version(int node) {
        return versions[node];
    }

    public boolean isUp(int node) {
        return !processes[node].isKilled();
    }

    /** True if the controller listens on its public address. */
    public boolean isServing(int node) {
        return network.isListening(publicAddress(node));
    }

    /** Returns the latest stored term. */
    public int term() {
        return stateService.value("term").path("term").asInt();
    }

    /** Returns the node that the leader key names, or -1 if there is none. */
    public int leader() {
        JsonNode leader = stateService.value("leader");
        return leader == null ? -1 : nodeIndex(leader.path("node").asText());
    }

    public SimTime time() {
        return time;
    }

    public SimNetwork network() {
        return network;
    }

    public SimStateService store() {
        return stateService;
    }

    public SimCloud cloud() {
        return cloud;
    }

    SimClusterSettings clusterSettings() {
        return clusterSettings;
    }

    public Settings settings() {
        return settings;
    }

    public int nodes() {
        return nodes;
    }

    private List<String> publicAddresses() {
        List<String> addresses = new ArrayList<>();
        for (int node = 0; node < nodes; node++) {
            addresses.add(publicAddress(node));
        }
        return addresses;
    }

    String publicAddress(int node) {
        return "10.0.0." + node + ":8080";
    }

    int nodeIndex(String name) {
        return name.startsWith("hopper-") ? Integer.parseInt(name.substring(7)) : -1;
    }

    public void runSeconds(double seconds) {
        time.runFor(Math.round(seconds * SECOND));
    }

    /** Advances time in small steps until the condition holds; fails after 300 s of virtual time. */
    public void runUntil(BooleanSupplier condition) {
        long end = time.nowMicros() + 300 * SECOND;
        while (!condition.getAsBoolean()) {
            if (time.nowMicros() > end) {
                throw new AssertionError("condition not met within 300 s of virtual time");
            }
            runSeconds(0.02);
        }
    }

    // --- Users -----------------------------------------------------------------------------------------------------

    /** Returns a valid submission of a job that depends on other jobs. */
    public static ObjectNode job(String uid, int taskCount, String... dependencies) {
        ObjectNode job = job(uid, taskCount);
        List.of(dependencies).forEach(job.putArray("awaits")::add);
        return job;
    }

    /** Returns a valid submission. */
    public static ObjectNode job(String uid, int taskCount) {
        return SimJobs.job(uid, taskCount);
    }

    /** Sends a user's request and advances time until it is answered or times out after 2 s. */
    public HttpResponse send(int node, HttpRequest request) {
        return send(publicAddress(node), request);
    }

    /** Sends a request to the controller's internal address, as operators do. */
    public HttpResponse sendInternal(int node, HttpRequest request) {
        return send("10.0.0." + node + ":8081", request);
    }

    private HttpResponse send(String address, HttpRequest request) {
        HttpResponse[] answer = new HttpResponse[1];
        userClient.send(address, request, 2 * SECOND).thenAccept(response -> answer[0] = response);
        long end = time.nowMicros() + 2 * SECOND + 1;
        while (answer[0] == null && time.nowMicros() < end) {
            time.runFor(1_000);
        }
        return answer[0];
    }

    public HttpResponse submit(int node, ObjectNode job) {
        long sentAt = time.nowMicros();
        return checker.submissionAnswered(job.path("uid").asText(), send(node, submission(job)), sentAt);
    }

    private HttpRequest submission(ObjectNode job) {
        String uid = job.path("uid").asText();
        List<String> dependencies = new ArrayList<>();
        job.path("awaits").forEach(name -> dependencies.add(name.asText()));
        submitted.putIfAbsent(uid, job);
        checker.submitted(uid, job.path("pieces").asInt(), job.path("one_zone").asBoolean(), dependencies);
        return HttpRequest.post("/v2/runs", job);
    }

    public HttpResponse poll(int node, String uid) {
        long sentAt = time.nowMicros();
        return checker.pollAnswered(uid, send(node, HttpRequest.get("/v2/runs/" + uid)), sentAt);
    }

    public HttpResponse cancel(int node, String uid) {
        long sentAt = time.nowMicros();
        return checker.cancellationAnswered(uid, send(node, cancellation(uid)), sentAt);
    }

    private HttpRequest cancellation(String uid) {
        checker.cancellationRequested(uid);
        return HttpRequest.post("/v2/runs/" + uid + "/withdraw", Json.object());
    }

    /** Submits a job without waiting for the response, which is checked when it arrives. */
    public void submitAsync(int node, ObjectNode job) {
        sendAsync(
                node,
                submission(job),
                (response, sentAt) -> checker.submissionAnswered(job.path("uid").asText(), response, sentAt));
    }

    /** Repeats the first submission of the job without waiting for the response. */
    public void resubmitAsync(int node, String uid) {
        submitAsync(node, submitted.get(uid));
    }

    /** Polls a job without waiting for the response, which is checked when it arrives. */
    public void pollAsync(int node, String uid) {
        sendAsync(
                node,
                HttpRequest.get("/v2/runs/" + uid),
                (response, sentAt) -> checker.pollAnswered(uid, response, sentAt));
    }

    public void cancelAsync(int node, String uid) {
        sendAsync(node, cancellation(uid), (response, sentAt) -> checker.cancellationAnswered(uid, response, sentAt));
    }

    private void sendAsync(int node, HttpRequest request, BiConsumer<HttpResponse, Long> then) {
        long sentAt = time.nowMicros();
        userClient.send(publicAddress(node), request, 2 * SECOND).thenAccept(response -> then.accept(response, sentAt));
    }

    public String stage(int node, String uid) {
        return poll(node, uid).json().path("stage").asText();
    }

    /** Returns the stage of the job last reported to a user, or null if none has been reported. */
    public String lastStage(String uid) {
        return checker.stageAnswered(uid);
    }

    /** Returns the job and its transitive dependencies. */
    public Stream<String> dependencyClosure(String uid) {
        return checker.dependencyClosure(uid);
    }

    // --- Invariants --------------------------------------------------------------------------------------------------

    /** The checker that workers notify of the starts and completions of tasks. */
    InvariantChecker checker() {
        return checker;
    }

    /** Makes the tasks of the job fail on every machine from now on. */
    public void failTasksOf(String uid) {
        checker.failTasksOf(uid);
    }

    /** Advances time until the given number of tasks have started, each of which runs for the given time. */
    public void runUntilStarted(int tasks, long runMicros) {
        runUntil(() -> {
            cloud.machines().values().forEach(worker -> worker.setRunMicros(runMicros));
            return checker.startCount() >= tasks;
        });
    }

    /** Returns the number of tasks on all machines. */
    int runningTaskCount() {
        return cloud.machines().values().stream()
                .mapToInt(SimWorker::runningTaskCount)
                .sum();
    }

    public int startCount() {
        return checker.startCount();
    }

    /** Returns the tasks that started after the cancellation of their job was reported, each with the delay. */
    public List<String> startsAfterCancellation() {
        return checker.startsAfterCancellation();
    }

    /** Returns a description of each violation so far. */
    public List<String> violations() {
        return checker.violations();
    }
}
