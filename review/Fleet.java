import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

/** A stand-in for the cloud and its machines, after "Controller nodes -> cloud" and "Workers -> controller nodes". */
final class Fleet {
    /** A machine type of the cloud. */
    record Type(String sku, double vcpus, double ramGb, double price, double spotPrice, double bootS, List<String> yards) {}

    /** What happens on the machines, for the checks of a case; called without locks of the fleet. */
    interface Observer {
        default void started(String machine, String piece, long attempt) {}

        default void ended(String machine, String piece, long attempt, String cause) {}
    }

    private static final double PULL_GB_PER_S = 1.0;
    private static final double CACHE_GB = 30;
    private final List<Type> types;
    private final int capacity;
    private final double reportS;
    private final double leaseS;
    private final double listLagS;
    private final double bootS;
    private final List<String> nodes;
    private final Map<String, String> addresses;
    private final StateService.Bucket rate;
    private final Map<String, ArrayNode> hires = new HashMap<>();
    private final TreeMap<String, Machine> machines = new TreeMap<>();
    /** Submitted jobs, whose descriptions the workers fetch. */
    private final Map<String, JsonNode> jobs = new HashMap<>();
    /** Seconds that each task of a job runs; negative: it fails after that time, on every machine. */
    private final Map<String, Double> runS = new HashMap<>();
    private final Set<String> completed = new LinkedHashSet<>();
    private final Random random = new Random(1);
    private int lastMachine;
    private volatile Observer observer = new Observer() {};

    /**
     * @param capacity how many machines the cloud has at a time, of all types
     * @param bootS how long a machine boots
     * @param addresses the public addresses of the controllers by name
     */
    Fleet(
            List<Type> types,
            int capacity,
            double reportS,
            double leaseS,
            double cloudRps,
            double listLagS,
            double bootS,
            Map<String, String> addresses) {
        this.types = types;
        this.capacity = capacity;
        this.reportS = reportS;
        this.leaseS = leaseS;
        this.listLagS = listLagS;
        this.bootS = bootS;
        this.addresses = addresses;
        this.nodes = List.copyOf(addresses.keySet());
        this.rate = new StateService.Bucket(cloudRps, 2 * cloudRps);
    }

    void listen(int port) throws Exception {
        Web.serve(port, this::handle);
    }

    void observe(Observer newObserver) {
        observer = newObserver;
    }

    /** The user uploads the description of a job. */
    synchronized void upload(JsonNode job, double seconds) {
        jobs.put(job.path("uid").asText(), job);
        runS.put(job.path("uid").asText(), seconds);
    }

    synchronized int machineCount() {
        return machines.size();
    }

    /** One line for each machine: its state, and the tasks on it. */
    synchronized List<String> describe() {
        List<String> lines = new ArrayList<>();
        machines.values().forEach(machine -> lines.add(machine.describe()));
        return lines;
    }

    /** True if a machine is up, was answered by a controller within the last report interval or two, and is free. */
    synchronized boolean hasFreeMachine(double vcpus, double ramGb) {
        return machines.values().stream().anyMatch(machine -> machine.isFree(vcpus, ramGb));
    }

    private Web.Answer handle(String method, String path, Map<String, String> query, JsonNode body) throws Exception {
        Thread.sleep(5);
        if (!rate.take(1)) {
            return Web.error(429, "too many requests");
        }
        if (path.equals("/flavors")) {
            return new Web.Answer(200, flavors());
        }
        if (path.equals("/machines") && method.equals("POST")) {
            return hire(body);
        }
        if (path.equals("/machines/return")) {
            return giveBack(body);
        }
        return path.equals("/machines") ? list(query) : Web.error(400, "malformed");
    }

