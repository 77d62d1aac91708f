package io.sillreel.leadership;

import io.sillreel.cluster.Cluster;
import io.sillreel.http.EventLoop;
import io.sillreel.leadership.StoredState.StoredJob;
import io.sillreel.pipeline.ActiveJob;
import io.sillreel.pipeline.CancellationRecord;
import io.sillreel.pipeline.CascadingCancellation;
import io.sillreel.pipeline.DependencyGraph;
import io.sillreel.pipeline.JobIdSet;
import io.sillreel.pipeline.PlanOverflow;
import io.sillreel.pipeline.PlanRecord;
import io.sillreel.pipeline.PlanRecordCodec;
import io.sillreel.pipeline.RunRecord;
import io.sillreel.pipeline.RunRecordCodec;
import io.sillreel.placement.CapacityPlanner;
import io.sillreel.placement.PriorityInheritance;
import io.sillreel.placement.RuntimeEstimator;
import io.sillreel.settings.ValueLimits;
import io.sillreel.statestore.PendingWrite;
import io.sillreel.statestore.StateStore;
import io.sillreel.statestore.StoreOutcome;
import io.sillreel.statestore.WatchEvent;
import io.sillreel.statestore.WriteQueue;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The jobs of one term: those that were stored when it began and those that have been admitted since. Follows plans and
 * cancellations in the state service, and releases or cancels what awaits a job once its end or cancellation is stored.
 * All state is behind the lock of the cluster.
 */
