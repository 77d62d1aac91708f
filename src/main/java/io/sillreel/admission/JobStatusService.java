package io.sillreel.admission;

import io.sillreel.http.EventLoop;
import io.sillreel.pipeline.CancellationRecord;
import io.sillreel.pipeline.PlanRecord;
import io.sillreel.pipeline.RunRecord;
import io.sillreel.statestore.CommitResult;
import io.sillreel.statestore.StateStore;
import io.sillreel.statestore.StoreOutcome;
import io.sillreel.statestore.Transaction;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * Fresh pictures of jobs. Remembered stamps are confirmed by a comparing transaction, many jobs at a time; what has
 * moved is read again. Either way the store was asked after the question came in, so no answer is older than one given
 * before.
 *
 * <p>A job that awaits others is cancelled as soon as one of those is, whether or not anybody has written that down: so
 * the same transaction confirms that none of the unfinished jobs that it needs, directly or through others, is
 * cancelled.
 */
final class JobStatusService {
    private static final long MIN_BATCH_DELAY_MICROS = 4_000;
    /** What takes many transactions, as long chains do, is asked for the more questions together, the longer it is. */
    private static final long BATCH_DELAY_PER_TRANSACTION_MICROS = 40_000;

    private static final long MAX_BATCH_DELAY_MICROS = 800_000;
    private static final int MAX_BATCHES_IN_FLIGHT = 2;
    private static final int MAX_QUERIES_PER_BATCH = 40;
    /** How many steps of a chain are read one by one. */
    private static final int MAX_SINGLE_READ_ROUNDS = 4;
    /** What is kept of a plan while all of them are read takes less than a view, and is kept for seconds. */
    private static final int DEPENDENT_PLANS_PER_CACHED_STATUS = 4;
    /** A user who polls waits for 2 s. */
    private static final long QUERY_TIMEOUT_MICROS = 1_900_000;

    private record Query(String uid, long askedMicros, int rounds, CompletableFuture<JobStatus> answer) {
        Query again() {
            return new Query(uid, askedMicros, rounds + 1, answer);
        }
    }

    /** A question that is being confirmed: what was thought of its job, and the keys that this rests on. */
    private record ComparedStatus(Query question, JobStatus view, Set<String> keys) {}

    private final StateStore store;
    private final EventLoop eventLoop;
    private final int maxConditions;
    private final JobStatusReader reader;
    /**
     * The views that were used last; one that is forgotten costs three reads, one that is kept a part of a comparison.
     */
    private final Map<String, JobStatus> statuses;

    private final Deque<Query> pendingQueries = new ArrayDeque<>();
    private int batchesInFlight;
    private boolean isBatchScheduled;
    private long batchDelayMicros = MIN_BATCH_DELAY_MICROS;

