package io.sillreel.admission;

import io.sillreel.http.EventLoop;
import io.sillreel.statestore.CommitResult;
import io.sillreel.statestore.StateStore;
import io.sillreel.statestore.StoreOutcome;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * Answers queries for the status of jobs. The cached revisions of many jobs are confirmed in one transaction that only
 * compares revisions; jobs that have changed are read again. Either way the state service is consulted after the query
 * has arrived, so that no answer is older than an earlier one.
 *
 * <p>A job counts as cancelled as soon as one of its dependencies is, whether or not its own cancellation has been
 * stored yet. Therefore the same transaction confirms that none of its unfinished dependencies, direct or transitive,
 * is cancelled.
 *
 * <p>Thread-safe.
 */
final class JobStatusService {
    private static final long MIN_BATCH_DELAY_MICROS = 4_000;
    /**
     * Long dependency chains require many transactions. The delay before the next batch grows with their number, so
     * that more queries share them.
     */
    private static final long BATCH_DELAY_PER_TRANSACTION_MICROS = 40_000;

    private static final long MAX_BATCH_DELAY_MICROS = 800_000;
    private static final int MAX_BATCHES_IN_FLIGHT = 2;
    private static final int MAX_QUERIES_PER_BATCH = 40;
    /** The number of levels of a dependency chain that are read job by job before all plans are scanned. */
    private static final int MAX_LEVELS_READ_BY_JOB = 4;
    /** A plan that a scan holds is smaller than a cached status and is held only for seconds. */
    private static final int DEPENDENT_PLANS_PER_CACHED_STATUS = 4;
    /** Just below the 2 s that users wait for a response. */
    private static final long QUERY_TIMEOUT_MICROS = 1_900_000;

    private static final CommitResult COMPARISON_FAILED = new CommitResult(StoreOutcome.REFUSED, 0, List.of());

    /** @param retries the number of times that the query has been retried */
    private record Query(String uid, long startMicros, int retries, CompletableFuture<Optional<JobStatus>> result) {
        Query nextRetry() {
            return new Query(uid, startMicros, retries + 1, result);
        }

        void answer(JobStatus status) {
            result.complete(Optional.of(status));
        }

        void fail() {
            result.complete(Optional.empty());
        }
    }

    /** A query with the cached status that is being confirmed, and the keys of its conditions. */
    private record ComparedStatus(Query query, JobStatus status, Set<String> keys) {}

    /** Queries taken from the queue together, grouped by how they are processed. */
    private static final class Batch {
        final List<ComparedStatus> compared = new ArrayList<>();
        final Map<String, Long> revisions = new LinkedHashMap<>();
        final Map<Query, Set<String>> unknownDependencies = new LinkedHashMap<>();
        final List<Query> cancelled = new ArrayList<>();
    }

    private final StateStore store;
    private final EventLoop eventLoop;
    private final JobStatusCache cache;
    private final JobStatusReader reader;
    private final RevisionComparison comparison;

    /** Guarded by {@code this}. */
    private final Deque<Query> pendingQueries = new ArrayDeque<>();
    /** Guarded by {@code this}. */
    private int batchesInFlight;
    /** Guarded by {@code this}. */
    private boolean isBatchScheduled;
    /** Guarded by {@code this}. */
    private long batchDelayMicros = MIN_BATCH_DELAY_MICROS;

    /** @param maxTransactionChanges the maximum number of changes in one transaction of the state service */
    JobStatusService(StateStore store, EventLoop eventLoop, int maxTransactionChanges, int maxCachedStatuses) {
        this.store = store;
        this.eventLoop = eventLoop;
        this.cache = new JobStatusCache(maxCachedStatuses);
        this.reader = new JobStatusReader(
                store, eventLoop.unexpectedErrors(), cache, DEPENDENT_PLANS_PER_CACHED_STATUS * maxCachedStatuses);
        this.comparison = new RevisionComparison(store, maxTransactionChanges);
    }

    /** Returns the cached status of the job, which may be outdated. */
    JobStatus cached(String uid) {
        return cache.get(uid);
    }

    /** Caches a status that this controller has just stored. */
    void cache(JobStatus status) {
        cache.merge(status);
    }

