package io.sillreel.admission;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sillreel.http.EventLoop;
import io.sillreel.pipeline.CancellationRecord;
import io.sillreel.pipeline.JobSpec;
import io.sillreel.pipeline.PlanOverflow;
import io.sillreel.pipeline.PlanRecord;
import io.sillreel.pipeline.RunRecord;
import io.sillreel.settings.Settings.StateLimits;
import io.sillreel.statestore.CommitResult;
import io.sillreel.statestore.StateStore;
import io.sillreel.statestore.StoreOutcome;
import io.sillreel.statestore.Transaction;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Stores plans and cancellations of jobs by compare-and-swap. Thread-safe. */
final class JobTransactions {
    private static final int ONE_VALUE = 1;

    private final StateStore store;
    private final EventLoop eventLoop;
    private final StateLimits limits;

    JobTransactions(StateStore store, EventLoop eventLoop, StateLimits limits) {
        this.store = store;
        this.eventLoop = eventLoop;
        this.limits = limits;
    }

    /** True if the plan can be stored under the announced limits, split or not. */
    boolean isStorable(JobSpec spec) {
        return split(newPlan(spec)).isPresent();
    }

    /**
     * Stores the plan of a job under the condition that there is none. If one of the dependencies is cancelled, the job
     * is cancelled in the same transaction; else the transaction requires that none of them is.
     *
     * <p>Controllers of the previous version read only plans that are one value, so the plan of a job that such a
     * controller may lead is split only after the store has refused its size: then the announced limits are in force,
     * and no such controller is left. Jobs with dependencies are submitted only after the upgrade.
     *
     * @param dependencies the statuses of all dependencies
     * @return the result; CONFLICT without the key of the plan if a dependency has been cancelled meanwhile
     */
    CompletableFuture<CommitResult> storePlan(JobSpec spec, List<JobStatus> dependencies) {
        PlanRecord plan = newPlan(spec);
        boolean maySplit = !spec.dependencies().isEmpty();
        Optional<Map<String, JsonNode>> values = maySplit
                ? split(plan)
                : PlanOverflow.split(plan, limits.values().currentBytes(), ONE_VALUE);
        if (values.isEmpty()) {
            return CompletableFuture.completedFuture(new CommitResult(StoreOutcome.TOO_LARGE, 0, List.of()));
        }
        return commit(plan, values.get(), dependencies).thenCompose(result -> {
            boolean retrySplit = result.outcome() == StoreOutcome.TOO_LARGE && !maySplit;
            Optional<Map<String, JsonNode>> smaller = retrySplit ? split(plan) : Optional.empty();
            return smaller.isPresent()
                    ? commit(plan, smaller.get(), dependencies)
                    : CompletableFuture.completedFuture(result);
        });
    }

    /**
     * Stores the cancellation of a job unless it has one, under the condition that its run record is still the one that
     * was read: done and cancelled exclude each other.
     */
    CompletableFuture<CommitResult> storeCancellation(JobStatus status) {
        String key = CancellationRecord.key(status.uid());
        return store.commit(new Transaction()
                .requireRevision(key, 0)
                .requireRevision(RunRecord.key(status.uid()), status.runRevision())
                .set(key, CancellationRecord.encode(eventLoop.wallMicros())));
    }

    private PlanRecord newPlan(JobSpec spec) {
        return new PlanRecord(eventLoop.wallMicros(), spec);
    }

    /** Splits the plan by the announced limits; one change of the transaction is left for a cancellation. */
    private Optional<Map<String, JsonNode>> split(PlanRecord plan) {
        return PlanOverflow.split(
                plan, limits.values().announcedBytes(), Math.max(ONE_VALUE, limits.maxTransactionChanges() - 1));
    }

    private CompletableFuture<CommitResult> commit(
            PlanRecord plan, Map<String, JsonNode> values, List<JobStatus> dependencies) {
        String uid = plan.spec().uid();
        Transaction transaction = new Transaction().requireRevision(PlanRecord.key(uid), 0);
        values.forEach(transaction::set);
        Optional<JobStatus> cancelled =
                dependencies.stream().filter(JobStatus::isCancelled).findFirst();
        if (cancelled.isPresent()) {
            ObjectNode value = CancellationRecord.encode(
                    plan.admittedWallMicros(), cancelled.get().uid());
            transaction.requireRevision(CancellationRecord.key(uid), 0).set(CancellationRecord.key(uid), value);
        } else {
            requireNotCancelled(transaction, dependencies);
        }
        return store.commit(transaction);
    }

    /**
     * Requires that no unfinished dependency is cancelled, for as many as a transaction has conditions. A cancellation
     * that is missed here cancels the job all the same, only later.
     */
    private void requireNotCancelled(Transaction transaction, List<JobStatus> dependencies) {
        int room = RevisionComparison.maxConditions(limits.maxTransactionChanges()) - 1;
        dependencies.stream()
                .filter(dependency -> !dependency.isDone())
                .limit(room)
                .forEach(dependency -> transaction.requireRevision(CancellationRecord.key(dependency.uid()), 0));
    }
}
