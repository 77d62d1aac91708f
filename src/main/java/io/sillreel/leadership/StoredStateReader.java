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
import java.util.function.LongPredicate;

/**
 * Reads the stored state for a new leader. All lists are requested at once: only the leader writes records and rentals,
 * and what becomes of plans and cancellations is watched from the revision at which each list was read. Pages are taken
 * in as they come, and nothing is kept of a job that is done but its id: there may be many more of those than fit into
 * the memory of a controller.
 */
final class StoredStateReader {
    private final StateStore store;
    private final int previousVersionChunkTasks;
    private final LongPredicate countsAsDemand;
    private final BooleanSupplier isStillNeeded;

    /**
     * @param presentValueBytes the largest value by which the previous version cut done sets
     * @param countsAsDemand true for the time of day at which a job was admitted if it still counts as demand
     * @param wanted false once nobody needs the result any more
     */
    StoredStateReader(StateStore store, int presentValueBytes, LongPredicate countsAsDemand, BooleanSupplier wanted) {
        this.store = store;
        this.previousVersionChunkTasks = CompletionBitmapCodec.tasksPerChunk(presentValueBytes);
        this.countsAsDemand = countsAsDemand;
        this.isStillNeeded = wanted;
    }

    /** Reads everything; empty if the state service did not answer all of it. */
    CompletableFuture<Optional<StoredState>> read() {
        StoredJobsReader jobs = new StoredJobsReader(previousVersionChunkTasks, countsAsDemand);
        JobIdSet cancelled = new JobIdSet();
        List<ScaleOutRequest> rentals = new ArrayList<>();
        CompletableFuture<ScanResult> runs = store.scan(RunRecord.PREFIX, page -> {
            jobs.addRunRecords(page);
            return continueScan();
        });
        CompletableFuture<ScanResult> plans = store.scan(
                PlanRecord.PREFIX,
                page -> jobs.addPlans(page).thenApply(judged -> judged && isStillNeeded.getAsBoolean()));
        CompletableFuture<ScanResult> parts = store.scan(ChunkKey.PREFIX, page -> {
            jobs.addChunks(page);
            return continueScan();
        });
        CompletableFuture<ScanResult> cancellations = store.scan(CancellationRecord.PREFIX, page -> {
            page.forEach(entry -> cancelled.add(keySuffix(CancellationRecord.PREFIX, entry)));
            return continueScan();
        });
        CompletableFuture<ScanResult> hired = store.scan(ScaleOutRequest.PREFIX, page -> {
            page.forEach(
                    entry -> rentals.add(ScaleOutRequestCodec.decode(entry.key(), entry.value(), entry.revision())));
            return continueScan();
        });
        runs.thenAccept(scan -> jobs.endRunRecords(scan.outcome() == StoreOutcome.OK));
        List<CompletableFuture<ScanResult>> all = List.of(plans, runs, cancellations, hired, parts);
        return CompletableFuture.allOf(all.toArray(CompletableFuture[]::new)).thenCompose(done -> {
            if (all.stream().anyMatch(scan -> scan.join().outcome() != StoreOutcome.OK)) {
                return CompletableFuture.completedFuture(Optional.empty());
            }
            return readOverflowValues(jobs.toStoredState(
                    cancelled,
                    rentals,
                    plans.join().storeRevision(),
                    cancellations.join().storeRevision()));
        });
    }

    private CompletableFuture<Boolean> continueScan() {
        return CompletableFuture.completedFuture(isStillNeeded.getAsBoolean());
    }

    static String keySuffix(String prefix, StoredEntry entry) {
        return entry.key().substring(prefix.length());
    }

    /** Adds what lies in overflow values, which few plans have. */
    private CompletableFuture<Optional<StoredState>> readOverflowValues(StoredState state) {
        List<CompletableFuture<Optional<PlanRecord>>> plans = new ArrayList<>();
        state.unfinished().forEach(job -> plans.add(PlanOverflow.load(job.plan(), store)));
        return CompletableFuture.allOf(plans.toArray(CompletableFuture[]::new)).thenApply(done -> {
            for (int index = 0; index < plans.size(); index++) {
                Optional<PlanRecord> plan = plans.get(index).join();
                if (plan.isEmpty()) {
                    return Optional.empty();
                }
                state.unfinished().set(index, state.unfinished().get(index).with(plan.get()));
            }
            return Optional.of(state);
        });
    }
}
