package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** Keeps the record of a run and judges by the protocol's rules what workers ran and what users were told. */
final class Judge {
    /** A job as its user has described it; with a negative run time it was submitted with a mistake and always fails. */
    record Job(
            String uid,
            String team,
            int pieces,
            double vcpus,
            double runSeconds,
            double stashSeconds,
            boolean saves,
            String yard,
            boolean oneZone,
            boolean spread,
            List<String> awaits,
            String build,
            boolean loaners) {
        static Job simple(String uid, String team, int pieces, double vcpus, double runSeconds) {
            return new Job(
                    uid, team, pieces, vcpus, runSeconds, 0, false, null, false, false, List.of(), null, true);
        }

        /** The same job on ordinary machines of one type in one zone only. */
        Job only(String onlyBuild, String onlyYard) {
            return new Job(
                    uid, team, pieces, vcpus, runSeconds, stashSeconds, saves, onlyYard, oneZone, spread, awaits,
                    onlyBuild, false);
        }
    }

    private static final class Told {
        boolean accepted;
        String last;
        long cancelToldNanos = -1;
        boolean asksCancel;
    }

    private final long startNanos = System.nanoTime();
    private final PrintWriter out;
    private final double cancelSeconds;
    private final Map<String, Double> teamLimits = new HashMap<>();
    final Map<String, Job> jobs = new ConcurrentHashMap<>();
    private final Map<String, Told> told = new ConcurrentHashMap<>();
    /** The machines on which a task is, by task, with the machine's zone. */
    private final Map<String, Map<String, String>> onMachines = new HashMap<>();
    private final Map<String, Set<Integer>> done = new HashMap<>();
    private final Map<String, Double> used = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    private final Set<String> startedJobs = new HashSet<>();
    private final Set<String> said = new HashSet<>();
    private final Map<String, Integer> counts = new TreeMap<>();
    int starts;
    /** How many lines of each frequent kind are kept. */
    int keptNotes = 40;

    Judge(Path record, double cancelSeconds) throws IOException {
        this.out = new PrintWriter(Files.newBufferedWriter(record), true);
        this.cancelSeconds = cancelSeconds;
    }

    void limit(String team, double cpus) {
        teamLimits.put(team, cpus);
    }

    double seconds() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    synchronized void note(String text) {
        out.printf("%8.3f  %s%n", seconds(), text);
    }

    /** Notes a line of a frequent kind: the first ones in full, all of them as a count at the end. */
    synchronized void note(String kind, String text) {
        int count = counts.merge(kind, 1, Integer::sum);
        if (count <= keptNotes) {
            note(text);
        }
    }

    synchronized void violation(String rule, String text) {
        if (said.add(rule + text)) {
            violations.add(rule + ": " + text);
            note("BROKEN " + rule + ": " + text);
        }
    }

    synchronized boolean broken(String rule) {
        return violations.stream().anyMatch(each -> each.startsWith(rule + ":"));
    }

    synchronized List<String> violations() {
        return List.copyOf(violations);
    }

    void add(Job job) {
        jobs.put(job.uid(), job);
        told.put(job.uid(), new Told());
    }

    synchronized int doneCount(String uid) {
        return done.getOrDefault(uid, Set.of()).size();
    }

    synchronized boolean isDone(String uid) {
        return doneCount(uid) == jobs.get(uid).pieces();
    }

    synchronized boolean hasResult(String uid, int index) {
        return done.getOrDefault(uid, Set.of()).contains(index);
    }

    /** True if a task of the job was ever started. */
    synchronized boolean hasStarted(String uid) {
        return startedJobs.contains(uid);
    }

    synchronized void started(String uid, int index, String machine, String zone) {
        starts++;
        startedJobs.add(uid);
        Job job = jobs.get(uid);
        String task = uid + "/" + index;
        note("start", "start " + task + " on " + machine);
        Map<String, String> machines = onMachines.computeIfAbsent(task, key -> new HashMap<>());
        for (String other : machines.keySet()) {
            if (!other.equals(machine)) {
                violation("ran_twice", task + " starts on " + machine + " while it is on " + other);
            }
        }
        if (machines.put(machine, zone) == null) {
            used.merge(job.team(), job.vcpus(), Double::sum);
        }
        Double limit = teamLimits.get(job.team());
        if (limit != null && used.get(job.team()) > limit + 1e-6) {
            violation("quota", job.team() + " uses " + used.get(job.team()) + " of " + limit);
        }
        for (String earlier : job.awaits()) {
            if (!isDone(earlier)) {
                violation("too_early", task + " starts before " + earlier + " is done");
            }
        }
        checkZones(job, task, zone);
        checkCancelled(uid, index, machine, "starts");
    }

