package io.sillreel.leadership;

import io.sillreel.cluster.Cluster;
import io.sillreel.http.EventLoop;
import io.sillreel.leadership.StoredState.StoredJob;
import io.sillreel.pipeline.ActiveJob;
import io.sillreel.pipeline.CascadingCancellation;
import io.sillreel.pipeline.DependencyGraph;
import io.sillreel.pipeline.JobIdSet;
import io.sillreel.pipeline.PlanOverflow;
import io.sillreel.pipeline.PlanRecord;
import io.sillreel.placement.CapacityPlanner;
import io.sillreel.placement.PriorityInheritance;
import io.sillreel.placement.RuntimeEstimator;
import io.sillreel.settings.ValueLimits;
import io.sillreel.statestore.PendingWrite;
import io.sillreel.statestore.StateStore;
import io.sillreel.statestore.WriteQueue;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The jobs of one term: the unfinished jobs that were stored when it began, and those that have been admitted since.
 * Once the completion or cancellation of a job is stored, its dependents are released or cancelled (ADR 0006, "Edge
 * state"). All state is guarded by the cluster lock.
 */
final class LeaderJobs implements ActiveJob.Listener, DependencyGraph.Callbacks {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderJobs.class);
    private static final long RETRY_MICROS = 300_000;

    private final EventLoop eventLoop;
    private final StateStore store;
    private final Cluster cluster;
    private final WriteQueue writeQueue;
    private final CapacityPlanner capacity;
    private final ValueLimits limits;
    private final SchedulingRequests scheduling;
    private final DependencyGraph dependencies = new DependencyGraph(this);
    private final DependencyLookup dependencyLookup;
    private final PriorityInheritance inheritance;
    /** Jobs that were restored, and whose plans the watch reports once more. */
    private final Set<String> plansReportedAgain = new HashSet<>();

    private JobIdSet cancelledUids = new JobIdSet();
    private boolean closed;

    LeaderJobs(
            EventLoop eventLoop,
            StateStore store,
            Cluster cluster,
            WriteQueue writeQueue,
            CapacityPlanner capacity,
            RuntimeEstimator runtimeEstimator,
            ValueLimits limits,
            SchedulingRequests scheduling) {
        this.eventLoop = eventLoop;
        this.store = store;
        this.cluster = cluster;
        this.writeQueue = writeQueue;
        this.capacity = capacity;
        this.limits = limits;
        this.scheduling = scheduling;
        this.dependencyLookup = new DependencyLookup(eventLoop, store, cluster, dependencies);
        this.inheritance = new PriorityInheritance(dependencies, runtimeEstimator);
    }

    /** Restores the stored jobs at the beginning of the term. */
    void restore(StoredState state) {
        cancelledUids = state.cancelled();
        state.recentlyDone().forEach(plan -> capacity.recordArrival(plan.spec(), plan.admittedWallMicros()));
        enqueueWrites(state.obsoleteChunkRemovals());
        recordPlansReportedAgain(state);
        List<ActiveJob> unfinished = new ArrayList<>();
        for (StoredJob stored : state.unfinished()) {
            String work = "the restoration of job " + stored.plan().spec().uid();
            eventLoop.unexpectedErrors().runConfined(work, () -> unfinished.add(restoreJob(stored)));
        }
        dependencies.restore(unfinished, state.done()::contains, uid -> cancelledUids.contains(uid));
        unfinished.forEach(inheritance::propagateUrgency);
    }

    /**
     * The watch of plans begins at the revision of the first page that was read. Plans of later pages may be newer, and
     * are then found by both. By the time the watch reports them, their jobs may have ended.
     */
    private void recordPlansReportedAgain(StoredState state) {
        for (StoredJob stored : state.unfinished()) {
            if (stored.planRevision() > state.plansRevision()) {
                plansReportedAgain.add(stored.plan().spec().uid());
            }
        }
    }

    void close() {
        closed = true;
        dependencyLookup.close();
    }

    private ActiveJob restoreJob(StoredJob stored) {
        ActiveJob job = newActiveJob(stored.plan(), stored.planRevision());
        if (stored.runRecord() != null) {
            job.inherit(stored.runRevision(), stored.runRecord(), stored.chunks());
        }
        activate(job);
        if (job.isComplete() && !job.isCancelled()) {
            writeQueue.enqueue(job.recordWrite());
        }
        return job;
    }

    @Override
    public void enqueueWrites(List<? extends PendingWrite> writes) {
        writes.forEach(writeQueue::enqueue);
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
        scheduling.requestPlan();
    }

    /** Adds a job that was admitted during the term, once the overflow values of its plan have been read. */
    void addAdmittedJob(PlanRecord plan, long revision) {
        if (plansReportedAgain.remove(plan.spec().uid())) {
            return;
        }
        String work = "the plan of job " + plan.spec().uid();
        eventLoop.unexpectedErrors().whenDone(PlanOverflow.load(plan, store), work, completePlan -> {
            if (closed) {
                return;
            }
            if (completePlan.isEmpty()) {
                eventLoop.schedule(RETRY_MICROS, () -> addAdmittedJob(plan, revision));
                return;
            }
            synchronized (cluster) {
                if (cluster.job(plan.spec().uid()) == null) {
                    ActiveJob job = newActiveJob(completePlan.get(), revision);
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
     * Cancels a dependent job. Its cancellation follows from that of the dependency, but is stored as well, so that a
     * status query does not have to read other jobs.
     */
    @Override
    public void dependencyCancelled(ActiveJob job, String cause) {
        if (cancelledUids.add(job.uid())) {
            LOG.info("cancelled job {} because job {}, on which it depends, was cancelled", job.uid(), cause);
            writeQueue.enqueue(new CascadingCancellation(job.uid(), cause, eventLoop.wallMicros()));
        }
        cancellationFound(job);
    }

    @Override
    public void lookUpCompletion(String uid) {
        dependencyLookup.lookUp(uid);
    }

    /** Handles a stored cancellation, reported by the watch or by the controller that stored it. Takes the lock. */
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

    @Override
    public void recordStored(ActiveJob job) {
        synchronized (cluster) {
            scheduling.requestPlan();
            dependencies.markReleased(job);
            if (job.isCompletionStored()) {
                cluster.remove(job);
                dependencyLookup.recordDone(job.uid());
                LOG.info("job {} is done", job.uid());
                dependencies.markDone(job);
            }
        }
    }

    @Override
    public void completionFound(ActiveJob job) {
        LOG.warn("job {} is stored as done, but was not done in this term", job.uid());
        synchronized (cluster) {
            job.markAllTasksDone();
        }
    }

    @Override
    public void cancellationFound(ActiveJob job) {
        synchronized (cluster) {
            if (!job.isCancelled()) {
                job.cancel();
                scheduling.requestPlan();
                scheduling.requestStops(job);
                inheritance.recomputeAfterCancellation(List.of(job));
            }
        }
    }

    /** Removes cancelled jobs that can't have tasks on any machine any more. Takes the lock. */
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
