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
 * Some controllers, a state service, a cloud and its machines in virtual time, with the users' rules watched all along.
 * Everything random comes from the seed.
 */
public final class SimCluster {
    private static final long SECOND = 1_000_000;
    private static final int DEFAULT_NODES = 3;
    private static final long HEAP_BYTES = 50L << 20;
    private static final long REQUEST_DEADLINE_MICROS = 4 * SECOND;

    /** What a controller runs: the version before chains of jobs (5806758), or the present one. */
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

    /** @param cpusMax the team's limit, 0 for none */
    public SimCluster(long seed, double cpusMax) {
        this(seed, cpusMax, DEFAULT_NODES, Version.CURRENT);
    }

    /** @param version what all controllers run at first */
    public SimCluster(long seed, double cpusMax, int nodes, Version version) {
        this(seed, SimClusterSettings.small(nodes, cpusMax), version);
    }

    /** @param version what all controllers run at first */
    public SimCluster(long seed, SimClusterSettings clusterSettings, Version version) {
        this(seed, clusterSettings, version, OperatorProperties.defaults());
    }

    /** @param version what all controllers run at first */
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
        checker.watch();
    }

    /** The settings file of the controller. */
    public String settingsFile(int node) {
        return clusterSettings.toml(node, versions[node] == Version.CURRENT);
    }

    private void start(int node) {
        SimTime.Process process = time.new Process();
        String host = "10.0.0." + node;
        boolean previous = versions[node] == Version.PREVIOUS;
        HttpClient direct = network.clientOf(host, process);
        HttpClient httpClient = previous ? new PreviousVersion(direct, checker::broke)::send : direct;
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

    /** From now on whatever the controller does takes so long. */
    public void setProcessingMicros(int node, long microsPerTask) {
        processes[node].setProcessingMicros(microsPerTask);
    }

    /** Ends the process at once, without a word to anybody. */
    public void kill(int node) {
        processes[node].kill();
        network.stopListening("10.0.0." + node + ":8080");
        network.stopListening("10.0.0." + node + ":8081");
    }

    /** The controller stands still while its clocks run on. */
    public void pause(int node, long forMicros) {
        processes[node].pause(forMicros);
    }

    public void restart(int node) {
        kill(node);
        start(node);
    }

    /** Ends the process and starts it again with that version, which it keeps from then on. */
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

    /** True if the controller listens to users and workers. */
    public boolean isServing(int node) {
        return network.isListening(publicAddress(node));
    }

    /** The last term that was taken. */
    public int term() {
        return stateService.value("term").path("term").asInt();
    }

    /** The node that the leader key names, or -1. */
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

    /** Lets time pass in small steps until the condition holds; a test that never gets there fails. */
    public void runUntil(BooleanSupplier condition) {
        long end = time.nowMicros() + 300 * SECOND;
        while (!condition.getAsBoolean()) {
            if (time.nowMicros() > end) {
                throw new AssertionError("it has not happened within 300 s");
            }
            runSeconds(0.02);
        }
    }

    // --- Users -----------------------------------------------------------------------------------------------------

    /** A job that has to wait until others are done. */
    public static ObjectNode job(String uid, int pieces, String... awaited) {
        ObjectNode job = job(uid, pieces);
        List.of(awaited).forEach(job.putArray("awaits")::add);
        return job;
    }

    /** Returns a valid submission. */
    public static ObjectNode job(String uid, int pieces) {
        return SimJobs.job(uid, pieces);
    }

    /** Sends a request and lets time pass until it is answered or its user gives up. */
    public HttpResponse send(int node, HttpRequest request) {
        return send(publicAddress(node), request);
    }

    /** Sends an operator's request to the controller's internal address. */
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
        List<String> awaited = new ArrayList<>();
        job.path("awaits").forEach(name -> awaited.add(name.asText()));
        submitted.putIfAbsent(uid, job);
        checker.submitted(uid, job.path("pieces").asInt(), job.path("one_zone").asBoolean(), awaited);
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
        checker.cancellationAsked(uid);
        return HttpRequest.post("/v2/runs/" + uid + "/withdraw", Json.object());
    }

    /** Asks without waiting for the answer, which is noted when it comes. */
    public void submitAsync(int node, ObjectNode job) {
        sendAsync(
                node,
                submission(job),
                (response, sentAt) -> checker.submissionAnswered(job.path("uid").asText(), response, sentAt));
    }

    /** Submits once more what was submitted under that name. */
    public void resubmitAsync(int node, String uid) {
        submitAsync(node, submitted.get(uid));
    }

    /** Asks for a job's state and checks the answer when it comes, without waiting for it. */
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

    /** What users were last told of the job, or null. */
    public String known(String uid) {
        return checker.told(uid);
    }

    /** The job and all that it needs, directly or through others. */
    public Stream<String> dependencyClosure(String uid) {
        return checker.neededBy(uid);
    }

    // --- Rules -----------------------------------------------------------------------------------------------------

    /** Told by the workers what becomes of their tasks. */
    InvariantChecker checker() {
        return checker;
    }

    /** The tasks of the job fail on every machine from now on. */
    public void failTasksOf(String uid) {
        checker.mistaken(uid);
    }

    /** Waits until so many tasks have started, each of which runs for so long. */
    public void runUntilStarted(int tasks, long runMicros) {
        runUntil(() -> {
            cloud.machines().values().forEach(worker -> worker.setRunMicros(runMicros));
            return checker.starts() >= tasks;
        });
    }

    /** Tasks that are on machines now. */
    int runningTaskCount() {
        return cloud.machines().values().stream()
                .mapToInt(SimWorker::runningTaskCount)
                .sum();
    }

    public int startCount() {
        return checker.starts();
    }

    /** Tasks that began after a user had been told that their job is cancelled, and how long after. */
    public List<String> startsAfterCancellation() {
        return checker.startsOfCancelled();
    }

    /** The rules that were broken so far, in plain words. */
    public List<String> violations() {
        return checker.broken();
    }
}
