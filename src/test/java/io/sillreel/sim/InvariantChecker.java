package io.sillreel.sim;

import com.fasterxml.jackson.databind.JsonNode;
import io.sillreel.http.HttpResponse;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.stream.Stream;

/** Watches from outside what users are told and where tasks run, and notes every rule that is broken. */
final class InvariantChecker {
    private static final long SECOND = 1_000_000;

    private final SimCluster cluster;
    private final Set<String> completed = new HashSet<>();
    private final Set<String> failingJobs = new HashSet<>();
    private final Map<String, Integer> taskCounts = new HashMap<>();
    private final Map<String, String> answeredStages = new HashMap<>();
    private final Map<String, Long> answeredMicros = new HashMap<>();
    private final Map<String, Long> cancelledMicros = new HashMap<>();
    private final Set<String> cancellationRequested = new HashSet<>();
    private final Map<String, List<String>> dependencies = new HashMap<>();
    private final Set<String> singleZoneJobs = new HashSet<>();
    private final List<String> startsAfterCancellation = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();
    /** Where each task has ever been started: nowhere else can it run. */
    private final Map<String, Set<SimWorker>> startedOn = new HashMap<>();

    private final Set<String> storedMachines = new HashSet<>();
    private long storedMachinesRevision = -1;
    private int startCount;

    InvariantChecker(SimCluster cluster) {
        this.cluster = cluster;
    }

    /** A user has asked for the job to be run. */
    void submitted(String uid, int tasks, boolean inOneZone, List<String> awaits) {
        dependencies.putIfAbsent(uid, awaits);
        if (taskCounts.putIfAbsent(uid, tasks) == null && inOneZone) {
            singleZoneJobs.add(uid);
        }
    }

    void cancellationRequested(String uid) {
        cancellationRequested.add(uid);
    }

    /** A submission was answered. */
    HttpResponse submissionAnswered(String uid, HttpResponse response, long sentAt) {
        if (response.status() == 201 || response.status() == 200) {
            stageAnswered(uid, response.json().path("stage").asText(), sentAt);
        } else if (isKnown(uid, sentAt) && (response.status() == 400 || response.status() == 422)) {
            violated("forgotten " + uid);
        }
        return response;
    }

    /** A poll was answered. */
    HttpResponse pollAnswered(String uid, HttpResponse response, long sentAt) {
        if (response.isOk()) {
            stageAnswered(uid, response.json().path("stage").asText(), sentAt);
        } else if (response.status() == 404 && isKnown(uid, sentAt)) {
            violated("forgotten " + uid);
        }
        return response;
    }

    /** A request to cancel was answered. */
    HttpResponse cancellationAnswered(String uid, HttpResponse response, long sentAt) {
        if (response.isOk()) {
            stageAnswered(uid, response.json().path("stage").asText(), sentAt);
        }
        return response;
    }

    /** What users were last told of the job, or null. */
    String stageAnswered(String uid) {
        return answeredStages.get(uid);
    }

    /** A rule was broken. */
    void violated(String rule) {
        violations.add(rule);
    }

    List<String> violations() {
        return violations;
    }

    int startCount() {
        return startCount;
    }

    List<String> startsAfterCancellation() {
        return startsAfterCancellation;
    }

    /** True if a user had been told that the job is accepted before this was asked. */
    boolean isKnown(String uid, long sentAt) {
        return answeredStages.containsKey(uid) && answeredMicros.get(uid) <= sentAt;
    }

    /** What a user was told, and since when; a question that was under way by then may still be answered as it was. */
    void stageAnswered(String uid, String stage, long sentAt) {
        String previous = answeredStages.get(uid);
        boolean terminal = previous != null && (previous.equals("done") || previous.equals("withdrawn"));
        if (terminal && !previous.equals(stage)) {
            boolean contradicts = stage.equals("done") || stage.equals("withdrawn");
            if (contradicts || answeredMicros.get(uid) <= sentAt) {
                violations.add("went_back " + uid + " from " + previous + " to " + stage);
            }
            return;
        }
        answeredStages.put(uid, stage);
        if (previous == null || !terminal && (stage.equals("done") || stage.equals("withdrawn"))) {
            answeredMicros.put(uid, cluster.time().nowMicros());
        }
        if (stage.equals("withdrawn")) {
            cancelledMicros.putIfAbsent(uid, cluster.time().nowMicros());
            if (dependencyClosure(uid).noneMatch(cancellationRequested::contains)) {
                violations.add("went_back " + uid + " is called withdrawn, and nobody asked for that");
            }
        } else if (!stage.equals("done")
                && dependencyClosure(uid)
                        .anyMatch(dependency -> cancelledMicros.containsKey(dependency)
                                && cancelledMicros.get(dependency)
                                                + cluster.settings().workers().cancelMicros()
                                        < sentAt)) {
            violations.add("orphaned " + uid + " is called " + stage);
        }
        if (stage.equals("done")) {
            for (int index = 0; index < taskCounts.getOrDefault(uid, 0); index++) {
                if (!completed.contains(uid + "/" + index)) {
                    violations.add("not_done " + uid + "/" + index);
                }
            }
        }
    }