    /** Completes with a status that is terminal or was confirmed after this call; empty if the state service failed. */
    CompletableFuture<Optional<JobStatus>> query(String uid) {
        JobStatus cached = cache.get(uid);
        if (cached.isTerminal()) {
            return CompletableFuture.completedFuture(Optional.of(cached));
        }
        if (store.isUnresponsive()) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        CompletableFuture<Optional<JobStatus>> result = new CompletableFuture<>();
        enqueue(new Query(uid, eventLoop.nowMicros(), 0, result));
        return result;
    }

    /** Completes with the statuses in the order of the ids; empty if the query for one of them failed. */
    CompletableFuture<Optional<List<JobStatus>>> queryAll(Collection<String> uids) {
        List<CompletableFuture<Optional<JobStatus>>> queries = new ArrayList<>();
        uids.forEach(uid -> queries.add(query(uid)));
        return CompletableFuture.allOf(queries.toArray(CompletableFuture[]::new))
                .thenApply(all -> combine(queries));
    }

    private static Optional<List<JobStatus>> combine(List<CompletableFuture<Optional<JobStatus>>> queries) {
        List<JobStatus> statuses = new ArrayList<>(queries.size());
        for (CompletableFuture<Optional<JobStatus>> query : queries) {
            if (query.join().isEmpty()) {
                return Optional.empty();
            }
            statuses.add(query.join().get());
        }
        return Optional.of(statuses);
    }

    private void enqueue(Query query) {
        long delayMicros;
        synchronized (this) {
            pendingQueries.add(query);
            if (isBatchScheduled || batchesInFlight >= MAX_BATCHES_IN_FLIGHT) {
                return;
            }
            isBatchScheduled = true;
            delayMicros = batchDelayMicros;
        }
        eventLoop.schedule(delayMicros, this::processBatch);
    }

    /** Queues the query again, to be answered from the updated cache, unless it has timed out. */
    private void retry(Query query) {
        if (eventLoop.nowMicros() - query.startMicros() > QUERY_TIMEOUT_MICROS) {
            query.fail();
        } else {
            enqueue(query.nextRetry());
        }
    }

    private void processBatch() {
        Batch batch = takeBatch();
        batch.cancelled.forEach(query -> query.answer(cache.get(query.uid())));
        batch.unknownDependencies.forEach(this::loadDependenciesAndRetry);
        if (batch.compared.isEmpty()) {
            scheduleNextBatch();
            return;
        }
        eventLoop
                .unexpectedErrors()
                .whenDone(
                        comparison.compare(batch.revisions),
                        "the comparison of revisions",
                        result -> finish(batch, result),
                        () -> finish(batch, COMPARISON_FAILED));
    }

    private void finish(Batch batch, CommitResult result) {
        synchronized (this) {
            batchesInFlight--;
        }
        for (ComparedStatus compared : batch.compared) {
            boolean isHandled = eventLoop
                    .unexpectedErrors()
                    .runConfined("the status of job " + compared.query().uid(), () -> answer(compared, result));
            if (!isHandled) {
                compared.query().fail();
            }
        }
        scheduleNextBatch();
    }

    /** Takes as many queries as fit into one transaction; a query with more conditions than that is compared alone. */
    private synchronized Batch takeBatch() {
        Batch batch = new Batch();
        isBatchScheduled = false;
        while (!pendingQueries.isEmpty() && batch.compared.size() < MAX_QUERIES_PER_BATCH) {
            Query query = pendingQueries.peek();
            JobStatus status = cache.get(query.uid());
            JobStatusConditions conditions = JobStatusConditions.of(status, cache);
            if (conditions.isDependencyCancelled()) {
                cache.merge(status.withDependencyCancelled());
                batch.cancelled.add(pendingQueries.poll());
            } else if (!conditions.unknownDependencies().isEmpty()) {
                batch.unknownDependencies.put(pendingQueries.poll(), conditions.unknownDependencies());
            } else if (batch.compared.isEmpty()
                    || batch.revisions.size() + conditions.revisions().size() <= comparison.maxConditions()) {
                batch.revisions.putAll(conditions.revisions());
                batch.compared.add(new ComparedStatus(
                        pendingQueries.poll(), status, conditions.revisions().keySet()));
            } else {
                break;
            }
        }
        if (!batch.compared.isEmpty()) {
            batchesInFlight++;
            int furtherTransactions = comparison.transactionsFor(batch.revisions.size()) - 1;
            batchDelayMicros = Math.min(
                    MAX_BATCH_DELAY_MICROS,
                    MIN_BATCH_DELAY_MICROS + BATCH_DELAY_PER_TRANSACTION_MICROS * furtherTransactions);
        }
        return batch;
    }