    private void checkZones(Job job, String task, String zone) {
        if (job.yard() != null && !job.yard().equals(zone)) {
            violation("wrong_place", task + " starts in zone " + zone);
        }
        if (!job.oneZone() && !job.spread()) {
            return;
        }
        int inZone = 0;
        int elsewhere = 0;
        for (int index = 0; index < job.pieces(); index++) {
            for (String each : onMachines.getOrDefault(job.uid() + "/" + index, Map.of()).values()) {
                inZone += each.equals(zone) ? 1 : 0;
                elsewhere += each.equals(zone) ? 0 : 1;
            }
        }
        if (job.oneZone() && elsewhere > 0 || job.spread() && inZone > (job.pieces() + 1) / 2) {
            violation("wrong_place", task + " starts in zone " + zone + " beside " + inZone + "/" + elsewhere);
        }
    }

    synchronized void ended(String uid, int index, String machine, String cause) {
        String task = uid + "/" + index;
        Map<String, String> machines = onMachines.getOrDefault(task, Map.of());
        if (machines.containsKey(machine)) {
            machines.remove(machine);
            used.merge(jobs.get(uid).team(), -jobs.get(uid).vcpus(), Double::sum);
        }
        if (cause.equals("done")) {
            done.computeIfAbsent(uid, key -> new HashSet<>()).add(index);
        }
        note("end", "end " + task + " on " + machine + ": " + cause);
    }

    /** Checks the tasks that are on machines; to be called about once a second. */
    synchronized void look() {
        onMachines.forEach((task, machines) -> {
            int slash = task.indexOf('/');
            for (String machine : machines.keySet()) {
                checkCancelled(
                        task.substring(0, slash), Integer.parseInt(task.substring(slash + 1)), machine, "is");
            }
        });
    }

    private void checkCancelled(String uid, int index, String machine, String verb) {
        long at = told.get(uid).cancelToldNanos;
        if (at >= 0 && System.nanoTime() - at > cancelSeconds * 1e9) {
            violation("ran_cancelled", uid + "/" + index + " " + verb + " on " + machine + " too long after its cancel");
        }
    }

    synchronized void asksCancel(String uid) {
        told.get(uid).asksCancel = true;
    }

    /** A user got an answer about a job; {@code sentNanos} is when the question was sent. */
    synchronized void told(String uid, int node, String question, int status, String stage, long sentNanos) {
        Told so = told.get(uid);
        note("told", question + " " + uid + " at node " + node + " -> " + status + " " + stage);
        if (so == null) {
            return;
        }
        if (status == 404 && so.accepted && question.equals("poll")
                || (status == 400 || status == 422) && so.accepted && question.equals("submit")) {
            violation("forgotten", question + " of the accepted job " + uid + " got " + status);
        }
        if (status != 200 && status != 201) {
            return;
        }
        so.accepted = true;
        if (stage.equals("done") && !isDone(uid)) {
            violation("not_done", uid + " is called done after " + doneCount(uid) + " tasks");
        }
        if (so.last != null && !so.last.equals(stage)) {
            violation("went_back", uid + " was called " + so.last + " and is called " + stage);
        }
        if (stage.equals("withdrawn") && !so.asksCancel) {
            if (!mayBeCancelledWith(uid)) {
                violation("went_back", uid + " is called cancelled, which nobody asked for");
            }
        }
        if (stage.equals("done") || stage.equals("withdrawn")) {
            so.last = stage;
        }
        if (stage.equals("withdrawn") && so.asksCancel && so.cancelToldNanos < 0) {
            so.cancelToldNanos = System.nanoTime();
        }
    }

    /** True if the user has asked to cancel a job that this one needs, directly or through others. */
    private boolean mayBeCancelledWith(String uid) {
        return jobs.get(uid).awaits().stream()
                .anyMatch(each -> told.get(each).asksCancel || mayBeCancelledWith(each));
    }

    boolean accepted(String uid) {
        return told.get(uid).accepted;
    }

    String last(String uid) {
        return told.get(uid).last;
    }

    synchronized void close() {
        counts.forEach((kind, count) -> note("in all: " + count + " of kind " + kind));
        out.close();
    }
}