    private ObjectNode flavors() {
        ObjectNode answer = Web.object();
        ArrayNode builds = answer.putArray("builds");
        for (Type type : types) {
            ObjectNode node = builds.addObject()
                    .put("sku", type.sku())
                    .put("vcpus", type.vcpus())
                    .put("cards", 0.0)
                    .put("ram_gb", type.ramGb())
                    .put("cache_gb", CACHE_GB)
                    .put("pull_gb_per_s", PULL_GB_PER_S)
                    .put("price", type.price())
                    .put("spot_price", type.spotPrice())
                    .put("boot_s", type.bootS());
            ArrayNode yards = node.putArray("yards");
            type.yards().forEach(yards::add);
        }
        return answer;
    }

    private synchronized Web.Answer hire(JsonNode body) {
        String name = body.path("hire").asText();
        ArrayNode known = hires.get(name);
        if (known == null) {
            Type type = types.stream()
                    .filter(each -> each.sku().equals(body.path("build").asText()))
                    .findFirst()
                    .orElse(null);
            if (type == null || !type.yards().contains(body.path("yard").asText())) {
                return Web.error(400, "malformed");
            }
            int count = Math.min(body.path("count").asInt(), capacity - machines.size());
            if (count <= 0) {
                return Web.error(503, "no capacity");
            }
            known = Web.array();
            for (int i = 0; i < count; i++) {
                Machine machine = new Machine(
                        String.format("host-%06d", ++lastMachine),
                        type,
                        body.path("yard").asText(),
                        body.path("loaners").asBoolean());
                machines.put(machine.name, machine);
                known.add(machine.name);
                Web.THREADS.execute(machine::run);
            }
            hires.put(name, known);
            Journal.note("cloud: hire %s: %s of %s", name, known, type.sku());
        }
        ObjectNode answer = Web.object();
        answer.set("hoppers", known);
        return new Web.Answer(200, answer);
    }

    private synchronized Web.Answer giveBack(JsonNode body) {
        for (JsonNode name : body.path("hoppers")) {
            Machine machine = machines.remove(name.asText());
            if (machine != null) {
                machine.end();
                Journal.note("cloud: %s is returned", name.asText());
            }
        }
        return new Web.Answer(200, Web.object());
    }

    private synchronized Web.Answer list(Map<String, String> query) {
        ObjectNode answer = Web.object();
        ArrayNode list = answer.putArray("hoppers");
        for (Machine machine : machines.values()) {
            double age = Journal.seconds() - machine.rentedAt;
            if (age > listLagS && machine.name.compareTo(query.getOrDefault("since", "")) > 0) {
                list.addObject()
                        .put("uid", machine.name)
                        .put("addr", machine.address)
                        .put("build", machine.type.sku())
                        .put("yard", machine.yard)
                        .put("loaners", machine.spot)
                        .put("stage", age - listLagS > bootS ? "running" : "starting")
                        .put("age_s", age - listLagS);
            }
        }
        return new Web.Answer(200, answer.put("truncated", false));
    }

    /** A task on a machine. */
    private static final class Piece {
        final String name;
        final long attempt;
        final String uid;
        String stage = "pulling";
        String cause;
        double readyAt;
        double endAt;

        Piece(String name, long attempt) {
            this.name = name;
            this.attempt = attempt;
            this.uid = name.substring(0, name.indexOf('/'));
        }

        boolean isLive() {
            return cause == null;
        }
    }

    /** A machine with its worker. Guarded by itself. */
    private final class Machine {
        final String name;
        final Type type;
        final String yard;
        final boolean spot;
        final double rentedAt = Journal.seconds();
        final Map<String, Piece> pieces = new LinkedHashMap<>();
        final Set<String> images = new LinkedHashSet<>();
        String address = "";
        long shift = 1;
        long tally;
        long baton;
        double leaseSince;
        double answeredAt = -1;
        int node;
        boolean changed = true;
        volatile boolean ended;

        Machine(String name, Type type, String yard, boolean spot) {
            this.name = name;
            this.type = type;
            this.yard = yard;
            this.spot = spot;
            this.node = random.nextInt(nodes.size());
        }

        synchronized void end() {
            ended = true;
            for (Piece piece : pieces.values()) {
                if (piece.stage.equals("running")) {
                    observer.ended(name, piece.name, piece.attempt, "machine returned");
                }
            }
            pieces.clear();
        }