    /** @param maxRemembered how many views are kept */
    JobStatusService(StateStore store, EventLoop eventLoop, int txnOps, int maxRemembered) {
        this.store = store;
        this.eventLoop = eventLoop;
        this.maxConditions = 4 * txnOps;
        this.reader = new JobStatusReader(store, this, DEPENDENT_PLANS_PER_CACHED_STATUS * maxRemembered);
        this.statuses = new LinkedHashMap<>(64, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<String, JobStatus> eldest) {
                return size() > maxRemembered;
            }
        };
    }

    synchronized JobStatus cached(String uid) {
        JobStatus status = statuses.get(uid);
        return status == null ? JobStatus.unknown(uid) : status;
    }

    /** Remembers a view unless what is remembered is newer. */
    synchronized void cache(JobStatus status) {
        JobStatus merged = status.mergedWith(cached(status.uid()));
        if (merged.isAccepted()) {
            statuses.put(status.uid(), merged);
        }
    }

    /** A view read after this call, or a terminal one; null if the store could not be asked. */
    CompletableFuture<JobStatus> query(String uid) {
        synchronized (this) {
            JobStatus status = cached(uid);
            if (status.isTerminal()) {
                return CompletableFuture.completedFuture(status);
            }
            if (store.isUnresponsive()) {
                return CompletableFuture.completedFuture(null);
            }
        }
        CompletableFuture<JobStatus> answer = new CompletableFuture<>();
        ask(new Query(uid, eventLoop.nowMicros(), 0, answer));
        return answer;
    }

    /** Views of several jobs, in their order; null for each that the store could not be asked about. */
    CompletableFuture<List<JobStatus>> query(Collection<String> uids) {
        List<CompletableFuture<JobStatus>> each = new ArrayList<>();
        uids.forEach(uid -> each.add(query(uid)));
        return CompletableFuture.allOf(each.toArray(CompletableFuture[]::new))
                .thenApply(all -> each.stream().map(CompletableFuture::join).toList());
    }

    private void ask(Query question) {
        synchronized (this) {
            pendingQueries.add(question);
            if (isBatchScheduled || batchesInFlight >= MAX_BATCHES_IN_FLIGHT) {
                return;
            }
            isBatchScheduled = true;
        }
        eventLoop.schedule(batchDelayMicros, this::ask);
    }

    /** Once more, with what has been learnt since, unless whoever asked has given up. */
    private void retry(Query question) {
        if (eventLoop.nowMicros() - question.askedMicros() > QUERY_TIMEOUT_MICROS) {
            question.answer().complete(null);
        } else {
            ask(question.again());
        }
    }

    private void ask() {
        List<ComparedStatus> batch = new ArrayList<>();
        Map<String, Long> conditions = new LinkedHashMap<>();
        Map<Query, Set<String>> toLearn = new LinkedHashMap<>();
        List<Query> closed = new ArrayList<>();
        synchronized (this) {
            isBatchScheduled = false;
            while (!pendingQueries.isEmpty() && batch.size() < MAX_QUERIES_PER_BATCH) {
                Query question = pendingQueries.peek();
                JobStatus status = cached(question.uid());
                Map<String, Long> own = conditionsOf(status);
                Set<String> unknown = new LinkedHashSet<>();
                if (status.isWaitingForDependencies() && !addDependencyConditions(status, own, unknown)) {
                    cache(status.withDependencyCancelled());
                    closed.add(pendingQueries.poll());
                } else if (!unknown.isEmpty()) {
                    toLearn.put(pendingQueries.poll(), unknown);
                } else if (batch.isEmpty() || conditions.size() + own.size() <= maxConditions) {
                    conditions.putAll(own);
                    batch.add(new ComparedStatus(pendingQueries.poll(), status, own.keySet()));
                } else {
                    break;
                }
            }
            batchesInFlight += batch.isEmpty() ? 0 : 1;
        }
        closed.forEach(question -> question.answer().complete(cached(question.uid())));
        toLearn.forEach((question, uids) -> loadDependencies(question, uids).thenAccept(learnt -> {
            if (learnt) {
                retry(question);
            } else {
                question.answer().complete(null);
            }
        }));
        if (!batch.isEmpty()) {
            compare(conditions).thenAccept(commit -> {
                synchronized (this) {
                    batchesInFlight--;
                }
                answerBatch(batch, commit);
                scheduleNextBatch();
            });
        } else {
            scheduleNextBatch();
        }
    }

    private void scheduleNextBatch() {
        synchronized (this) {
            if (pendingQueries.isEmpty() || isBatchScheduled || batchesInFlight >= MAX_BATCHES_IN_FLIGHT) {
                return;
            }
            isBatchScheduled = true;
        }
        eventLoop.schedule(batchDelayMicros > MIN_BATCH_DELAY_MICROS ? batchDelayMicros : 0, this::ask);
    }

    private static Map<String, Long> conditionsOf(JobStatus status) {
        Map<String, Long> own = new LinkedHashMap<>();
        if (!status.isAccepted()) {
            own.put(PlanRecord.key(status.uid()), 0L);
        }
        own.put(RunRecord.key(status.uid()), status.runRevision());
        own.put(CancellationRecord.key(status.uid()), status.cancellationRevision());
        return own;
    }

    /**
     * Adds the absence of cancellations of all unfinished jobs that this one needs; false if one of them is known to be
     * cancelled. Who has been released needs nobody any more, and who is done can't be cancelled.
     */
    private boolean addDependencyConditions(JobStatus status, Map<String, Long> conditions, Set<String> unknown) {
        Deque<String> open = new ArrayDeque<>(status.dependencies());
        Set<String> seen = new HashSet<>(open);
        while (!open.isEmpty()) {
            JobStatus awaited = cached(open.poll());
            if (!awaited.isAccepted()) {
                unknown.add(awaited.uid());
            } else if (awaited.isCancelled()) {
                return false;
            } else if (!awaited.isDone()) {
                conditions.put(CancellationRecord.key(awaited.uid()), 0L);
                if (awaited.isWaitingForDependencies()) {
                    awaited.dependencies().stream().filter(seen::add).forEach(open::add);
                }
            }
        }
        return true;
    }

    /** Compares in as many transactions as it takes: a cancellation is for ever, so they need not be one moment's. */
    private CompletableFuture<CommitResult> compare(Map<String, Long> conditions) {
        List<CompletableFuture<CommitResult>> parts = new ArrayList<>();
        Transaction transaction = new Transaction();
        int size = 0;
        for (Map.Entry<String, Long> condition : conditions.entrySet()) {
            if (size == maxConditions) {
                parts.add(store.commit(transaction));
                transaction = new Transaction();
                size = 0;
            }
            transaction.requireRevision(condition.getKey(), condition.getValue());
            size++;
        }
        parts.add(store.commit(transaction));
        batchDelayMicros = Math.min(
                MAX_BATCH_DELAY_MICROS,
                MIN_BATCH_DELAY_MICROS + BATCH_DELAY_PER_TRANSACTION_MICROS * (parts.size() - 1));
        return CompletableFuture.allOf(parts.toArray(CompletableFuture[]::new)).thenApply(all -> {
            StoreOutcome outcome = StoreOutcome.OK;
            List<String> failed = new ArrayList<>();
            for (CompletableFuture<CommitResult> part : parts) {
                failed.addAll(part.join().failedKeys());
                if (part.join().outcome() != StoreOutcome.OK && outcome != StoreOutcome.CONFLICT) {
                    outcome = part.join().outcome();
                }
            }
            return new CommitResult(outcome, 0, failed);
        });
    }

    private void answerBatch(List<ComparedStatus> batch, CommitResult commit) {
        for (ComparedStatus compared : batch) {
            Query question = compared.question();
            switch (commit.outcome()) {
                case OK -> question.answer().complete(compared.view());
                case CONFLICT -> {
                    Set<String> moved = new LinkedHashSet<>();
                    for (String key : commit.failedKeys()) {
                        if (compared.keys().contains(key)) {
                            moved.add(key.substring(key.indexOf('/') + 1));
                        }
                    }
                    if (moved.isEmpty()) {
                        retry(question);
                    } else {
                        reader.load(moved)
                                .thenAccept(
                                        learnt -> answerAfterRead(question, learnt, moved.contains(question.uid())));
                    }
                }
                case UNKNOWN -> {
                    // Transactions alone may go unanswered for a while; reading says the same.
                    if (store.isUnresponsive()) {
                        question.answer().complete(null);
                    } else {
                        reader.load(Set.of(question.uid()))
                                .thenAccept(learnt -> answerAfterRead(question, learnt, true));
                    }
                }
                default -> question.answer().complete(null);
            }
        }
    }

    /** Answers with what has just been read, if that was of the job itself and is all there is to know. */
    private void answerAfterRead(Query question, boolean read, boolean ofItself) {
        JobStatus status = cached(question.uid());
        if (!read) {
            question.answer().complete(null);
        } else if (ofItself && !status.isWaitingForDependencies()) {
            question.answer().complete(status);
        } else {
            retry(question);
        }
    }

    /**
     * Reads what is not known of the jobs that a job needs. A chain of a few steps is read step by step; the beginning
     * of a longer one is found in one list of all plans, since a request for each step would take longer than users
     * wait.
     */
    private CompletableFuture<Boolean> loadDependencies(Query question, Set<String> uids) {
        if (question.rounds() < MAX_SINGLE_READ_ROUNDS) {
            return reader.load(uids);
        }
        // Reading all plans may take longer than users wait; what was learnt is there when they ask again.
        long left = question.askedMicros() + QUERY_TIMEOUT_MICROS - eventLoop.nowMicros();
        eventLoop.schedule(Math.max(0, left), () -> question.answer().complete(null));
        return reader.loadFromAllPlans(uids);
    }
}
