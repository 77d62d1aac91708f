import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** Controllers as processes of their own, started with the command of the deploy file, and the users' requests. */
final class Deployment {
    /** The settings that differ between sites. */
    record Site(
            String name,
            List<String> zones,
            String teams,
            double reportS,
            double leaseS,
            double cancelS,
            double rps,
            double writeRps,
            int valueKb,
            int txnOps,
            double cloudRps,
            double listLagS,
            double cores,
            double memoryMb,
            int sockets) {}

    static final Site THIES = new Site(
            "thies-activation",
            List.of("thies-centre", "dakar-colo", "mbour-road", "tivaouane"),
            team("equipe-activation", 0, 0),
            3, 18, 38, 250, 100, 32, 48, 4, 10, 0.255, 263, 1200);
    static final Site VOCES = new Site(
            "voces-oaxaca",
            List.of("puebla-univ", "oaxaca-office", "cdmx-colo"),
            team("equipo-archivo-0", 24, 72) + team("equipo-archivo-1", 24, 72),
            1.5, 14, 34, 200, 25, 8, 20, 1.5, 12, 0.17, 176, 900);

    static String team(String name, double cpus, double cpusMax) {
        return "[[params.teams]]\nname = \"" + name + "\"\ncpus = " + cpus + "\ncpus_max = " + cpusMax
                + "\ngpus = 0.0\ngpus_max = 0.0\n\n";
    }

    private static final int NODES = 3;
    final Site site;
    final Map<String, String> publicAddresses = new LinkedHashMap<>();
    final int statePort = Web.freePort();
    final int cloudPort = Web.freePort();
    private final Map<String, String> internalAddresses = new LinkedHashMap<>();
    private final Map<String, Process> processes = new LinkedHashMap<>();
    private final Path folder = Files.createTempDirectory("sillreel-review");
    private final Path repository;