        synchronized String describe() {
            StringBuilder text = new StringBuilder(name).append(" (").append(type.sku()).append(", ").append(yard);
            text.append(spot ? ", spot" : "").append("), answered ");
            text.append(answeredAt < 0 ? "never" : String.format("%.1f s ago", Journal.seconds() - answeredAt));
            pieces.values().forEach(piece -> text.append(' ').append(piece.name).append(' ').append(piece.stage));
            return text.append(pieces.isEmpty() ? ", without tasks" : "").toString();
        }

        synchronized boolean isFree(double vcpus, double ramGb) {
            return !ended
                    && answeredAt >= 0
                    && Journal.seconds() - answeredAt < 2 * reportS
                    && fits(vcpus, ramGb);
        }

        private boolean fits(double vcpus, double ramGb) {
            double usedCpus = 0;
            double usedRam = 0;
            for (Piece piece : pieces.values()) {
                if (piece.isLive()) {
                    JsonNode job = jobs.get(piece.uid);
                    usedCpus += job.path("vcpus").asDouble();
                    usedRam += job.path("ram_gb").asDouble();
                }
            }
            return usedCpus + vcpus <= type.vcpus() + 1e-9 && usedRam + ramGb <= type.ramGb() + 1e-9;
        }

        void run() {
            try {
                Thread.sleep((long) (bootS * 1000));
                int port = Web.freePort();
                synchronized (this) {
                    address = "127.0.0.1:" + port;
                    leaseSince = Journal.seconds();
                }
                var server = Web.serve(port, this::handle);
                double nextReport = 0;
                double lastReport = -1;
                while (!ended) {
                    step();
                    double now = Journal.seconds();
                    boolean due;
                    synchronized (this) {
                        due = now >= nextReport || changed && now - lastReport >= 0.5;
                    }
                    if (due) {
                        lastReport = now;
                        double pause = report(now);
                        nextReport = pause >= 0 ? Journal.seconds() + pause : now + reportS * (0.75 + 0.5 * random.nextDouble());
                    }
                    Thread.sleep(20);
                }
                server.stop(0);
            } catch (Exception e) {
                Journal.note("%s: %s", name, e);
            }
        }

        /** Sends a report; returns a pause before the next one, or -1 for the usual interval. */
        private double report(double sentAt) {
            ObjectNode body;
            long sentShift;
            String target;
            synchronized (this) {
                tally++;
                changed = false;
                body = state();
                sentShift = shift;
                target = nodes.get(node);
            }
            Web.Answer answer = Web.call(addresses.get(target), "POST", "/agent/beat", body, 4_000);
            synchronized (this) {
                if (ended) {
                    return 0;
                }
                if (answer.status() == 200) {
                    long token = answer.body().path("baton").asLong();
                    if (token < baton || sentShift != shift || Journal.seconds() - sentAt > 4) {
                        return -1;
                    }
                    if (token > baton) {
                        baton = token;
                        changed = true;
                    }
                    leaseSince = sentAt;
                    answeredAt = Journal.seconds();
                    execute(answer.body().path("orders"));
                    return -1;
                }
                int named = answer.status() == 421 ? nodes.indexOf(answer.body().path("foreman").asText()) : -1;
                if (named >= 0 && named != node) {
                    node = named;
                    return 0.1;
                }
                node = (node + 1) % nodes.size();
                return 1;
            }
        }

        private synchronized ObjectNode state() {
            ObjectNode body = Web.object()
                    .put("hopper", name)
                    .put("addr", address)
                    .put("build", type.sku())
                    .put("yard", yard)
                    .put("loaners", spot)
                    .put("shift", shift)
                    .put("tally", tally)
                    .put("baton", baton);
            body.putNull("recall_s");
            ArrayNode list = body.putArray("pieces");
            for (Piece piece : pieces.values()) {
                ObjectNode node =
                        list.addObject().put("piece", piece.name).put("try", piece.attempt).put("stage", piece.stage);
                if (piece.cause != null) {
                    node.put("cause", piece.cause);
                }
            }
            return body;
        }

