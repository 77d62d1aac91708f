package review2;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * A small deployment like that of the dialect archive: controllers as processes of their own, started with the command
 * of the deploy file, and stand-ins around them.
 */
final class Stage implements AutoCloseable {
    /** Ends the run with a status that says that the case could not run. */
    static final class CannotRun extends RuntimeException {
        private static final long serialVersionUID = 1L;

        CannotRun(String reason) {
            super(reason);
        }
    }

    /** How long a job is waited for; longer than any time for which the pages let one wait. */
    static final double WAIT_SECONDS = 92;

    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;
    private static final int FIRST_PORT = 20_000;
    private static final int PORTS = 10_000;
    private static final long MAX_RUN_MILLIS = 117_000;

    /** What differs from deployment to deployment. */
    static final class Site {
        int nodes = 3;
        double rps = 200;
        double writeRps = 25;
        double valueKb = 8;
        int txnOps = 20;
        double cloudRps = 1.5;
        double listLag = 12;
        double report = 1.5;
        double lease = 14;
        double cancel = 34;
        double memoryMb = 176;
        double cores = 0.17;
        int sockets = 900;
        int machines = 40;
        double teamCpus = 24;
        double teamLimit = 72;
        List<String> teams = List.of("equipo-archivo-0", "equipo-archivo-1");
        List<String> zones = List.of("cdmx-colo", "oaxaca-office", "puebla-univ");
        List<CloudStandIn.Build> builds = List.of(
                new CloudStandIn.Build("jaguar-small", 4, 16, 0.3, 0.08, 25),
                new CloudStandIn.Build("jaguar-big", 32, 128, 2.38, 0.65, 15));
        Map<String, Integer> offers = Map.of();

        /** The deployment of the dialect archive. */
        static Site voces() {
            return new Site();
        }

        /** The deployment of the activation cluster, with the capacity of its smallest day. */
        static Site thies() {
            Site site = new Site();
            site.rps = 250;
            site.writeRps = 100;
            site.valueKb = 32;
            site.txnOps = 48;
            site.cloudRps = 4;
            site.listLag = 10;
            site.report = 3;
            site.lease = 18;
            site.cancel = 38;
            site.memoryMb = 263;
            site.cores = 0.255;
            site.sockets = 1_200;
            site.machines = 28;
            site.teamCpus = 0;
            site.teamLimit = 0;
            site.teams = List.of("equipe-activation");
            site.zones = List.of("dakar-colo", "mbour-road", "thies-centre", "tivaouane");
            site.builds = List.of(
                    new CloudStandIn.Build("baobab-small", 4, 16, 0.21, 0.09, 35),
                    new CloudStandIn.Build("baobab-mid", 8, 16, 0.39, 0.16, 25),
                    new CloudStandIn.Build("baobab-large", 32, 64, 1.54, 0.65, 25));
            site.offers = Map.of("baobab-large/thies-centre/spot", 1, "baobab-large/thies-centre/ordinary", 1);
            return site;
        }
    }

    final Site site;
    final Judge judge;
    final StateStandIn state;
    final CloudStandIn cloud;
    final Path folder;
    final List<String> publicAddresses = new ArrayList<>();
    private final List<String> internalAddresses = new ArrayList<>();
    /** The proxies between controllers, by sender and receiver. */
    private final Relay[][] relays;
    private final Process[] processes;
    private final int[] starts;
    private final List<String> command;
    private final String logLevel;
    private boolean hasEnded;

