package io.sillreel.leadership;

import static io.sillreel.leadership.StoredStateReader.keySuffix;

import io.sillreel.cluster.ScaleOutRequest;
import io.sillreel.leadership.StoredState.StoredJob;
import io.sillreel.pipeline.ChunkKey;
import io.sillreel.pipeline.JobIdSet;
import io.sillreel.pipeline.PlanRecord;
import io.sillreel.pipeline.PlanRecordCodec;
import io.sillreel.pipeline.RunRecord;
import io.sillreel.pipeline.RunRecordCodec;
import io.sillreel.pipeline.StoredChunks;
import io.sillreel.statestore.PendingWrite;
import io.sillreel.statestore.StoredEntry;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongPredicate;

/**
 * Puts the jobs of a stored state together from pages of plans, records and parts of done sets. Plans and records come
 * in the order of their ids, each list by itself. A plan is judged once the records have been read up to its id, and
 * the next page of plans is taken only then, so that no more than a page of them waits.
 */
final class StoredJobsReader {
    private record StoredHead(RunRecord head, long revision) {}

    private final int previousVersionChunkTasks;
    private final LongPredicate countsAsDemand;
    private final JobIdSet done = new JobIdSet();
    private final Map<String, StoredHead> heads = new HashMap<>();
    private final Map<String, StoredChunks> chunks = new HashMap<>();
    private final List<StoredJob> unfinished = new ArrayList<>();
    private final List<PlanRecord> recentlyDone = new ArrayList<>();
    private final Deque<StoredEntry> unclassifiedPlans = new ArrayDeque<>();
    private CompletableFuture<Boolean> pageClassified = CompletableFuture.completedFuture(true);
    private String lastRunRecordUid = "";
    private boolean allRunRecordsRead;
    private boolean runRecordsFailed;

    /**
     * @param previousVersionChunkTasks how many tasks the previous version put into one part of a done set
     * @param countsAsDemand true for the time of day at which a job was admitted if it still counts as demand
     */
    StoredJobsReader(int previousVersionChunkTasks, LongPredicate countsAsDemand) {
        this.previousVersionChunkTasks = previousVersionChunkTasks;
        this.countsAsDemand = countsAsDemand;
    }

    /** Adds a page of records. */
    void addRunRecords(List<StoredEntry> page) {
        for (StoredEntry entry : page) {
            String rest = keySuffix(RunRecord.PREFIX, entry);
            int slash = rest.indexOf('/');
            if (slash >= 0) {
                addChunk(rest.substring(0, slash), entry);
            } else if (RunRecordCodec.isDone(entry.value())) {
                done.add(rest);
            } else {
                heads.put(rest, new StoredHead(RunRecordCodec.decode(entry.value()), entry.revision()));
            }
            lastRunRecordUid = rest;
        }
        classifyReadyPlans();
    }

    /** No more records come: all of them have been read, or their list has failed. */
    void endRunRecords(boolean complete) {
        if (complete) {
            allRunRecordsRead = true;
            classifyReadyPlans();
        } else {
            runRecordsFailed = true;
            pageClassified.complete(false);
        }
    }

    /** Adds a page of plans; completes with true once all of it has been judged, with false if that can't be. */
    CompletableFuture<Boolean> addPlans(List<StoredEntry> page) {
        // Without the records nothing can be judged, now or ever: a plan that waited for them would wait for ever.
        if (runRecordsFailed) {
            return CompletableFuture.completedFuture(false);
        }
        pageClassified = new CompletableFuture<>();
        CompletableFuture<Boolean> judged = pageClassified;
        unclassifiedPlans.addAll(page);
        classifyReadyPlans();
        return judged;
    }

    /** Adds a page of parts of done sets. */
    void addChunks(List<StoredEntry> page) {
        page.forEach(entry -> addChunk(ChunkKey.uid(entry.key()), entry));
    }

    private void addChunk(String uid, StoredEntry entry) {
        chunks.computeIfAbsent(
                        uid, each -> new StoredChunks(new HashMap<>(), new HashMap<>(), previousVersionChunkTasks))
                .add(entry);
    }

    private void classifyReadyPlans() {
        while (!unclassifiedPlans.isEmpty()
                && (allRunRecordsRead
                        || keySuffix(PlanRecord.PREFIX, unclassifiedPlans.peek())
                                        .compareTo(lastRunRecordUid)
                                <= 0)) {
            classify(unclassifiedPlans.poll());
        }
        if (unclassifiedPlans.isEmpty()) {
            pageClassified.complete(true);
        }
    }

    private void classify(StoredEntry plan) {
        String uid = keySuffix(PlanRecord.PREFIX, plan);
        if (!done.contains(uid)) {
            StoredHead head = heads.remove(uid);
            unfinished.add(new StoredJob(
                    PlanRecordCodec.decode(plan.value()),
                    plan.revision(),
                    head == null ? null : head.head(),
                    head == null ? 0 : head.revision(),
                    StoredChunks.NONE));
        } else if (countsAsDemand.test(PlanRecordCodec.admittedWallMicros(plan.value()))) {
            recentlyDone.add(PlanRecordCodec.decode(plan.value()));
        }
    }

    /** Everything that was read, once all lists have come to their ends. */
    StoredState toStoredState(
            JobIdSet cancelled, List<ScaleOutRequest> rentals, long plansRevision, long cancellationsRevision) {
        unfinished.sort(Comparator.comparingLong(StoredJob::planRevision));
        // Demand forgets the oldest first, so it is told of them first.
        recentlyDone.sort(Comparator.comparingLong(PlanRecord::admittedWallMicros));
        unfinished.replaceAll(
                job -> job.with(chunks.getOrDefault(job.plan().spec().uid(), StoredChunks.NONE)));
        List<PendingWrite> leftovers = new ArrayList<>();
        chunks.forEach((uid, stored) -> {
            if (done.contains(uid)) {
                leftovers.addAll(stored.removals());
            }
        });
        return new StoredState(
                unfinished, done, recentlyDone, leftovers, cancelled, rentals, plansRevision, cancellationsRevision);
    }
}