    private void scheduleNextBatch() {
        long delayMicros;
        synchronized (this) {
            if (pendingQueries.isEmpty() || isBatchScheduled || batchesInFlight >= MAX_BATCHES_IN_FLIGHT) {
                return;
            }
            isBatchScheduled = true;
            delayMicros = batchDelayMicros > MIN_BATCH_DELAY_MICROS ? batchDelayMicros : 0;
        }
        eventLoop.schedule(delayMicros, this::processBatch);
    }

    private void answer(ComparedStatus compared, CommitResult result) {
        Query query = compared.query();
        switch (result.outcome()) {
            case OK -> query.answer(compared.status());
            case CONFLICT -> readChangedAndAnswer(compared, result.failedKeys());
            case UNKNOWN -> {
                // Transactions may time out while single reads still get responses.
                if (store.isUnresponsive()) {
                    query.fail();
                } else {
                    loadAndAnswer(query, Set.of(query.uid()));
                }
            }
            default -> query.fail();
        }
    }

    /** Reads the jobs of the failed keys in the conditions of the status; retries if only other queries conflicted. */
    private void readChangedAndAnswer(ComparedStatus compared, List<String> failedKeys) {
        Query query = compared.query();
        Set<String> changed = new LinkedHashSet<>();
        for (String key : failedKeys) {
            if (compared.keys().contains(key)) {
                changed.add(JobStatusConditions.uidOf(key));
            }
        }
        if (changed.isEmpty()) {
            retry(query);
        } else {
            loadAndAnswer(query, changed);
        }
    }

    /** Reads the jobs and answers the query; an error fails this query alone. */
    private void loadAndAnswer(Query query, Set<String> uids) {
        eventLoop
                .unexpectedErrors()
                .whenDone(
                        reader.load(uids),
                        "the status of job " + query.uid(),
                        isLoaded -> answerAfterRead(query, isLoaded, uids.contains(query.uid())),
                        query::fail);
    }

    /** Answers with the status just read if it is the job's own and depends on no other job; otherwise retries. */
    private void answerAfterRead(Query query, boolean isLoaded, boolean isOwnStatusLoaded) {
        JobStatus status = cache.get(query.uid());
        if (!isLoaded) {
            query.fail();
        } else if (isOwnStatusLoaded && !status.isWaitingForDependencies()) {
            query.answer(status);
        } else {
            retry(query);
        }
    }

    private void loadDependenciesAndRetry(Query query, Set<String> uids) {
        eventLoop
                .unexpectedErrors()
                .whenDone(
                        loadDependencies(query, uids),
                        "the dependencies of job " + query.uid(),
                        isLoaded -> {
                            if (isLoaded) {
                                retry(query);
                            } else {
                                query.fail();
                            }
                        },
                        query::fail);
    }

    /**
     * Reads dependencies that are not cached. The first levels of a dependency chain are read job by job; the rest of a
     * longer chain comes from a scan of all plans, since one round trip per level would take longer than users wait.
     */
    private CompletableFuture<Boolean> loadDependencies(Query query, Set<String> uids) {
        if (query.retries() < MAX_LEVELS_READ_BY_JOB) {
            return reader.load(uids);
        }
        // The scan may outlast the query, but caches the plans for the next one.
        long remainingMicros = query.startMicros() + QUERY_TIMEOUT_MICROS - eventLoop.nowMicros();
        eventLoop.schedule(Math.max(0, remainingMicros), query::fail);
        return reader.loadFromAllPlans(uids);
    }
}