    Stage(Path record, Site site) throws IOException {
        this.site = site;
        this.judge = new Judge(record, site.cancel);
        this.command = command();
        this.folder = Files.createTempDirectory("review2");
        this.logLevel = System.getenv().getOrDefault("STAGE_LOG", "info");
        this.processes = new Process[site.nodes];
        this.starts = new int[site.nodes];
        this.relays = new Relay[site.nodes][site.nodes];
        Runtime.getRuntime().addShutdownHook(new Thread(this::end));
        Thread watchdog = new Thread(this::watch, "watchdog");
        watchdog.setDaemon(true);
        watchdog.start();
        site.teams.forEach(team -> judge.limit(team, site.teamLimit > 0 ? site.teamLimit : Double.MAX_VALUE));
        List<Integer> ports = freePorts(2 * site.nodes);
        for (int node = 0; node < site.nodes; node++) {
            publicAddresses.add("127.0.0.1:" + ports.get(2 * node));
            internalAddresses.add("127.0.0.1:" + ports.get(2 * node + 1));
        }
        for (int from = 0; from < site.nodes; from++) {
            for (int to = 0; to < site.nodes; to++) {
                if (from != to) {
                    relays[from][to] = new Relay(internalAddresses.get(to));
                }
            }
        }
        this.state = new StateStandIn(site.nodes, site.rps, site.writeRps, site.valueKb, site.txnOps);
        this.cloud = new CloudStandIn(
                judge,
                site.builds,
                site.zones,
                publicAddresses,
                site.listLag,
                site.report,
                site.lease,
                site.machines,
                site.offers);
    }

    private void watch() {
        try {
            Thread.sleep(MAX_RUN_MILLIS);
        } catch (InterruptedException e) {
            return;
        }
        judge.note("the run took too long");
        System.err.println("the run took too long");
        System.exit(COULD_NOT_RUN);
    }

