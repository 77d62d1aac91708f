package io.sillreel.leadership;

import io.sillreel.cluster.ScaleOutRequest;
import io.sillreel.cluster.ScaleOutRequestCodec;
import io.sillreel.http.UnexpectedErrors;
import io.sillreel.pipeline.CancellationRecord;
import io.sillreel.pipeline.ChunkKey;
import io.sillreel.pipeline.CompletionBitmapCodec;
import io.sillreel.pipeline.JobIdSet;
import io.sillreel.pipeline.PlanOverflow;
import io.sillreel.pipeline.PlanRecord;
import io.sillreel.pipeline.RunRecord;
import io.sillreel.statestore.ScanResult;
import io.sillreel.statestore.StateStore;
import io.sillreel.statestore.StoreOutcome;
import io.sillreel.statestore.StoredEntry;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongPredicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads the stored state for a new leader. All prefixes are scanned concurrently, which is consistent because only the
 * leader writes run records and scale-out requests, and plans and cancellations are watched from the revision at which
 * each scan was made. Pages are processed as they arrive. Only the ids of done jobs are kept, since the state service
 * may hold many more of those jobs than fit into the memory of a controller. Runs on the event loop.
 */
final class StoredStateReader {
    private static final Logger LOG = LoggerFactory.getLogger(StoredStateReader.class);

    private final StateStore store;
    private final UnexpectedErrors errors;
    private final int firstVersionTasksPerChunk;
    private final LongPredicate countsAsDemand;
    private final BooleanSupplier isStillNeeded;

    /**
     * @param firstVersionMaxValueBytes the value size limit by which the first version split completion bitmaps
     * @param countsAsDemand true for an admission time (wall clock, in microseconds) that still counts as demand
     * @param isStillNeeded false once the result is no longer needed, which ends the scans early
     */
    StoredStateReader(
            StateStore store,
            UnexpectedErrors errors,
            int firstVersionMaxValueBytes,
            LongPredicate countsAsDemand,
            BooleanSupplier isStillNeeded) {
        this.store = store;
        this.errors = errors;
        this.firstVersionTasksPerChunk = CompletionBitmapCodec.tasksPerChunk(firstVersionMaxValueBytes);
        this.countsAsDemand = countsAsDemand;
        this.isStillNeeded = isStillNeeded;
    }

    /** Reads the whole state; completes empty if any read failed. */
    CompletableFuture<Optional<StoredState>> read() {
        StoredJobsAssembler jobs = new StoredJobsAssembler(errors, firstVersionTasksPerChunk, countsAsDemand);
        JobIdSet cancelled = new JobIdSet();
        List<ScaleOutRequest> scaleOutRequests = new ArrayList<>();
        CompletableFuture<ScanResult> runRecords = scan(RunRecord.PREFIX, jobs::addRunRecords);
        CompletableFuture<ScanResult> plans = store.scan(
                PlanRecord.PREFIX,
                page -> jobs.addPlans(page).thenApply(classified -> classified && isStillNeeded.getAsBoolean()));
        CompletableFuture<ScanResult> chunks = scan(ChunkKey.PREFIX, jobs::addChunks);
        CompletableFuture<ScanResult> cancellations =
                scan(CancellationRecord.PREFIX, page -> page.forEach(entry -> addCancelled(cancelled, entry)));
        CompletableFuture<ScanResult> requests = scan(
                ScaleOutRequest.PREFIX,
                page -> page.forEach(entry -> scaleOutRequests.add(
                        ScaleOutRequestCodec.decode(entry.key(), entry.value(), entry.revision()))));
        runRecords.thenAccept(scan -> jobs.endRunRecords(scan.outcome() == StoreOutcome.OK));
        List<CompletableFuture<ScanResult>> scans = List.of(plans, runRecords, cancellations, requests, chunks);
        return CompletableFuture.allOf(scans.toArray(CompletableFuture[]::new)).thenCompose(ignored -> {
            if (scans.stream().anyMatch(scan -> scan.join().outcome() != StoreOutcome.OK)) {
                return CompletableFuture.completedFuture(Optional.empty());
            }
            return readOverflowValues(jobs.toStoredState(
                    cancelled,
                    scaleOutRequests,
                    plans.join().storeRevision(),
                    cancellations.join().storeRevision()));
        });
    }

    /** A key that names no job cancels none, and must not keep a leader from reading the others. */
    private static void addCancelled(JobIdSet cancelled, StoredEntry entry) {
        String uid = keySuffix(CancellationRecord.PREFIX, entry);
        if (JobIdSet.isJobId(uid)) {
            cancelled.add(uid);
        } else {
            LOG.error("{} is the cancellation of no job", entry.key());
        }
    }

    private CompletableFuture<ScanResult> scan(String prefix, Consumer<List<StoredEntry>> pageConsumer) {
        return store.scan(prefix, page -> {
            pageConsumer.accept(page);
            return CompletableFuture.completedFuture(isStillNeeded.getAsBoolean());
        });
    }

    /** The part of the key after the prefix. */
    static String keySuffix(String prefix, StoredEntry entry) {
        return entry.key().substring(prefix.length());
    }

    /** Loads the overflow values of the few plans that are split; completes empty if one could not be read. */
    private CompletableFuture<Optional<StoredState>> readOverflowValues(StoredState state) {
        List<CompletableFuture<Optional<PlanRecord>>> plans = new ArrayList<>();
        state.unfinished().forEach(job -> plans.add(PlanOverflow.load(job.plan(), store)));
        return CompletableFuture.allOf(plans.toArray(CompletableFuture[]::new)).thenApply(ignored -> {
            for (int index = 0; index < plans.size(); index++) {
                Optional<PlanRecord> plan = plans.get(index).join();
                if (plan.isEmpty()) {
                    return Optional.empty();
                }
                state.unfinished().set(index, state.unfinished().get(index).withPlan(plan.get()));
            }
            return Optional.of(state);
        });
    }
}