    /** @param repository the root of the checkout, with what the build of the deploy file has left */
    Deployment(Site site, Path repository) throws IOException {
        this.site = site;
        this.repository = repository;
        for (int i = 0; i < NODES; i++) {
            publicAddresses.put("hopper-" + i, "127.0.0.1:" + Web.freePort());
            internalAddresses.put("hopper-" + i, "127.0.0.1:" + Web.freePort());
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::endAll));
    }

    List<String> nodes() {
        return List.copyOf(publicAddresses.keySet());
    }

    void start(String node) throws IOException {
        Path settings = folder.resolve(node + ".toml");
        Files.writeString(settings, settings(node));
        List<String> command = new ArrayList<>(List.of(runCommand().split(" ")));
        command.add(settings.toString());
        ProcessBuilder builder = new ProcessBuilder(command).directory(repository.toFile());
        builder.environment().put("LOG_LEVEL", System.getenv().getOrDefault("CASE_LOG_LEVEL", "info"));
        File log = folder.resolve(node + ".log").toFile();
        builder.redirectError(ProcessBuilder.Redirect.appendTo(log)).redirectOutput(ProcessBuilder.Redirect.DISCARD);
        processes.put(node, builder.start());
        Journal.note("started %s", node);
    }

    /** Starts all controllers, and waits until each one answers its health check and one leads. */
    void startAll() throws Exception {
        for (String node : nodes()) {
            start(node);
        }
        awaitUp(30);
    }

    void awaitUp(double seconds) throws Exception {
        double end = Journal.seconds() + seconds;
        for (String node : nodes()) {
            while (Web.call(publicAddresses.get(node), "GET", "/up", null, 1_000).status() != 200) {
                if (Journal.seconds() > end) {
                    throw new IllegalStateException(node + " did not come up");
                }
                Thread.sleep(100);
            }
        }
    }

    /** Ends a controller without a signal that it could handle. */
    void kill(String node) throws InterruptedException {
        processes.get(node).destroyForcibly().waitFor();
        Journal.note("killed %s", node);
    }

    boolean isAlive(String node) {
        return processes.get(node).isAlive();
    }

    void endAll() {
        processes.values().forEach(Process::destroyForcibly);
        for (Process process : processes.values()) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        String kept = System.getenv("CASE_KEEP_LOGS");
        try (Stream<Path> files = Files.walk(folder)) {
            if (kept != null) {
                for (String node : nodes()) {
                    Path log = folder.resolve(node + ".log");
                    if (Files.exists(log)) {
                        Files.copy(log, Path.of(kept, node + ".log"), java.nio.file.StandardCopyOption.REPLACE_EXISTING);
                    }
                }
            }
            files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        } catch (IOException e) {
            Journal.note("the temporary folder is not removed: %s", e);
        }
    }

    /** Lines of a controller's log that contain one of the texts, for the record. */
    List<String> logLines(String node, String... texts) {
        Path log = folder.resolve(node + ".log");
        if (!Files.exists(log)) {
            return List.of();
        }
        try (Stream<String> lines = Files.lines(log)) {
            return lines.filter(line -> Stream.of(texts).anyMatch(line::contains)).toList();
        } catch (IOException e) {
            return List.of("the log can't be read: " + e);
        }
    }

    private String runCommand() throws IOException {
        Matcher matcher = Pattern.compile("(?m)^run = \"(.*)\"$")
                .matcher(Files.readString(repository.resolve("deploy/service.toml")));
        if (!matcher.find()) {
            throw new IOException("the deploy file has no run command");
        }
        return matcher.group(1);
    }

    private String settings(String node) {
        List<String> nodes = nodes();
        StringBuilder text = new StringBuilder();
        text.append("node_name = \"").append(node).append("\"\n");
        text.append("area = \"").append(site.zones().get(nodes.indexOf(node))).append("\"\n");
        text.append("public_addr = \"").append(publicAddresses.get(node)).append("\"\n");
        text.append("internal_addr = \"").append(internalAddresses.get(node)).append("\"\n\n");
        for (String other : nodes) {
            if (!other.equals(node)) {
                text.append("[[members]]\nnode_name = \"").append(other).append("\"\narea = \"");
                text.append(site.zones().get(nodes.indexOf(other))).append("\"\naddress = \"");
                text.append(internalAddresses.get(other)).append("\"\n\n");
            }
        }
        text.append("[endpoints]\ncloud = \"127.0.0.1:").append(cloudPort);
        text.append("\"\nstate = \"127.0.0.1:").append(statePort).append("\"\n\n");
        text.append("[params]\nnodes = ").append(NODES).append("\nzones = [");
        text.append(String.join(", ", site.zones().stream().map(zone -> "\"" + zone + "\"").toList()));
        text.append("]\nskew_ms = 1000.0\n\n").append(site.teams());
        text.append("[params.workers]\nreport_s = ").append(site.reportS()).append("\nlease_s = ");
        text.append(site.leaseS()).append("\ngang_wait_s = 30.0\ngang_peer_s = 6.0\ncancel_s = ");
        text.append(site.cancelS()).append("\n\n[params.state]\nrps = ").append(site.rps());
        text.append("\nwrite_rps = ").append(site.writeRps()).append("\nvalue_kb = ").append(site.valueKb());
        text.append(".0\ntxn_ops = ").append(site.txnOps()).append("\n\n[params.cloud]\nrps = ");
        text.append(site.cloudRps()).append("\nlist_lag_s = ").append(site.listLagS());
        text.append("\n\n[params.resources]\ncores = ").append(site.cores()).append("\nmemory_mb = ");
        text.append(site.memoryMb()).append("\nmax_sockets = ").append(site.sockets()).append("\n");
        return text.toString();
    }

    /** The stored plan of another job like this one, admitted that much earlier. */
    static JsonNode earlierPlan(JsonNode plan, String uid, String earlierUid, double secondsBefore) throws IOException {
        ObjectNode copy = (ObjectNode) Web.JSON.readTree(plan.toString().replace(uid, earlierUid));
        return copy.put("at_us", copy.path("at_us").asLong() - (long) (secondsBefore * 1e6));
    }

    StateService stateService() {
        return new StateService(site.rps(), site.writeRps(), site.txnOps(), site.valueKb() * 1024);
    }

    Fleet fleet(List<Fleet.Type> types, int capacity, double bootS) {
        return new Fleet(
                types, capacity, site.reportS(), site.leaseS(), site.cloudRps(), site.listLagS(), bootS, publicAddresses);
    }

    /** A submission of the users, with usual values that a case may replace. */
    static ObjectNode job(String uid, String lot, String crew, int pieces, double vcpus, double ramGb, double guessS) {
        ObjectNode job = Web.object()
                .put("uid", uid)
                .put("lot", lot)
                .put("crew", crew)
                .put("form", "sweep")
                .put("rank", "normal")
                .put("pieces", pieces)
                .put("vcpus", vcpus)
                .put("cards", 0.0)
                .put("ram_gb", ramGb)
                .put("reel", "img-01")
                .put("image_gb", 0.5);
        job.putNull("builds");
        job.putNull("yard");
        job.put("one_zone", false).put("spread", false).put("loaners", true);
        job.put("guess_s", guessS).put("mark_every_s", 0.0).put("stash_s", 0.0);
        job.putNull("due_s");
        return job;
    }

    /** Submits as users do: again after a second, for up to 60 s, with the next node. */
    Web.Answer submit(JsonNode job) throws InterruptedException {
        return retried(job.path("uid").asText(), "submission", "/v2/runs", job);
    }

    Web.Answer withdraw(String uid) throws InterruptedException {
        return retried(uid, "cancellation", "/v2/runs/" + uid + "/withdraw", Web.object());
    }

    private Web.Answer retried(String uid, String what, String path, JsonNode body) throws InterruptedException {
        double end = Journal.seconds() + 60;
        for (int i = 0; ; i++) {
            String node = nodes().get(i % NODES);
            Web.Answer answer = Web.call(publicAddresses.get(node), "POST", path, body, 5_000);
            Journal.note("user: %s of %s at %s: %d %s", what, uid, node, answer.status(), answer.body());
            boolean isFinal = List.of(200, 201, 400, 404, 422).contains(answer.status());
            if (isFinal || Journal.seconds() > end) {
                return answer;
            }
            Thread.sleep(1_000);
        }
    }

    Web.Answer poll(String node, String uid) {
        return Web.call(publicAddresses.get(node), "GET", "/v2/runs/" + uid, null, 2_000);
    }

    /** Polls every second at the nodes in turn until the stage is told; returns the last answer. */
    Web.Answer awaitStage(String uid, String stage, double seconds) throws InterruptedException {
        double end = Journal.seconds() + seconds;
        for (int i = 0; ; i++) {
            Web.Answer answer = poll(nodes().get(i % NODES), uid);
            boolean isReached = answer.status() == 200 && answer.body().path("stage").asText().equals(stage);
            if (isReached || Journal.seconds() > end) {
                Journal.note("user: poll of %s: %d %s", uid, answer.status(), answer.body());
                return answer;
            }
            Thread.sleep(1_000);
        }
    }
}
