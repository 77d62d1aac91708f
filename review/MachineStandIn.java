package review2;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** A machine with its worker, after the protocol's page. */
final class MachineStandIn {
    private static final double ANSWER_SECONDS = 4;
    private static final double FETCH_SECONDS = 0.3;

    private static final class Task {
        final Judge.Job job;
        final String piece;
        final int index;
        final long attempt;
        String stage = "pulling";
        String cause;
        boolean kept;
        double stageSeconds;
        boolean isOn;

        Task(Judge.Job job, String piece, int index, long attempt) {
            this.job = job;
            this.piece = piece;
            this.index = index;
            this.attempt = attempt;
        }
    }

    final String name;
    final CloudStandIn.Build build;
    final String zone;
    final boolean isSpot;
    private final Judge judge;
    private final List<String> nodes;
    private final double reportSeconds;
    private final double leaseSeconds;
    private final Random random;
    private final Desk desk;
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private final long startNanos = System.nanoTime();
    private int node;
    private long shift = 1;
    private long tally;
    private long baton;
    private double leaseStart;
    private double lastReport = -1;
    private boolean changed = true;
    volatile boolean gone;
    /** The machine's packets are lost both ways while this is set. */
    volatile boolean cut;
    /** Tasks that fail at once on this machine. */
    volatile boolean sick;
    volatile Double recallSeconds;

    MachineStandIn(
            String name,
            CloudStandIn.Build build,
            String zone,
            boolean isSpot,
            Judge judge,
            List<String> nodes,
            double reportSeconds,
            double leaseSeconds)
            throws IOException {
        this.name = name;
        this.build = build;
        this.zone = zone;
        this.isSpot = isSpot;
        this.judge = judge;
        this.nodes = nodes;
        this.reportSeconds = reportSeconds;
        this.leaseSeconds = leaseSeconds;
        this.random = new Random(name.hashCode());
        this.node = random.nextInt(nodes.size());
        this.desk = new Desk(this::direct);
        start(this::reportForEver, name + "-report");
        start(this::work, name + "-work");
    }