    private static List<String> command() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy", "service.toml"))) {
            if (line.startsWith("run = \"")) {
                return List.of(line.substring(7, line.lastIndexOf('"')).split(" "));
            }
        }
        throw new CannotRun("the deploy file has no run command");
    }

    /** Free ports below those that the system gives to connections, which could take them before a controller does. */
    private static List<Integer> freePorts(int count) {
        List<Integer> ports = new ArrayList<>();
        Random random = new Random();
        for (int attempt = 0; ports.size() < count && attempt < 1_000; attempt++) {
            int port = FIRST_PORT + random.nextInt(PORTS);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                if (!ports.contains(socket.getLocalPort())) {
                    ports.add(socket.getLocalPort());
                }
            } catch (IOException e) {
                // Another process has it.
            }
        }
        if (ports.size() < count) {
            throw new CannotRun("there are no free ports");
        }
        return ports;
    }

    private String settings(int node) {
        StringBuilder text = new StringBuilder();
        text.append("node_name = \"hopper-").append(node).append("\"\n");
        text.append("area = \"").append(zone(node)).append("\"\n");
        text.append("public_addr = \"").append(publicAddresses.get(node)).append("\"\n");
        text.append("internal_addr = \"").append(internalAddresses.get(node)).append("\"\n");
        for (int other = 0; other < site.nodes; other++) {
            if (other != node) {
                text.append("\n[[members]]\nnode_name = \"hopper-").append(other).append("\"\n");
                text.append("area = \"").append(zone(other)).append("\"\n");
                text.append("address = \"").append(relays[node][other].address()).append("\"\n");
            }
        }
        text.append("\n[endpoints]\ncloud = \"").append(cloud.address()).append("\"\n");
        text.append("state = \"").append(state.address(node)).append("\"\n");
        text.append("\n[params]\nnodes = ").append(site.nodes).append("\nzones = [");
        text.append(String.join(", ", site.zones.stream().map(zone -> '"' + zone + '"').toList()));
        text.append("]\nskew_ms = 1000.0\n");
        for (String team : site.teams) {
            text.append("\n[[params.teams]]\nname = \"").append(team).append("\"\n");
            text.append("cpus = ").append(site.teamCpus).append("\ncpus_max = ").append(site.teamLimit);
            text.append("\ngpus = 0.0\ngpus_max = 0.0\n");
        }
        text.append("\n[[params.objectives]]\nkind = \"finished\"\nclass = \"denoise\"\nwithin_s = 60.0\nshare = 0.85\n");
        text.append("\n[params.workers]\nreport_s = ").append(site.report);
        text.append("\nlease_s = ").append(site.lease);
        text.append("\ngang_wait_s = 30.0\ngang_peer_s = 6.0\ncancel_s = ").append(site.cancel);
        text.append("\n\n[params.state]\nrps = ").append(site.rps);
        text.append("\nwrite_rps = ").append(site.writeRps);
        text.append("\nvalue_kb = ").append(site.valueKb).append("\ntxn_ops = ").append(site.txnOps);
        text.append("\n\n[params.cloud]\nrps = ").append(site.cloudRps);
        text.append("\nlist_lag_s = ").append(site.listLag);
        text.append("\n\n[params.resources]\ncores = ").append(site.cores);
        text.append("\nmemory_mb = ").append(site.memoryMb).append("\nmax_sockets = ").append(site.sockets);
        return text.append('\n').toString();
    }

    private String zone(int node) {
        return site.zones.get(node % site.zones.size());
    }

    /** Starts all controllers and waits until each is healthy and one leads. */
    void startAll() throws IOException, InterruptedException {
        for (int node = 0; node < site.nodes; node++) {
            start(node);
        }
        for (int attempt = 0; attempt < 300; attempt++) {
            boolean up = leader() >= 0;
            for (int node = 0; node < site.nodes; node++) {
                up &= isUp(node);
            }
            for (int node = 0; node < site.nodes; node++) {
                if (!isAlive(node)) {
                    throw new CannotRun("hopper-" + node + " has ended: " + errors(node));
                }
            }
            if (up) {
                judge.note("all controllers are up, hopper-" + leader() + " leads");
                return;
            }
            Thread.sleep(100);
        }
        throw new CannotRun("the controllers did not come up");
    }

    void start(int node) throws IOException {
        Path settings = folder.resolve("hopper-" + node + ".toml");
        Files.writeString(settings, settings(node));
        List<String> line = new ArrayList<>(command);
        line.add(settings.toString());
        ProcessBuilder builder = new ProcessBuilder(line);
        builder.environment().put("LOG_LEVEL", logLevel);
        File log = folder.resolve("hopper-" + node + "-" + starts[node]++ + ".log").toFile();
        processes[node] = builder.redirectError(log).redirectOutput(log).start();
        judge.note("started hopper-" + node);
    }

    boolean isAlive(int node) {
        return processes[node] != null && processes[node].isAlive();
    }

    boolean isUp(int node) {
        try (Wire wire = new Wire(publicAddresses.get(node))) {
            return wire.get("/up", 1_000).status() == 200;
        }
    }

    /** Ends the process with no warning. */
    void kill(int node) throws InterruptedException {
        processes[node].destroyForcibly().waitFor();
        judge.note("killed hopper-" + node);
    }

    /** Stops the process where it is, or lets it go on. */
    void freeze(int node, boolean begins) throws IOException, InterruptedException {
        new ProcessBuilder("kill", begins ? "-STOP" : "-CONT", Long.toString(processes[node].pid()))
                .start()
                .waitFor();
        judge.note((begins ? "froze hopper-" : "thawed hopper-") + node);
    }

    /** Sets the way between one controller and all others, in both directions. */
    void peers(int node, Relay.Mode mode) {
        for (int other = 0; other < site.nodes; other++) {
            if (other != node) {
                relays[node][other].mode(mode);
                relays[other][node].mode(mode);
            }
        }
        judge.note("hopper-" + node + " and its peers: " + mode);
    }

    /** The controller that the state service holds as the leader, or -1. */
    int leader() {
        JsonNode leader = state.value("leader");
        return leader == null ? -1 : Integer.parseInt(leader.path("node").asText("hopper--1").substring(7));
    }

    /** What the log of a controller's latest start says of unexpected errors. */
    List<String> errors(int node) throws IOException {
        List<String> found = new ArrayList<>();
        for (int start = 0; start < starts[node]; start++) {
            for (String line : Files.readAllLines(folder.resolve("hopper-" + node + "-" + start + ".log"))) {
                if (line.contains("ERROR") || line.contains("sillreel:") || line.contains("OutOfMemory")) {
                    found.add("hopper-" + node + ": " + line);
                }
            }
        }
        return found;
    }

    /** The body of a submission. */
    ObjectNode submission(Judge.Job job) {
        ObjectNode body = Wire.object()
                .put("uid", job.uid())
                .put("lot", "denoise")
                .put("crew", job.team())
                .put("form", "sweep")
                .put("rank", "normal")
                .put("pieces", job.pieces())
                .put("vcpus", job.vcpus())
                .put("cards", 0.0)
                .put("ram_gb", 2.0)
                .put("reel", "img-07")
                .put("image_gb", 1.0)
                .put("yard", job.yard())
                .put("one_zone", job.oneZone())
                .put("spread", job.spread())
                .put("loaners", job.loaners())
                .put("guess_s", Math.abs(job.runSeconds()))
                .put("mark_every_s", job.saves() ? 20.0 : 0.0)
                .put("stash_s", job.stashSeconds());
        if (job.build() == null) {
            body.putNull("builds");
        } else {
            body.putArray("builds").add(job.build());
        }
        body.putNull("due_s");
        if (!job.awaits().isEmpty()) {
            ArrayNode awaits = body.putArray("awaits");
            job.awaits().forEach(awaits::add);
        }
        return body;
    }

    /** One request of a user, on a connection of its own; the answer is judged. */
    Wire.Reply ask(int node, String question, String uid) {
        long sent = System.nanoTime();
        try (Wire wire = new Wire(publicAddresses.get(node))) {
            Wire.Reply reply =
                    switch (question) {
                        case "submit" -> wire.post("/v2/runs", submission(judge.jobs.get(uid)), 5_000);
                        case "cancel" -> {
                            judge.asksCancel(uid);
                            yield wire.post("/v2/runs/" + uid + "/withdraw", Wire.object(), 5_000);
                        }
                        default -> wire.get("/v2/runs/" + uid, 2_000);
                    };
            judge.told(uid, node, question, reply.status(), reply.json().path("stage").asText(), sent);
            return reply;
        }
    }

    /** Submits the job as users do: again and again for up to a minute, at one node after the other. */
    boolean submit(Judge.Job job, int firstNode) throws InterruptedException {
        judge.add(job);
        return insist("submit", job.uid(), firstNode);
    }

    boolean cancel(String uid, int firstNode) throws InterruptedException {
        return insist("cancel", uid, firstNode);
    }

    private boolean insist(String question, String uid, int firstNode) throws InterruptedException {
        long until = System.nanoTime() + 60_000_000_000L;
        for (int attempt = 0; System.nanoTime() < until; attempt++) {
            int status = ask((firstNode + attempt) % site.nodes, question, uid).status();
            if (status == 200 || status == 201) {
                return true;
            }
            if (status == 400 || status == 422) {
                return false;
            }
            Thread.sleep(1_000);
        }
        return false;
    }

    /** Waits until the condition holds; false if it doesn't within the time. */
    boolean await(double seconds, java.util.function.BooleanSupplier condition) throws InterruptedException {
        long until = System.nanoTime() + (long) (seconds * 1e9);
        while (System.nanoTime() < until) {
            if (condition.getAsBoolean()) {
                return true;
            }
            judge.look();
            Thread.sleep(100);
        }
        return condition.getAsBoolean();
    }

    private synchronized void end() {
        if (hasEnded) {
            return;
        }
        hasEnded = true;
        for (Process process : processes) {
            if (process != null) {
                process.destroyForcibly();
            }
        }
        for (Process process : processes) {
            if (process != null) {
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
        if (System.getenv("STAGE_KEEP") == null) {
            try (Stream<Path> files = Files.walk(folder)) {
                files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
            } catch (IOException e) {
                System.err.println("the temporary folder stays: " + e.getMessage());
            }
        } else {
            System.err.println("kept " + folder);
        }
    }

    @Override
    public void close() {
        judge.close();
        end();
    }

    /** The body of a case: it returns the status with which the run ends. */
    interface Case {
        int run(Path record, boolean trouble) throws Exception;
    }

    /** Runs a case: the folder of the record is the argument, TROUBLE=0 leaves out the disruption. */
    static void main(String[] args, Case body) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status;
        try {
            status = body.run(Path.of(args[0], "record.txt"), trouble);
        } catch (CannotRun e) {
            System.err.println("could not run: " + e.getMessage());
            status = COULD_NOT_RUN;
        } catch (Exception e) {
            e.printStackTrace();
            status = COULD_NOT_RUN;
        }
        System.exit(status);
    }
}
