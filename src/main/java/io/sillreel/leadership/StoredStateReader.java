package io.sillreel.leadership;

import io.sillreel.cluster.ScaleOutRequest;
import io.sillreel.cluster.ScaleOutRequestCodec;
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

/**
 * Reads the stored state for a new leader. All lists are requested at once: only the leader writes run records and
 * scale-out requests, and changes of plans and cancellations are watched from the revision at which each list was read.
 * Pages are processed as they come, and of a job that is done only its id is kept, since the store may hold many more
 * of those than fit into the memory of a controller. Runs on the event loop.
 */
final class StoredStateReader {
    private final StateStore store;
    private final int firstVersionTasksPerChunk;
    private final LongPredicate countsAsDemand;
    private final BooleanSupplier isStillNeeded;

    /**
     * @param firstVersionValueBytes the largest value by which the first version cut completion bitmaps
     * @param countsAsDemand true for the wall-clock time of an admission that still counts as demand, in microseconds
     * @param isStillNeeded false once nobody needs the result any more, which ends the reading early
     */
    StoredStateReader(
            StateStore store, int firstVersionValueBytes, LongPredicate countsAsDemand, BooleanSupplier isStillNeeded) {
        this.store = store;
        this.firstVersionTasksPerChunk = CompletionBitmapCodec.tasksPerChunk(firstVersionValueBytes);
        this.countsAsDemand = countsAsDemand;
        this.isStillNeeded = isStillNeeded;
    }

    /** Reads everything; empty if the state store did not answer all of it. */
    CompletableFuture<Optional<StoredState>> read() {
        StoredJobsAssembler jobs = new StoredJobsAssembler(firstVersionTasksPerChunk, countsAsDemand);
        JobIdSet cancelled = new JobIdSet();
        List<ScaleOutRequest> scaleOutRequests = new ArrayList<>();
        CompletableFuture<ScanResult> runRecords = scan(RunRecord.PREFIX, jobs::addRunRecords);
        CompletableFuture<ScanResult> plans = store.scan(
                PlanRecord.PREFIX,
                page -> jobs.addPlans(page).thenApply(classified -> classified && isStillNeeded.getAsBoolean()));
        CompletableFuture<ScanResult> chunks = scan(ChunkKey.PREFIX, jobs::addChunks);
        CompletableFuture<ScanResult> cancellations = scan(
                CancellationRecord.PREFIX,
                page -> page.forEach(entry -> cancelled.add(keySuffix(CancellationRecord.PREFIX, entry))));
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

    /** Completes the few plans that are stored in several values; empty if one could not be read. */
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
