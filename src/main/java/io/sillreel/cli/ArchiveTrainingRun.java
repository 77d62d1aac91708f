package io.sillreel.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import io.sillreel.http.Json;
import io.sillreel.http.NettyEventLoop;
import io.sillreel.http.NettyHttpServer;
import io.sillreel.settings.OperatorProperties;
import io.sillreel.settings.SettingsReader;
import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.PriorityQueue;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.jar.JarEntry;
import java.util.jar.JarFile;

/**
 * Training run for the class data sharing (CDS) archive that the build creates. Runs a leader and a follower in one
 * process for some seconds, and jobs from their submission to their end, so that the classes this loads can be
 * archived. Without the archive, a failover on a small share of a core would spend its first seconds on class loading.
 */
final class ArchiveTrainingRun {
    private static final int MIN_ROUNDS = 12;
    /** Limit on a very busy machine, where the first job may not be done after {@link #MIN_ROUNDS}. */
    private static final int MAX_ROUNDS = 100;

    private static final int ROUND_MILLIS = 300;
    private static final int IDLE_WAIT_MILLIS = 2_300;
    private static final int MAX_IDLE_WAITS = 5;
    private static final int FIRST_PORT = 15_000;
    private static final int PORTS = 15_000;
    private static final int PORT_STEP = 16;
    private static final String CLASS_SUFFIX = ".class";
    /** JDK types whose nested classes are needed only at times, such as those of a future that is not yet complete. */
    private static final List<Class<?>> TYPES_WITH_NESTED_CLASSES = List.of(
            ArrayDeque.class,
            ArrayList.class,
            CompletableFuture.class,
            HashMap.class,
            LinkedHashMap.class,
            PriorityQueue.class,
            TreeMap.class);

    private static int portsTried;

    private ArchiveTrainingRun() {}

    static void run() throws IOException, InterruptedException {
        loadOwnClasses();
        for (Class<?> type : TYPES_WITH_NESTED_CLASSES) {
            type.getDeclaredClasses();
        }
        int servicesPort = freePort();
        int[] publicPorts = {freePort(), freePort()};
        int[] internalPorts = {freePort(), freePort()};
        EventLoopGroup[] daemons = new EventLoopGroup[2];
        for (int i = 0; i < 2; i++) {
            String settings = settings(i, publicPorts[i], internalPorts[i], internalPorts[1 - i], servicesPort);
            daemons[i] = Main.run(SettingsReader.parse(settings), OperatorProperties.defaults());
            if (i == 0) {
                new NettyHttpServer(new NettyEventLoop(daemons[0].next()), NettyHttpServer.MAX_BODY_BYTES, 100)
                        .listen(new InetSocketAddress("127.0.0.1", servicesPort), new TrainingServices()::handle);
            }
        }
        Thread.sleep(1_500);
        String controllerUrl = "http://127.0.0.1:" + publicPorts[0];
        submitJobs(controllerUrl);
        ObjectNode heartbeat = heartbeat();
        int round = 0;
        while (round < MIN_ROUNDS || (round < MAX_ROUNDS && !isDone(controllerUrl, "job-000001"))) {
            round++;
            sendHeartbeat(heartbeat, round, "http://127.0.0.1:" + publicPorts[round % 2]);
            send(controllerUrl + "/up", null);
            Thread.sleep(ROUND_MILLIS);
        }
        scheduleOnIdleMachine(controllerUrl, heartbeat, round + 1);
        send("http://127.0.0.1:" + internalPorts[0] + "/metrics", null);
        FailureTraining.run();
        for (EventLoopGroup daemon : daemons) {
            daemon.shutdownGracefully(0, 1, TimeUnit.SECONDS).await();
        }
    }

    private static void submitJobs(String controllerUrl) throws IOException {
        send(controllerUrl + "/v2/runs", job("job-000001"));
        send(controllerUrl + "/v2/runs", job("job-000002"));
        send(controllerUrl + "/v2/runs", Json.object().put("uid", "job-000003"));
        ObjectNode dependent = job("job-000004");
        dependent.putArray("awaits").add("job-000001").add("job-000002");
        send(controllerUrl + "/v2/runs", dependent);
        send(controllerUrl + "/v2/runs/job-000004", null);
        send(controllerUrl + "/v2/runs/job-000002/withdraw", Json.object());
    }

    /**
     * Loads every class of the program. Which classes a training run uses depends on timing, so an archive of only
     * those would occasionally miss one.
     */
    private static void loadOwnClasses() throws IOException {
        Path jar = Path.of(ArchiveTrainingRun.class
                .getProtectionDomain()
                .getCodeSource()
                .getLocation()
                .getPath());
        try (JarFile file = new JarFile(jar.toFile())) {
            for (JarEntry entry : Collections.list(file.entries())) {
                String name = entry.getName();
                if (name.endsWith(CLASS_SUFFIX)) {
                    String className = name.substring(0, name.length() - CLASS_SUFFIX.length());
                    Class.forName(className.replace('/', '.'), false, ArchiveTrainingRun.class.getClassLoader());
                }
            }
        } catch (ClassNotFoundException e) {
            throw new IOException(e);
        }
    }