    /** The job and all that it needs, directly or through others. */
    Stream<String> dependencyClosure(String uid) {
        Set<String> closure = new LinkedHashSet<>(List.of(uid));
        Deque<String> queue = new ArrayDeque<>(closure);
        while (!queue.isEmpty()) {
            dependencies.getOrDefault(queue.poll(), List.of()).stream()
                    .filter(closure::add)
                    .forEach(queue::add);
        }
        return closure.stream();
    }

    /** Jobs whose tasks fail on every machine. */
    void failTasksOf(String uid) {
        failingJobs.add(uid);
    }

    boolean hasFailingTasks(String uid) {
        return failingJobs.contains(uid);
    }

    void completed(String taskId) {
        completed.add(taskId);
    }

    boolean isCompleted(String taskId) {
        return completed.contains(taskId);
    }

    /** A worker starts a task. */
    void started(SimWorker worker, String taskId) {
        startCount++;
        for (SimWorker other : startedOn.computeIfAbsent(taskId, each -> new LinkedHashSet<>())) {
            long attemptsThere =
                    other.runningTasks().stream().filter(taskId::equals).count();
            if (attemptsThere > (other == worker ? 1 : 0)) {
                violations.add("ran_twice " + taskId + " on " + other.name() + " and " + worker.name());
            }
        }
        startedOn.get(taskId).add(worker);
        double maxCpus = cluster.settings().teams().get("t").maxCpus();
        if (maxCpus > 0 && cluster.runningTaskCount() > maxCpus) {
            violations.add("quota at " + taskId);
        }
        if (!isStoredAsUp(worker.name())) {
            violations.add("unstored " + worker.name() + ", where " + taskId + " starts");
        }
        String uid = taskId.substring(0, taskId.indexOf('/'));
        for (String dependency : dependencies.getOrDefault(uid, List.of())) {
            for (int each = 0; each < taskCounts.getOrDefault(dependency, 0); each++) {
                if (!completed.contains(dependency + "/" + each)) {
                    violations.add("too_early " + taskId + " before " + dependency + "/" + each);
                }
            }
        }
        Long cancelledAt = dependencyClosure(uid)
                .map(cancelledMicros::get)
                .filter(Objects::nonNull)
                .min(Long::compare)
                .orElse(null);
        if (cancelledAt != null) {
            startsAfterCancellation.add(
                    taskId + " after " + (cluster.time().nowMicros() - cancelledAt) / 1_000 + " ms");
        }
        boolean acrossZones = singleZoneJobs.contains(uid)
                && cluster.cloud().machines().values().stream()
                        .anyMatch(other -> !other.zone().equals(worker.zone())
                                && other.runningTasks().stream().anyMatch(task -> task.startsWith(uid + "/")));
        if (acrossZones) {
            violations.add("wrong_place " + taskId + " in " + worker.zone());
        }
    }

    /** A successor looks for tasks where the stored rentals say that they can be. */
    private boolean isStoredAsUp(String machine) {
        if (cluster.store().revision() != storedMachinesRevision) {
            storedMachinesRevision = cluster.store().revision();
            storedMachines.clear();
            for (String key : cluster.store().keysWithPrefix("hire/")) {
                for (JsonNode up : cluster.store().value(key).path("up")) {
                    storedMachines.add(up.asText());
                }
            }
        }
        return storedMachines.contains(machine);
    }

    /** Looks from now on whether tasks of cancelled jobs are gone in time. */
    void monitorCancelledTasks() {
        cluster.time().after(SECOND / 5, this::monitorCancelledTasks);
        for (SimWorker worker : cluster.cloud().machines().values()) {
            for (String taskId : worker.runningTasks()) {
                Long cancelledAt = cancelledMicros.get(taskId.substring(0, taskId.indexOf('/')));
                if (cancelledAt != null
                        && cluster.time().nowMicros() - cancelledAt
                                > cluster.settings().workers().cancelMicros()) {
                    violations.add("ran_cancelled " + taskId + " on " + worker.name());
                }
            }
        }
    }
}
