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
    private static final int USUAL_NODES = 3;
    private static final long HEAP_BYTES = 50L << 20;
    private static final long ASKER_WAITS_MICROS = 4 * SECOND;

    /** What a controller runs: the version before chains of jobs (5806758), or the present one. */
    public enum Version {
        PREVIOUS,
        CURRENT
    }

    private final SimTime time = new SimTime();
    private final SimNetwork network;
    private final SimStateStore state;
    private final SimCloud cloud;
    private final Settings settings;
    private final int nodes;
    private final Controller[] controllers;
    private final SimTime.Process[] processes;
    private final Version[] versions;
    private final SimClusterSettings worldSettings;
    private final OperatorProperties operator;
    private final HttpClient users;
    private final Map<String, ObjectNode> submitted = new HashMap<>();
    private final InvariantChecker rules;

    public SimCluster(long seed) {
        this(seed, 0);
    }

    /** @param cpusMax the team's limit, 0 for none */
    public SimCluster(long seed, double cpusMax) {
        this(seed, cpusMax, USUAL_NODES, Version.CURRENT);
    }

    /** @param version what all controllers run at first */
    public SimCluster(long seed, double cpusMax, int nodes, Version version) {
        this(seed, SimClusterSettings.usual(nodes, cpusMax), version);
    }

    /** @param version what all controllers run at first */
    public SimCluster(long seed, SimClusterSettings worldSettings, Version version) {
        this(seed, worldSettings, version, OperatorProperties.defaults());
    }

    /** @param version what all controllers run at first */
    public SimCluster(long seed, SimClusterSettings worldSettings, Version version, OperatorProperties operator) {
        this.worldSettings = worldSettings;
        this.operator = operator;
        this.nodes = worldSettings.nodes();
        controllers = new Controller[nodes];
        processes = new SimTime.Process[nodes];
        versions = new Version[nodes];
        Arrays.fill(versions, version);
        settings = SettingsReader.parse(settingsFile(0));
        network = new SimNetwork(time, seed);
        state = new SimStateStore(time, 20, 8 * 1024, 100);
        cloud = new SimCloud(this, worldSettings.machines());
        network.listen("state:1", state);
        network.listen("cloud:1", cloud);
        rules = new InvariantChecker(this);
        users = network.from("users", time.new Process());
        state.onLeader(() -> network.letKeptGo(publicAddresses()));
        for (int node = 0; node < nodes; node++) {
            start(node);
        }
        rules.watch();
    }

    /** The settings file of the controller. */
    public String settingsFile(int node) {
        return worldSettings.toml(node, versions[node] == Version.CURRENT);
    }

    private void start(int node) {
        SimTime.Process process = time.new Process();
        String host = "10.0.0." + node;
        boolean previous = versions[node] == Version.PREVIOUS;
        HttpClient direct = network.from(host, process);
        HttpClient httpClient = previous ? new PreviousVersion(direct, rules::broke)::call : direct;
        Controller controller = new Controller(
                process,
                httpClient,
                httpClient,
                SettingsReader.parse(settingsFile(node)),
                operator,
                ProcessLimits.of(settings, HEAP_BYTES));
        processes[node] = process;
        controllers[node] = controller;
        network.listen(host + ":8081", request -> process.awake(() -> controller.handleInternal(request)));
        controller.start(() -> {
            if (!process.killed()) {
                network.listen(
                        host + ":8080",
                        request -> process.awake(
                                () -> inTurn(controller, previous ? PreviousVersion.understood(request) : request)));
            }
        });
    }

    private CompletableFuture<HttpResponse> inTurn(Controller controller, HttpRequest request) {
        CompletableFuture<HttpResponse> answer = new CompletableFuture<>();
        long givenUpMicros = time.nowMicros() + ASKER_WAITS_MICROS;
        controller
                .requestQueue()
                .enqueue(
                        Controller.requestClass(request),
                        request.body().length,
                        () -> time.nowMicros() < givenUpMicros,
                        () -> controller.handlePublic(request).thenAccept(answer::complete));
        return answer;
    }

    /** From now on whatever the controller does takes so long. */
    public void slow(int node, long microsPerTask) {
        processes[node].slow(microsPerTask);
    }

    /** Ends the process at once, without a word to anybody. */
    public void kill(int node) {
        processes[node].kill();
        network.silence("10.0.0." + node + ":8080");
        network.silence("10.0.0." + node + ":8081");
    }

    /** The controller stands still while its clocks run on. */
    public void freeze(int node, long forMicros) {
        processes[node].freeze(forMicros);
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
        return !processes[node].killed();
    }

    /** True if the controller listens to users and workers. */
    public boolean isOpen(int node) {
        return network.listens(publicAddress(node));
    }

    /** The last term that was taken. */
    public int term() {
        return state.value("term").path("term").asInt();
    }

    /** The node that the leader key names, or -1. */
    public int leader() {
        JsonNode leader = state.value("leader");
        return leader == null ? -1 : nodeNamed(leader.path("node").asText());
    }

    public SimTime time() {
        return time;
    }

    public SimNetwork network() {
        return network;
    }

    public SimStateStore state() {
        return state;
    }

    public SimCloud cloud() {
        return cloud;
    }

    SimClusterSettings worldSettings() {
        return worldSettings;
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

    int nodeNamed(String name) {
        return name.startsWith("hopper-") ? Integer.parseInt(name.substring(7)) : -1;
    }

    public void seconds(double seconds) {
        time.runFor(Math.round(seconds * SECOND));
    }

    /** Lets time pass in small steps until the condition holds; a test that never gets there fails. */
    public void until(BooleanSupplier condition) {
        long end = time.nowMicros() + 300 * SECOND;
        while (!condition.getAsBoolean()) {
            if (time.nowMicros() > end) {
                throw new AssertionError("it has not happened within 300 s");
            }
            seconds(0.02);
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
    public HttpResponse ask(int node, HttpRequest request) {
        return ask(publicAddress(node), request);
    }

    /** Sends an operator's request to the controller's internal address. */
    public HttpResponse askAsOperator(int node, HttpRequest request) {
        return ask("10.0.0." + node + ":8081", request);
    }

    private HttpResponse ask(String address, HttpRequest request) {
        HttpResponse[] answer = new HttpResponse[1];
        users.send(address, request, 2 * SECOND).thenAccept(response -> answer[0] = response);
        long end = time.nowMicros() + 2 * SECOND + 1;
        while (answer[0] == null && time.nowMicros() < end) {
            time.runFor(1_000);
        }
        return answer[0];
    }

    public HttpResponse submit(int node, ObjectNode job) {
        long asked = time.nowMicros();
        return rules.submissionAnswered(job.path("uid").asText(), ask(node, submission(job)), asked);
    }

    private HttpRequest submission(ObjectNode job) {
        String uid = job.path("uid").asText();
        List<String> awaited = new ArrayList<>();
        job.path("awaits").forEach(name -> awaited.add(name.asText()));
        submitted.putIfAbsent(uid, job);
        rules.submitted(uid, job.path("pieces").asInt(), job.path("one_zone").asBoolean(), awaited);
        return HttpRequest.post("/v2/runs", job);
    }

    public HttpResponse poll(int node, String uid) {
        long asked = time.nowMicros();
        return rules.pollAnswered(uid, ask(node, HttpRequest.get("/v2/runs/" + uid)), asked);
    }

    public HttpResponse cancel(int node, String uid) {
        long asked = time.nowMicros();
        return rules.cancellationAnswered(uid, ask(node, cancellation(uid)), asked);
    }

    private HttpRequest cancellation(String uid) {
        rules.cancellationAsked(uid);
        return HttpRequest.post("/v2/runs/" + uid + "/withdraw", Json.object());
    }

    /** Asks without waiting for the answer, which is noted when it comes. */
    public void submitMeanwhile(int node, ObjectNode job) {
        askMeanwhile(
                node,
                submission(job),
                (response, asked) -> rules.submissionAnswered(job.path("uid").asText(), response, asked));
    }

    /** Submits once more what was submitted under that name. */
    public void repeatMeanwhile(int node, String uid) {
        submitMeanwhile(node, submitted.get(uid));
    }

    /** Asks for a job's state and checks the answer when it comes, without waiting for it. */
    public void pollMeanwhile(int node, String uid) {
        askMeanwhile(
                node,
                HttpRequest.get("/v2/runs/" + uid),
                (response, asked) -> rules.pollAnswered(uid, response, asked));
    }

    public void cancelMeanwhile(int node, String uid) {
        askMeanwhile(node, cancellation(uid), (response, asked) -> rules.cancellationAnswered(uid, response, asked));
    }

    private void askMeanwhile(int node, HttpRequest request, BiConsumer<HttpResponse, Long> then) {
        long asked = time.nowMicros();
        users.send(publicAddress(node), request, 2 * SECOND).thenAccept(response -> then.accept(response, asked));
    }

    public String stage(int node, String uid) {
        return poll(node, uid).json().path("stage").asText();
    }

    /** What users were last told of the job, or null. */
    public String told(String uid) {
        return rules.told(uid);
    }

    /** The job and all that it needs, directly or through others. */
    public Stream<String> neededBy(String uid) {
        return rules.neededBy(uid);
    }

    // --- Rules -----------------------------------------------------------------------------------------------------

    /** Told by the workers what becomes of their tasks. */
    InvariantChecker rules() {
        return rules;
    }

    /** The tasks of the job fail on every machine from now on. */
    public void mistaken(String uid) {
        rules.mistaken(uid);
    }

    /** Waits until so many tasks have started, each of which runs for so long. */
    public void untilStarted(int tasks, long runMicros) {
        until(() -> {
            cloud.machines().values().forEach(worker -> worker.runMicros(runMicros));
            return rules.starts() >= tasks;
        });
    }

    /** Tasks that are on machines now. */
    int running() {
        return cloud.machines().values().stream()
                .mapToInt(SimWorker::runningCount)
                .sum();
    }

    public int starts() {
        return rules.starts();
    }

    /** Tasks that began after a user had been told that their job is cancelled, and how long after. */
    public List<String> startsOfCancelled() {
        return rules.startsOfCancelled();
    }

    /** The rules that were broken so far, in plain words. */
    public List<String> broken() {
        return rules.broken();
    }
}
