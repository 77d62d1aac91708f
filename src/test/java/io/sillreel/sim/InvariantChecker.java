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
    private final Set<String> mistaken = new HashSet<>();
    private final Map<String, Integer> pieces = new HashMap<>();
    private final Map<String, String> told = new HashMap<>();
    private final Map<String, Long> toldMicros = new HashMap<>();
    private final Map<String, Long> cancelledAt = new HashMap<>();
    private final Set<String> cancelAsked = new HashSet<>();
    private final Map<String, List<String>> awaits = new HashMap<>();
    private final Set<String> oneZone = new HashSet<>();
    private final List<String> startsOfCancelled = new ArrayList<>();
    private final List<String> broken = new ArrayList<>();
    /** Where each task has ever been started: nowhere else can it run. */
    private final Map<String, Set<SimWorker>> startedOn = new HashMap<>();

    private final Set<String> storedUp = new HashSet<>();
    private long storedUpLedger = -1;
    private int starts;

    InvariantChecker(SimCluster cluster) {
        this.cluster = cluster;
    }

    /** A user has asked for the job to be run. */
    void submitted(String uid, int tasks, boolean inOneZone, List<String> awaited) {
        awaits.putIfAbsent(uid, awaited);
        if (pieces.putIfAbsent(uid, tasks) == null && inOneZone) {
            oneZone.add(uid);
        }
    }

    void cancellationAsked(String uid) {
        cancelAsked.add(uid);
    }

    /** A submission was answered. */
    HttpResponse submissionAnswered(String uid, HttpResponse response, long asked) {
        if (response.status() == 201 || response.status() == 200) {
            told(uid, response.json().path("stage").asText(), asked);
        } else if (isKnown(uid, asked) && (response.status() == 400 || response.status() == 422)) {
            broke("forgotten " + uid);
        }
        return response;
    }

    /** A poll was answered. */
    HttpResponse pollAnswered(String uid, HttpResponse response, long asked) {
        if (response.isOk()) {
            told(uid, response.json().path("stage").asText(), asked);
        } else if (response.status() == 404 && isKnown(uid, asked)) {
            broke("forgotten " + uid);
        }
        return response;
    }

    /** A request to cancel was answered. */
    HttpResponse cancellationAnswered(String uid, HttpResponse response, long asked) {
        if (response.isOk()) {
            told(uid, response.json().path("stage").asText(), asked);
        }
        return response;
    }

    /** What users were last told of the job, or null. */
    String told(String uid) {
        return told.get(uid);
    }

    /** A rule was broken. */
    void broke(String rule) {
        broken.add(rule);
    }

    List<String> broken() {
        return broken;
    }

    int starts() {
        return starts;
    }

    List<String> startsOfCancelled() {
        return startsOfCancelled;
    }

    /** True if a user had been told that the job is accepted before this was asked. */
    boolean isKnown(String uid, long asked) {
        return told.containsKey(uid) && toldMicros.get(uid) <= asked;
    }

    /** What a user was told, and since when; a question that was under way by then may still be answered as it was. */
    void told(String uid, String stage, long asked) {
        String before = told.get(uid);
        boolean over = before != null && (before.equals("done") || before.equals("withdrawn"));
        if (over && !before.equals(stage)) {
            boolean contradicts = stage.equals("done") || stage.equals("withdrawn");
            if (contradicts || toldMicros.get(uid) <= asked) {
                broken.add("went_back " + uid + " from " + before + " to " + stage);
            }
            return;
        }
        told.put(uid, stage);
        if (before == null || !over && (stage.equals("done") || stage.equals("withdrawn"))) {
            toldMicros.put(uid, cluster.time().nowMicros());
        }
        if (stage.equals("withdrawn")) {
            cancelledAt.putIfAbsent(uid, cluster.time().nowMicros());
            if (neededBy(uid).noneMatch(cancelAsked::contains)) {
                broken.add("went_back " + uid + " is called withdrawn, and nobody asked for that");
            }
        } else if (!stage.equals("done")
                && neededBy(uid)
                        .anyMatch(needed -> cancelledAt.containsKey(needed)
                                && cancelledAt.get(needed)
                                                + cluster.settings().workers().cancelMicros()
                                        < asked)) {
            broken.add("orphaned " + uid + " is called " + stage);
        }
        if (stage.equals("done")) {
            for (int piece = 0; piece < pieces.getOrDefault(uid, 0); piece++) {
                if (!completed.contains(uid + "/" + piece)) {
                    broken.add("not_done " + uid + "/" + piece);
                }
            }
        }
    }

    /** The job and all that it needs, directly or through others. */
    Stream<String> neededBy(String uid) {
        Set<String> all = new LinkedHashSet<>(List.of(uid));
        Deque<String> open = new ArrayDeque<>(all);
        while (!open.isEmpty()) {
            awaits.getOrDefault(open.poll(), List.of()).stream()
                    .filter(all::add)
                    .forEach(open::add);
        }
        return all.stream();
    }

    /** Jobs whose tasks fail on every machine. */
    void mistaken(String uid) {
        mistaken.add(uid);
    }

    boolean isMistaken(String uid) {
        return mistaken.contains(uid);
    }

    void completed(String piece) {
        completed.add(piece);
    }

    boolean isCompleted(String piece) {
        return completed.contains(piece);
    }

    /** A worker starts a task. */
    void started(SimWorker worker, String piece) {
        starts++;
        for (SimWorker other : startedOn.computeIfAbsent(piece, each -> new LinkedHashSet<>())) {
            long here = other.runningTasks().stream().filter(piece::equals).count();
            if (here > (other == worker ? 1 : 0)) {
                broken.add("ran_twice " + piece + " on " + other.name() + " and " + worker.name());
            }
        }
        startedOn.get(piece).add(worker);
        double most = cluster.settings().teams().get("t").maxCpus();
        if (most > 0 && cluster.runningTaskCount() > most) {
            broken.add("quota at " + piece);
        }
        if (!storedAsUp(worker.name())) {
            broken.add("unstored " + worker.name() + ", where " + piece + " starts");
        }
        String uid = piece.substring(0, piece.indexOf('/'));
        for (String needed : awaits.getOrDefault(uid, List.of())) {
            for (int each = 0; each < pieces.getOrDefault(needed, 0); each++) {
                if (!completed.contains(needed + "/" + each)) {
                    broken.add("too_early " + piece + " before " + needed + "/" + each);
                }
            }
        }
        Long cancelled = neededBy(uid)
                .map(cancelledAt::get)
                .filter(Objects::nonNull)
                .min(Long::compare)
                .orElse(null);
        if (cancelled != null) {
            startsOfCancelled.add(piece + " after " + (cluster.time().nowMicros() - cancelled) / 1_000 + " ms");
        }
        boolean apart = oneZone.contains(uid)
                && cluster.cloud().machines().values().stream()
                        .anyMatch(other -> !other.zone().equals(worker.zone())
                                && other.runningTasks().stream().anyMatch(task -> task.startsWith(uid + "/")));
        if (apart) {
            broken.add("wrong_place " + piece + " in " + worker.zone());
        }
    }

    /** A successor looks for tasks where the stored rentals say that they can be. */
    private boolean storedAsUp(String machine) {
        if (cluster.store().revision() != storedUpLedger) {
            storedUpLedger = cluster.store().revision();
            storedUp.clear();
            for (String key : cluster.store().keysWithPrefix("hire/")) {
                for (JsonNode up : cluster.store().value(key).path("up")) {
                    storedUp.add(up.asText());
                }
            }
        }
        return storedUp.contains(machine);
    }

    /** Looks from now on whether tasks of cancelled jobs are gone in time. */
    void watch() {
        cluster.time().after(SECOND / 5, this::watch);
        for (SimWorker worker : cluster.cloud().machines().values()) {
            for (String piece : worker.runningTasks()) {
                Long at = cancelledAt.get(piece.substring(0, piece.indexOf('/')));
                if (at != null
                        && cluster.time().nowMicros() - at
                                > cluster.settings().workers().cancelMicros()) {
                    broken.add("ran_cancelled " + piece + " on " + worker.name());
                }
            }
        }
    }
}
