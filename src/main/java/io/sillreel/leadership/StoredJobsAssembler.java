package io.sillreel.leadership;

import static io.sillreel.leadership.StoredStateReader.keySuffix;

import io.sillreel.cluster.ScaleOutRequest;
import io.sillreel.http.UnexpectedErrors;
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
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongPredicate;

/**
 * Assembles the jobs of a stored state from pages of plans, run records and completion bitmap chunks. Plans and run
 * records arrive ordered by job id, but the two scans progress independently. Whether the job of a plan is done is
 * known once the run records have been read up to its id. The next page of plans is requested only then, so that at
 * most one page of plans is buffered. Runs on the event loop.
 */
final class StoredJobsAssembler {
    private record StoredRunRecord(RunRecord runRecord, long revision) {}

    private final UnexpectedErrors errors;
    private final int firstVersionTasksPerChunk;
    private final LongPredicate countsAsDemand;
    private final JobIdSet done = new JobIdSet();
    private final Map<String, StoredRunRecord> runRecords = new HashMap<>();
    private final Map<String, StoredChunks> chunks = new HashMap<>();
    private final List<StoredJob> unfinished = new ArrayList<>();
    private final List<PlanRecord> recentlyDone = new ArrayList<>();
    private final Deque<StoredEntry> unclassifiedPlans = new ArrayDeque<>();
    private CompletableFuture<Boolean> pageClassified = CompletableFuture.completedFuture(true);
    /** Ids of the jobs with an entry that can't be decoded. */
    private final Set<String> undecodable = new HashSet<>();

    private String lastRunRecordUid = "";
    private boolean allRunRecordsRead;
    private boolean runRecordsFailed;

    /**
     * @param firstVersionTasksPerChunk how many tasks the first version stored in one chunk of a completion bitmap
     * @param countsAsDemand true for an admission time (wall clock, in microseconds) that still counts as demand
     */
    StoredJobsAssembler(UnexpectedErrors errors, int firstVersionTasksPerChunk, LongPredicate countsAsDemand) {
        this.errors = errors;
        this.firstVersionTasksPerChunk = firstVersionTasksPerChunk;
        this.countsAsDemand = countsAsDemand;
    }

    /** Adds a page of run records; the first version stored its chunks under the same prefix. */
    void addRunRecords(List<StoredEntry> page) {
        for (StoredEntry entry : page) {
            String suffix = keySuffix(RunRecord.PREFIX, entry);
            int slash = suffix.indexOf('/');
            String uid = slash >= 0 ? suffix.substring(0, slash) : suffix;
            addConfined(uid, entry, () -> addRunRecord(suffix, slash, entry));
            lastRunRecordUid = suffix;
        }
        classifyReadyPlans();
    }

    private void addRunRecord(String suffix, int slash, StoredEntry entry) {
        if (slash >= 0) {
            addChunk(suffix.substring(0, slash), entry);
        } else if (RunRecordCodec.isDone(entry.value())) {
            done.add(suffix);
        } else {
            runRecords.put(suffix, new StoredRunRecord(RunRecordCodec.decode(entry.value()), entry.revision()));
        }
    }

    /** A job with an entry that can't be decoded is left out: it stays stored, and all others are restored. */
    private void addConfined(String uid, StoredEntry entry, Runnable add) {
        if (!errors.runConfined("the stored value of " + entry.key(), add)) {
            undecodable.add(uid);
        }
    }

    /**
     * Ends the scan of run records.
     *
     * @param complete true if all of them have been read, false if the scan has failed
     */
    void endRunRecords(boolean complete) {
        if (complete) {
            allRunRecordsRead = true;
            classifyReadyPlans();
        } else {
            runRecordsFailed = true;
            pageClassified.complete(false);
        }
    }

    /** Adds a page of plans; completes with true once all its plans are classified, with false if they can't be. */
    CompletableFuture<Boolean> addPlans(List<StoredEntry> page) {
        // Without the run records a plan would never be classified, and the scan of plans would never end.
        if (runRecordsFailed) {
            return CompletableFuture.completedFuture(false);
        }
        pageClassified = new CompletableFuture<>();
        CompletableFuture<Boolean> classified = pageClassified;
        unclassifiedPlans.addAll(page);
        classifyReadyPlans();
        return classified;
    }

    /** Adds a page of completion bitmap chunks. */
    void addChunks(List<StoredEntry> page) {
        for (StoredEntry entry : page) {
            String uid = ChunkKey.uid(entry.key());
            addConfined(uid, entry, () -> addChunk(uid, entry));
        }
    }

    private void addChunk(String uid, StoredEntry entry) {
        chunks.computeIfAbsent(
                        uid, each -> new StoredChunks(new HashMap<>(), new HashMap<>(), firstVersionTasksPerChunk))
                .add(entry);
    }

    private void classifyReadyPlans() {
        while (!unclassifiedPlans.isEmpty()
                && (allRunRecordsRead
                        || keySuffix(PlanRecord.PREFIX, unclassifiedPlans.peek())
                                        .compareTo(lastRunRecordUid)
                                <= 0)) {
            StoredEntry plan = unclassifiedPlans.poll();
            addConfined(keySuffix(PlanRecord.PREFIX, plan), plan, () -> classify(plan));
        }
        if (unclassifiedPlans.isEmpty()) {
            pageClassified.complete(true);
        }
    }

    private void classify(StoredEntry plan) {
        String uid = keySuffix(PlanRecord.PREFIX, plan);
        if (!done.contains(uid)) {
            StoredRunRecord stored = runRecords.remove(uid);
            unfinished.add(new StoredJob(
                    PlanRecordCodec.decode(plan.value()),
                    plan.revision(),
                    stored == null ? null : stored.runRecord(),
                    stored == null ? 0 : stored.revision(),
                    StoredChunks.NONE));
        } else if (countsAsDemand.test(PlanRecordCodec.admittedWallMicros(plan.value()))) {
            recentlyDone.add(PlanRecordCodec.decode(plan.value()));
        }
    }

    /** Builds the stored state from all pages; called once all scans are complete. */
    StoredState toStoredState(
            JobIdSet cancelled,
            List<ScaleOutRequest> scaleOutRequests,
            long plansRevision,
            long cancellationsRevision) {
        unfinished.removeIf(job -> undecodable.contains(job.plan().spec().uid()));
        unfinished.sort(Comparator.comparingLong(StoredJob::planRevision));
        // The demand estimate keeps the latest arrivals, so they have to be recorded last.
        recentlyDone.sort(Comparator.comparingLong(PlanRecord::admittedWallMicros));
        unfinished.replaceAll(
                job -> job.withChunks(chunks.getOrDefault(job.plan().spec().uid(), StoredChunks.NONE)));
        List<PendingWrite> obsoleteChunkRemovals = new ArrayList<>();
        chunks.forEach((uid, stored) -> {
            if (done.contains(uid)) {
                obsoleteChunkRemovals.addAll(stored.removals());
            }
        });
        return new StoredState(
                unfinished,
                done,
                recentlyDone,
                obsoleteChunkRemovals,
                cancelled,
                scaleOutRequests,
                plansRevision,
                cancellationsRevision);
    }
}