    private static void start(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    String address() {
        return desk.address();
    }

    /** The machine and all that is on it are gone. */
    synchronized void vanish() {
        if (!gone) {
            gone = true;
            tasks.values().forEach(task -> leave(task, "gone"));
            tasks.clear();
            desk.stop();
        }
    }

    synchronized int liveTasks() {
        return (int) tasks.values().stream().filter(task -> task.cause == null).count();
    }

    private double now() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    private void reportForEver() {
        Wire wire = new Wire(nodes.get(node));
        try {
            while (!gone) {
                double due = lastReport + reportSeconds * (0.75 + random.nextDouble() / 2);
                while (!gone && now() < due && !(changed && now() - lastReport >= 0.5)) {
                    Thread.sleep(20);
                }
                if (gone) {
                    break;
                }
                ObjectNode report;
                long sentShift;
                double sent;
                synchronized (this) {
                    changed = false;
                    report = report();
                    sentShift = shift;
                    sent = now();
                    lastReport = sent;
                }
                Wire.Reply reply;
                if (cut) {
                    for (double until = sent + ANSWER_SECONDS; now() < until && cut && !gone; ) {
                        Thread.sleep(20);
                    }
                    wire.close();
                    reply = Wire.Reply.NONE;
                } else {
                    reply = wire.post("/agent/beat", report, (int) (ANSWER_SECONDS * 1_000));
                    if (cut) {
                        reply = Wire.Reply.NONE;
                    }
                }
                if (gone) {
                    break;
                }
                int next = take(reply, sentShift, sent);
                if (next >= 0) {
                    wire.close();
                    node = next;
                    wire = new Wire(nodes.get(node));
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        wire.close();
    }

    /** Takes the answer to a report; returns the node to change to, or -1. */
    private int take(Wire.Reply reply, long sentShift, double sent) throws InterruptedException {
        if (reply.status() == 200) {
            JsonNode body = reply.json();
            synchronized (this) {
                long token = body.path("baton").asLong(-1);
                if (gone || sentShift != shift || token < baton) {
                    return -1;
                }
                changed |= token > baton;
                baton = token;
                leaseStart = Math.max(leaseStart, sent);
                execute(body.path("orders"));
            }
            return -1;
        }
        if (reply.status() == 421) {
            String name = reply.json().path("foreman").asText("");
            int target = name.startsWith("hopper-") ? Integer.parseInt(name.substring(7)) : -1;
            if (target >= 0 && target < nodes.size() && target != node) {
                lastReport = now() - reportSeconds * 1.25 + random.nextDouble() / 2;
                return target;
            }
        }
        Thread.sleep(1_000);
        lastReport = now() - reportSeconds * 1.25;
        return (node + 1) % nodes.size();
    }

    private synchronized ObjectNode report() {
        ObjectNode body = Wire.object()
                .put("hopper", name)
                .put("addr", address())
                .put("build", build.sku())
                .put("yard", zone)
                .put("loaners", isSpot)
                .put("shift", shift)
                .put("tally", ++tally)
                .put("baton", baton)
                .put("recall_s", recallSeconds);
        ArrayNode pieces = body.putArray("pieces");
        for (Task task : tasks.values()) {
            ObjectNode piece = pieces.addObject()
                    .put("piece", task.piece)
                    .put("try", task.attempt)
                    .put("stage", task.stage);
            if (task.cause != null) {
                piece.put("cause", task.cause);
            }
            if (task.kept) {
                piece.put("kept", true);
            }
        }
        return body;
    }

    private Desk.Answer direct(String method, String path, String query, JsonNode body) throws InterruptedException {
        while (cut && !gone) {
            Thread.sleep(20);
        }
        synchronized (this) {
            if (gone) {
                return null;
            }
            if (path.equals("/status")) {
                return Desk.Answer.of(200, report());
            }
            if (!body.has("baton") || !body.has("shift")) {
                return Desk.Answer.error(400, "baton or shift is missing");
            }
            long token = body.path("baton").asLong();
            if (token < baton || body.path("shift").asLong() != shift) {
                return Desk.Answer.of(409, report());
            }
            changed |= token > baton;
            baton = token;
            execute(body.path("orders"));
            return Desk.Answer.of(200, report());
        }
    }

    private void execute(JsonNode orders) {
        for (JsonNode order : orders) {
            String piece = order.path("piece").asText();
            long attempt = order.path("try").asLong();
            String key = piece + "#" + attempt;
            Task task = tasks.get(key);
            switch (order.path("verb").asText()) {
                case "launch" -> {
                    if (task == null) {
                        launch(key, piece, attempt);
                        changed = true;
                    }
                }
                case "halt" -> {
                    if (task != null && task.cause == null) {
                        halt(task, order.path("wind_down_s").asDouble());
                        changed = true;
                    }
                }
                case "reap" -> {
                    if (task != null && task.cause != null) {
                        tasks.remove(key);
                        changed = true;
                    }
                }
                default -> judge.note("unknown order " + order);
            }
        }
    }

    private void launch(String key, String piece, long attempt) {
        int slash = piece.lastIndexOf('/');
        Judge.Job job = judge.jobs.get(piece.substring(0, slash));
        int index = Integer.parseInt(piece.substring(slash + 1));
        Task task = new Task(job, piece, index, attempt);
        double used = 0;
        boolean busy = false;
        for (Task other : tasks.values()) {
            if (other.cause == null) {
                used += other.job.vcpus();
                busy |= other.piece.equals(piece);
            }
        }
        tasks.put(key, task);
        if (job == null || index >= job.pieces()) {
            end(task, "no_such");
        } else if (busy) {
            end(task, "busy");
        } else if (used + job.vcpus() > build.vcpus() + 1e-6) {
            end(task, "no_room");
        }
        task.stageSeconds = now();
    }

    private void halt(Task task, double windDown) {
        boolean canSave = task.job.saves() && windDown >= task.job.stashSeconds();
        if (task.stage.equals("flushing") && windDown > 0) {
            return;
        }
        if (task.stage.equals("running") && canSave && windDown > 0) {
            task.stage = "flushing";
            task.stageSeconds = now();
        } else {
            end(task, "stopped");
        }
    }

    private void end(Task task, String cause) {
        task.stage = "ended";
        task.cause = cause;
        changed = true;
        leave(task, cause);
    }

    private void leave(Task task, String cause) {
        if (task.isOn) {
            task.isOn = false;
            judge.ended(task.job.uid(), task.index, name, cause);
        }
    }

    private void work() {
        try {
            while (!gone) {
                Thread.sleep(20);
                synchronized (this) {
                    if (gone) {
                        return;
                    }
                    double now = now();
                    if (now - leaseStart > leaseSeconds) {
                        judge.note("lease", "the lease of " + name + " ends, with " + liveTasks() + " tasks");
                        tasks.values().forEach(task -> leave(task, "lease"));
                        tasks.clear();
                        shift++;
                        leaseStart = now;
                        changed = true;
                    }
                    for (Task task : tasks.values()) {
                        advance(task, now);
                    }
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void advance(Task task, double now) {
        if (task.stage.equals("pulling") && now - task.stageSeconds > FETCH_SECONDS) {
            task.stage = "running";
            task.stageSeconds = now;
            task.isOn = true;
            changed = true;
            judge.started(task.job.uid(), task.index, name, zone);
            if (judge.hasResult(task.job.uid(), task.index)) {
                end(task, "done");
            } else if (sick || task.job.runSeconds() < 0) {
                end(task, "error");
            }
        } else if (task.stage.equals("running") && now - task.stageSeconds > task.job.runSeconds()) {
            end(task, "done");
        } else if (task.stage.equals("flushing") && now - task.stageSeconds > task.job.stashSeconds()) {
            task.kept = true;
            end(task, "stopped");
        }
    }
}