    private static boolean isDone(String controllerUrl, String uid) throws IOException {
        return send(controllerUrl + "/v2/runs/" + uid, null)
                .path("stage")
                .asText()
                .equals("done");
    }

    /**
     * Submits a job while the machine is idle, so that the planner has to place it. In the earlier rounds tasks may be
     * placed as soon as a heartbeat shows free capacity, without a planning pass. No heartbeat is sent until the
     * release of the job is stored and a planning pass has followed, which usually takes at most two seconds.
     */
    private static void scheduleOnIdleMachine(String controllerUrl, ObjectNode heartbeat, int sequence)
            throws IOException, InterruptedException {
        send(controllerUrl + "/v2/runs", job("job-000005").put("reel", "img-not-cached"));
        for (int waits = 0; waits < MAX_IDLE_WAITS && heartbeat.path("pieces").isEmpty(); waits++) {
            Thread.sleep(IDLE_WAIT_MILLIS);
            sendHeartbeat(heartbeat, sequence + waits, controllerUrl);
        }
    }

    private static ObjectNode heartbeat() {
        ObjectNode heartbeat = Json.object()
                .put("hopper", "host-000000")
                .put("addr", "127.0.0.1:1")
                .put("build", "c4")
                .put("yard", "a")
                .put("loaners", true)
                .put("shift", 1)
                .put("baton", 0)
                .putNull("recall_s");
        heartbeat.putArray("pieces");
        return heartbeat;
    }

    /** Sends a heartbeat and starts the tasks that the response launches; the next heartbeat reports them as ended. */
    private static void sendHeartbeat(ObjectNode heartbeat, int sequence, String controllerUrl) throws IOException {
        heartbeat.put("tally", sequence);
        JsonNode response = send(controllerUrl + "/agent/beat", heartbeat);
        heartbeat.put(
                "baton",
                Math.max(
                        heartbeat.path("baton").asLong(), response.path("baton").asLong()));
        ArrayNode tasks = heartbeat.withArray("pieces");
        tasks.forEach(task -> ((ObjectNode) task).put("stage", "ended").put("cause", "done"));
        for (JsonNode order : response.path("orders")) {
            if (order.path("verb").asText().equals("launch")) {
                tasks.addObject()
                        .put("piece", order.path("piece").asText())
                        .put("try", order.path("try").asLong())
                        .put("stage", "running");
            }
        }
    }

    static String settings(int number, int publicPort, int internalPort, int otherPort, int servicesPort) {
        return """
                node_name = "rehearsal-%1$d"
                area = "a"
                public_addr = "127.0.0.1:%2$d"
                internal_addr = "127.0.0.1:%3$d"
                [[members]]
                node_name = "rehearsal-%6$d"
                area = "a"
                address = "127.0.0.1:%4$d"
                [endpoints]
                cloud = "127.0.0.1:%5$d"
                state = "127.0.0.1:%5$d"
                [params]
                zones = ["a"]
                skew_ms = 1.0
                [[params.teams]]
                name = "t"
                [params.workers]
                report_s = 1.0
                lease_s = 10.0
                cancel_s = 30.0
                [params.state]
                rps = 1000.0
                write_rps = 1000.0
                value_kb = 32.0
                txn_ops = 48
                [params.state.next]
                value_kb = 16.0
                [params.cloud]
                rps = 4.0
                list_lag_s = 10.0
                [params.resources]
                cores = 1.0
                memory_mb = 200.0
                max_sockets = 100
                """.formatted(number, publicPort, internalPort, otherPort, servicesPort, 1 - number);
    }

    private static ObjectNode job(String uid) {
        return Json.object()
                .put("uid", uid)
                .put("lot", "l")
                .put("crew", "t")
                .put("form", "sweep")
                .put("rank", "normal")
                .put("pieces", 2)
                .put("vcpus", 1.0)
                .put("cards", 0.0)
                .put("ram_gb", 1.0)
                .put("reel", "img")
                .put("image_gb", 1.0)
                .put("one_zone", false)
                .put("spread", false)
                .put("loaners", true)
                .put("guess_s", 1.0)
                .put("mark_every_s", 0.0)
                .put("stash_s", 0.0)
                .put("due_s", 60.0);
    }

    /**
     * Returns a port that is not in use, below the ephemeral range: an outgoing connection could otherwise take the
     * port before the daemon binds it.
     */
    static int freePort() throws IOException {
        int first = (int) (ProcessHandle.current().pid() * PORT_STEP % PORTS);
        for (int offset = 0; offset < PORTS; offset++) {
            int port = FIRST_PORT + (first + offset + portsTried) % PORTS;
            try (ServerSocket socket = new ServerSocket(port)) {
                portsTried += offset + 1;
                return socket.getLocalPort();
            } catch (BindException e) {
                // the port is in use
            }
        }
        throw new IOException("no free port in the range searched by the training run");
    }

    private static JsonNode send(String url, JsonNode body) throws IOException {
        return (body == null ? JsonClient.get(url) : JsonClient.post(url, body)).body();
    }
}