        private Web.Answer handle(String method, String path, Map<String, String> query, JsonNode body) {
            synchronized (this) {
                tally++;
                if (path.equals("/status")) {
                    return new Web.Answer(200, state());
                }
                if (!body.has("baton") || !body.has("shift")) {
                    return Web.error(400, "baton or shift is missing");
                }
                if (body.path("baton").asLong() < baton || body.path("shift").asLong() != shift) {
                    return new Web.Answer(409, state());
                }
                baton = body.path("baton").asLong();
                execute(body.path("orders"));
                return new Web.Answer(200, state());
            }
        }

        private void execute(JsonNode orders) {
            for (JsonNode order : orders) {
                String piece = order.path("piece").asText();
                long attempt = order.path("try").asLong();
                String key = piece + "#" + attempt;
                Piece known = pieces.get(key);
                changed = true;
                switch (order.path("verb").asText()) {
                    case "launch" -> {
                        if (known == null) {
                            pieces.put(key, launch(piece, attempt));
                        }
                    }
                    case "halt" -> {
                        if (known != null && known.isLive()) {
                            endPiece(known, "stopped");
                        }
                    }
                    case "reap" -> {
                        if (known != null && !known.isLive()) {
                            pieces.remove(key);
                        }
                    }
                    default -> {}
                }
            }
        }

        private Piece launch(String name, long attempt) {
            Piece piece = new Piece(name, attempt);
            JsonNode job = jobs.get(piece.uid);
            Journal.note("%s: launch %s, attempt %d", this.name, name, attempt);
            if (job == null) {
                refuse(piece, "no_such");
            } else if (pieces.values().stream().anyMatch(each -> each.name.equals(name) && each.isLive())) {
                refuse(piece, "busy");
            } else if (!fits(job.path("vcpus").asDouble(), job.path("ram_gb").asDouble())) {
                refuse(piece, "no_room");
            } else {
                String image = job.path("reel").asText();
                double pull = images.contains(image) ? 0 : job.path("image_gb").asDouble() / PULL_GB_PER_S;
                piece.readyAt = Journal.seconds() + pull;
            }
            return piece;
        }

        private void refuse(Piece piece, String cause) {
            piece.stage = "ended";
            piece.cause = cause;
        }

        private void endPiece(Piece piece, String cause) {
            boolean ran = piece.stage.equals("running");
            piece.stage = "ended";
            piece.cause = cause;
            changed = true;
            if (cause.equals("done")) {
                synchronized (completed) {
                    completed.add(piece.name);
                }
            }
            if (ran) {
                Journal.note("%s: %s, attempt %d, ends: %s", name, piece.name, piece.attempt, cause);
                observer.ended(name, piece.name, piece.attempt, cause);
            }
        }

        private synchronized void step() {
            double now = Journal.seconds();
            if (now - leaseSince > leaseS) {
                for (Piece piece : pieces.values()) {
                    if (piece.stage.equals("running")) {
                        observer.ended(name, piece.name, piece.attempt, "lease");
                    }
                }
                pieces.clear();
                shift++;
                leaseSince = now;
                changed = true;
            }
            for (Piece piece : pieces.values()) {
                if (piece.stage.equals("pulling") && now >= piece.readyAt) {
                    images.add(jobs.get(piece.uid).path("reel").asText());
                    piece.stage = "running";
                    changed = true;
                    boolean isKept;
                    synchronized (completed) {
                        isKept = completed.contains(piece.name);
                    }
                    piece.endAt = isKept ? now : now + Math.abs(runS.get(piece.uid));
                    Journal.note("%s: %s, attempt %d, starts", name, piece.name, piece.attempt);
                    observer.started(name, piece.name, piece.attempt);
                } else if (piece.stage.equals("running") && now >= piece.endAt) {
                    endPiece(piece, runS.get(piece.uid) < 0 ? "error" : "done");
                }
            }
        }
    }
}
