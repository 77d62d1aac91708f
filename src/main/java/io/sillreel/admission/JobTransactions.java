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
    private static final int SINGLE_VALUE = 1;

    private final StateStore store;
    private final EventLoop eventLoop;
    private final StateLimits limits;

    JobTransactions(StateStore store, EventLoop eventLoop, StateLimits limits) {
        this.store = store;
        this.eventLoop = eventLoop;
        this.limits = limits;
    }

    /** True if the plan fits into the announced limits, split or not. */
    boolean isStorable(JobSpec spec) {
        return split(newPlan(spec)).isPresent();
    }

    /**
     * Stores the plan of a job unless it has one. If a dependency is cancelled, the same transaction cancels the job;
     * otherwise the transaction requires that no dependency is cancelled.
     *
     * <p>Controllers of the previous version can only read plans that are stored as a single value. A plan that such a
     * controller may still have to read is therefore split only after the state service has rejected its size: by then
     * the announced limits are in force, and no such controller is left. Jobs with dependencies are submitted only
     * after the upgrade.
     *
     * @param dependencies the statuses of all dependencies
     * @return the result; CONFLICT without the key of the plan if a dependency has been cancelled in the meantime
     */
    CompletableFuture<CommitResult> storePlan(JobSpec spec, List<JobStatus> dependencies) {
        PlanRecord plan = newPlan(spec);
        boolean maySplit = !spec.dependencies().isEmpty();
        Optional<Map<String, JsonNode>> values = maySplit
                ? split(plan)
                : PlanOverflow.split(plan, limits.values().currentBytes(), SINGLE_VALUE);
        if (values.isEmpty()) {
            return CompletableFuture.completedFuture(new CommitResult(StoreOutcome.TOO_LARGE, 0, List.of()));
        }
        return commit(plan, values.get(), dependencies).thenCompose(result -> {
            boolean retrySplit = result.outcome() == StoreOutcome.TOO_LARGE && !maySplit;
            Optional<Map<String, JsonNode>> splitValues = retrySplit ? split(plan) : Optional.empty();
            return splitValues.isPresent()
                    ? commit(plan, splitValues.get(), dependencies)
                    : CompletableFuture.completedFuture(result);
        });
    }

    /**
     * Stores the cancellation of a job unless it has one, on condition that its run record has not changed since it was
     * read: a job can't be both done and cancelled.
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

    /** Splits the plan by the announced limits, reserving one change of the transaction for a cancellation. */
    private Optional<Map<String, JsonNode>> split(PlanRecord plan) {
        return PlanOverflow.split(
                plan, limits.values().announcedBytes(), Math.max(SINGLE_VALUE, limits.maxTransactionChanges() - 1));
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
     * Requires that no unfinished dependency is cancelled, up to the number of conditions of a transaction. A
     * cancellation that is not covered still cancels the job, only later.
     */
    private void requireNotCancelled(Transaction transaction, List<JobStatus> dependencies) {
        int maxDependencyConditions = RevisionComparison.maxConditions(limits.maxTransactionChanges()) - 1;
        dependencies.stream()
                .filter(dependency -> !dependency.isDone())
                .limit(maxDependencyConditions)
                .forEach(dependency -> transaction.requireRevision(CancellationRecord.key(dependency.uid()), 0));
    }
}