final class LeaderJobs implements ActiveJob.Listener, DependencyGraph.Callbacks {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderJobs.class);
    private static final long RETRY_MICROS = 300_000;
    private static final long PLAN_WATCH_MICROS = 10_000_000;
    private static final long CANCELLATIONS_WATCH_MICROS = 1_000_000;
    private static final int MAX_REMEMBERED_DONE_JOBS = 4_000;
    private static final long LOOKUP_RETRY_MICROS = 1_000_000;

    private final EventLoop eventLoop;
    private final StateStore store;
    private final Cluster cluster;
    private final WriteQueue writeQueue;
    private final CapacityPlanner capacity;
    private final ValueLimits limits;
    private final Runnable changed;
    private final Consumer<ActiveJob> onCancelled;
    private final Consumer<String> missedChanges;
    private final DependencyGraph dependencies = new DependencyGraph(this);
    private final PriorityInheritance inheritance;
    /** Jobs that are certainly done, as far as they are remembered; the store knows of all. */
    private final Set<String> recentlyDoneUids = Collections.newSetFromMap(new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > MAX_REMEMBERED_DONE_JOBS;
        }
    });

    private JobIdSet cancelledUids = new JobIdSet();
    private long cancellationsKnownUntilMicros;
    private boolean closed;

    /**
     * @param changed called when there may be something new to plan
     * @param onCancelled told of each job that turns out to be cancelled, once
     * @param missedChanges told of a prefix whose changes can't be followed any more
     */
    LeaderJobs(
            EventLoop eventLoop,
            StateStore store,
            Cluster cluster,
            WriteQueue writeQueue,
            CapacityPlanner capacity,
            RuntimeEstimator runtimeEstimator,
            ValueLimits limits,
            Runnable changed,
            Consumer<ActiveJob> onCancelled,
            Consumer<String> missedChanges) {
        this.eventLoop = eventLoop;
        this.store = store;
        this.cluster = cluster;
        this.writeQueue = writeQueue;
        this.capacity = capacity;
        this.limits = limits;
        this.changed = changed;
        this.onCancelled = onCancelled;
        this.missedChanges = missedChanges;
        this.inheritance = new PriorityInheritance(dependencies, runtimeEstimator);
    }

    /**
     * Takes over what is stored.
     *
     * @param askedMicros when it was asked for: all cancellations confirmed before are known
     */
    void restore(StoredState state, long askedMicros) {
        cancellationsKnownUntilMicros = askedMicros;
        cancelledUids = state.cancelled();
        state.recentlyDone().forEach(plan -> capacity.recordArrival(plan.spec(), plan.admittedWallMicros()));
        enqueueWrites(state.obsoleteChunkRemovals());
        List<ActiveJob> unfinished = new ArrayList<>();
        state.unfinished().forEach(stored -> unfinished.add(restoreJob(stored)));
        dependencies.restore(unfinished, state.done()::contains, uid -> cancelledUids.contains(uid));
        unfinished.forEach(inheritance::propagateUrgency);
    }

    /** Follows from then on what becomes of plans and cancellations. */
    void follow(StoredState state) {
        watchPlans(state.plansRevision());
        watchCancellations(state.cancellationsRevision());
    }

    void close() {
        closed = true;
    }

    /** All cancellations that were confirmed before this time are known. */
    long cancellationsKnownUntilMicros() {
        return cancellationsKnownUntilMicros;
    }

    private ActiveJob restoreJob(StoredJob stored) {
        ActiveJob job = newActiveJob(stored.plan(), stored.planRevision());
        if (stored.head() != null) {
            job.inherit(stored.headRevision(), stored.head(), stored.chunks());
        }
        activate(job);
        if (job.isComplete() && !job.isCancelled()) {
            writeQueue.enqueue(job.recordWrite());
        }
        return job;
    }

    @Override
    public void enqueueWrites(List<? extends PendingWrite> items) {
        items.forEach(writeQueue::enqueue);
    }

    private ActiveJob newActiveJob(PlanRecord plan, long revision) {
        return new ActiveJob(plan.spec(), revision, plan.admittedWallMicros(), limits, this);
    }

    private void activate(ActiveJob job) {
        if (cancelledUids.contains(job.uid())) {
            job.cancel();
        }
        if (!job.hasUnmetDependencies()) {
            capacity.recordArrival(job.spec(), job.readyWallMicros());
        }
        cluster.add(job);
        changed.run();
    }

    /** A job that was admitted during the term; names in overflow values are read first. */
    private void addAdmittedJob(PlanRecord plan, long revision) {
        PlanOverflow.load(plan, store).thenAccept(complete -> {
            if (closed) {
                return;
            }
            if (complete.isEmpty()) {
                eventLoop.schedule(RETRY_MICROS, () -> addAdmittedJob(plan, revision));
                return;
            }
            synchronized (cluster) {
                if (cluster.job(plan.spec().uid()) == null) {
                    ActiveJob job = newActiveJob(complete.get(), revision);
                    activate(job);
                    dependencies.add(job, cancelledUids::contains);
                    inheritance.propagateUrgency(job);
                }
            }
        });
    }

    @Override
    public void dependenciesMet(ActiveJob job) {
        if (job.isCancelled()) {
            return;
        }
        if (job.hasUnmetDependencies()) {
            job.markReady(eventLoop.wallMicros());
            capacity.recordArrival(job.spec(), job.readyWallMicros());
        }
        if (!job.isReleased()) {
            writeQueue.enqueue(job.recordWrite());
        }
    }

    /**
     * The cancellation of what follows is told from that of the first; writing it down spares readers to look for it.
     */
    @Override
    public void dependencyCancelled(ActiveJob job, String because) {
        if (cancelledUids.add(job.uid())) {
            LOG.info("job {} is cancelled: it depends on {}, which was cancelled", job.uid(), because);
            writeQueue.enqueue(new CascadingCancellation(job.uid(), because, eventLoop.wallMicros()));
        }
        cancellationFound(job);
    }

    @Override
    public void lookUpCompletion(String uid) {
        if (closed || !dependencies.isAwaitingLookup(uid)) {
            return;
        }
        if (recentlyDoneUids.contains(uid)) {
            dependencies.lookupSucceeded(uid);
            return;
        }
        store.get(RunRecord.key(uid)).thenAccept(read -> {
            synchronized (cluster) {
                if (read.outcome() == StoreOutcome.OK
                        && RunRecordCodec.decode(read.entry().orElseThrow().value())
                                .isDone()) {
                    recentlyDoneUids.add(uid);
                    dependencies.lookupSucceeded(uid);
                    return;
                }
            }
            // Not read, or not done though nobody drives it: its plan may yet be seen.
            eventLoop.schedule(LOOKUP_RETRY_MICROS, () -> {
                synchronized (cluster) {
                    lookUpCompletion(uid);
                }
            });
        });
    }

    private void watchPlans(long since) {
        follow(
                PlanRecord.PREFIX,
                since,
                PLAN_WATCH_MICROS,
                change -> {
                    if (change.value() != null) {
                        addAdmittedJob(PlanRecordCodec.decode(change.value()), change.revision());
                    }
                },
                sent -> {});
    }

    private void watchCancellations(long since) {
        follow(
                CancellationRecord.PREFIX,
                since,
                CANCELLATIONS_WATCH_MICROS,
                change -> jobCancelled(change.key().substring(CancellationRecord.PREFIX.length())),
                sent -> cancellationsKnownUntilMicros = Math.max(cancellationsKnownUntilMicros, sent));
    }

    /** A cancellation has been stored: seen there, or heard of from the controller that stored it. */
    void jobCancelled(String uid) {
        synchronized (cluster) {
            cancelledUids.add(uid);
            ActiveJob job = cluster.job(uid);
            if (job != null) {
                cancellationFound(job);
            }
            dependencies.markCancelled(uid);
        }
    }

    /** Follows the changes under a prefix for as long as the term lasts. */
    private void follow(String prefix, long since, long blockMicros, Consumer<WatchEvent> each, Consumer<Long> proven) {
        if (closed) {
            return;
        }
        long sent = eventLoop.nowMicros();
        store.watch(prefix, since, blockMicros).thenAccept(result -> {
            if (closed) {
                return;
            }
            switch (result.outcome()) {
                case OK -> {
                    synchronized (cluster) {
                        result.events().forEach(each);
                    }
                    proven.accept(sent);
                    follow(prefix, result.storeRevision(), blockMicros, each, proven);
                }
                case COMPACTED -> missedChanges.accept(prefix);
                default -> eventLoop.schedule(RETRY_MICROS, () -> follow(prefix, since, blockMicros, each, proven));
            }
        });
    }

    @Override
    public void recordStored(ActiveJob job) {
        synchronized (cluster) {
            changed.run();
            dependencies.markReleased(job);
            if (job.isCompletionStored()) {
                cluster.remove(job);
                recentlyDoneUids.add(job.uid());
                LOG.info("job {} is done", job.uid());
                dependencies.markDone(job);
            }
        }
    }

    @Override
    public void cancellationFound(ActiveJob job) {
        synchronized (cluster) {
            if (!job.isCancelled()) {
                job.cancel();
                changed.run();
                onCancelled.accept(job);
                inheritance.recomputeAfterCancellation(List.of(job));
            }
        }
    }

    /** A cancelled job is kept for as long as one of its tasks may be anywhere. */
    void removeCancelledJobs() {
        synchronized (cluster) {
            if (!cluster.allReconciled()) {
                return;
            }
            for (ActiveJob job : List.copyOf(cluster.jobs())) {
                if (job.isCancelled() && job.allocatedCount() == 0) {
                    cluster.remove(job);
                    dependencies.remove(job);
                    enqueueWrites(job.removalsOfChunks());
                }
            }
        }
    }
}
