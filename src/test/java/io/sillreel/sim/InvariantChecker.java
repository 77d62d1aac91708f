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

/** Checks the responses to users and the starts of tasks against the service's guarantees, and records violations. */
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
    /** The machines on which each task was ever started, the only ones on which it can run. */
    private final Map<String, Set<SimWorker>> startedOn = new HashMap<>();

    private final Set<String> storedMachines = new HashSet<>();
    private long storedMachinesRevision = -1;
    private int startCount;

    InvariantChecker(SimCluster cluster) {
        this.cluster = cluster;
    }

    /** Records that a user has submitted the job. */
    void submitted(String uid, int taskCount, boolean inOneZone, List<String> dependencyIds) {
        dependencies.putIfAbsent(uid, dependencyIds);
        if (taskCounts.putIfAbsent(uid, taskCount) == null && inOneZone) {
            singleZoneJobs.add(uid);
        }
    }

    void cancellationRequested(String uid) {
        cancellationRequested.add(uid);
    }

    /** Checks the response to a submission. */
    HttpResponse submissionAnswered(String uid, HttpResponse response, long sentAt) {
        if (response.status() == 201 || response.status() == 200) {
            stageAnswered(uid, response.json().path("stage").asText(), sentAt);
        } else if (isAcceptanceReported(uid, sentAt) && (response.status() == 400 || response.status() == 422)) {
            recordViolation("forgotten " + uid);
        }
        return response;
    }

    /** Checks the response to a poll. */
    HttpResponse pollAnswered(String uid, HttpResponse response, long sentAt) {
        if (response.isOk()) {
            stageAnswered(uid, response.json().path("stage").asText(), sentAt);
        } else if (response.status() == 404 && isAcceptanceReported(uid, sentAt)) {
            recordViolation("forgotten " + uid);
        }
        return response;
    }

    /** Checks the response to a cancellation. */
    HttpResponse cancellationAnswered(String uid, HttpResponse response, long sentAt) {
        if (response.isOk()) {
            stageAnswered(uid, response.json().path("stage").asText(), sentAt);
        }
        return response;
    }

    /** Returns the stage of the job last reported to a user, or null if none has been reported. */
    String stageAnswered(String uid) {
        return answeredStages.get(uid);
    }

    /** Records a violation. */
    void recordViolation(String rule) {
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

    /** True if the acceptance of the job had been reported to a user before the request was sent. */
    boolean isAcceptanceReported(String uid, long sentAt) {
        return answeredStages.containsKey(uid) && answeredMicros.get(uid) <= sentAt;
    }

    /**
     * Checks a stage reported to a user. A request that was in flight when the job ended may still be answered with the
     * previous stage.
     */
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
                violations.add("went_back " + uid + " is reported as withdrawn without a cancellation request");
            }
        } else if (!stage.equals("done")
                && dependencyClosure(uid)
                        .anyMatch(dependency -> cancelledMicros.containsKey(dependency)
                                && cancelledMicros.get(dependency)
                                                + cluster.settings().workers().cancelMicros()
                                        < sentAt)) {
            violations.add("orphaned " + uid + " is reported as " + stage);
        }
        if (stage.equals("done")) {
            for (int index = 0; index < taskCounts.getOrDefault(uid, 0); index++) {
                if (!completed.contains(uid + "/" + index)) {
                    violations.add("not_done " + uid + "/" + index);
                }
            }
        }
    }

    /** Returns the job and its transitive dependencies. */
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

    /** Makes the tasks of the job fail on every machine. */
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

    /** Checks the start of a task on a machine. */
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
            violations.add("quota exceeded by the start of " + taskId);
        }
        if (!isStoredAsUp(worker.name())) {
            violations.add("unstored " + worker.name() + ", on which " + taskId + " starts");
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

    /** A new leader looks for running tasks only on the machines that the stored scale-out requests list as up. */
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

    /** Checks periodically that tasks of cancelled jobs end within the cancellation time. */
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
