package io.sillreel.pipeline;

import io.sillreel.pipeline.PipelinePlan.Dependency;
import io.sillreel.pipeline.PipelineRun.JobState;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The jobs of a leader's term and their dependencies. A job is released only once the completion of all of its
 * dependencies is stored; jobs that depend on a cancelled job are cancelled. A dependency that is not active in this
 * term, because it was done in an earlier one or its plan has not been read yet, is external: its completion is looked
 * up in the state service.
 *
 * <p>Guarded by the cluster lock, which is held during callbacks.
 */
public final class DependencyGraph {
    /** Receives the effects of completed and cancelled dependencies, and lookup requests. */
    public interface Callbacks {
        /** Called when the completion of all dependencies is stored: the job may be released. */
        void dependenciesMet(ActiveJob job);

        /** Called when a job is cancelled because {@code cause}, a direct or transitive dependency, is cancelled. */
        void dependencyCancelled(ActiveJob job, String cause);

        /** Requests a lookup of whether an external job is done; {@link #markExternalDone} is to be called if so. */
        void lookUpCompletion(String uid);
    }

    private final Callbacks callbacks;
    private final Map<String, ActiveJob> jobs = new HashMap<>();
    private PipelineRun run = new PipelineRun(PipelinePlan.compile(List.of(), List.of()));

    /** Creates an empty graph. */
    public DependencyGraph(Callbacks callbacks) {
        this.callbacks = callbacks;
    }

    /**
     * Adds the stored jobs at the beginning of a term, in any order.
     *
     * @param unfinished the jobs of the term; if the release of a job is stored, its dependencies are done
     * @param done true for the id of a job whose completion is stored
     * @param cancelled true for the id of a job whose cancellation is stored
     */
    public void restore(Collection<ActiveJob> unfinished, Predicate<String> done, Predicate<String> cancelled) {
        Map<String, ActiveJob> byUid = new LinkedHashMap<>();
        unfinished.forEach(job -> byUid.put(job.uid(), job));
        Set<String> external = new HashSet<>();
        PipelinePlan plan = compile(byUid, done, external);
        for (String uid : plan.topologicalOrder()) {
            if (external.contains(uid)) {
                run.addExternal(uid);
            } else {
                addToRun(byUid.get(uid), plan.dependenciesOf(uid));
            }
        }
        for (String uid : plan.topologicalOrder()) {
            if (cancelled.test(uid)) {
                markCancelled(uid);
            }
        }
        for (String uid : run.readyJobs()) {
            callbacks.dependenciesMet(jobs.get(uid));
        }
        external.forEach(callbacks::lookUpCompletion);
    }

    /** Compiles the given jobs and their dependencies; adds the ids of dependencies outside of them to a set. */
    private static PipelinePlan compile(Map<String, ActiveJob> byUid, Predicate<String> done, Set<String> external) {
        Set<String> uids = new LinkedHashSet<>(byUid.keySet());
        List<Dependency> dependencies = new ArrayList<>();
        for (ActiveJob job : byUid.values()) {
            for (String upstream : unmetDependencies(job)) {
                if (!done.test(upstream)) {
                    dependencies.add(PipelinePlan.onSuccessOf(job.uid(), upstream));
                    if (!byUid.containsKey(upstream)) {
                        uids.add(upstream);
                        external.add(upstream);
                    }
                }
            }
        }
        return PipelinePlan.compile(uids, dependencies);
    }

    /**
     * Adds a job that was admitted during the term.
     *
     * @param cancelled true for the id of a job whose cancellation is stored
     */
    public void add(ActiveJob job, Predicate<String> cancelled) {
        List<Dependency> dependencies = new ArrayList<>();
        List<String> toLookUp = new ArrayList<>();
        String cancelledUpstream = null;
        for (String upstream : unmetDependencies(job)) {
            if (run.isInState(upstream, JobState.SUCCEEDED)) {
                continue;
            }
            boolean isUpstreamCancelled = cancelled.test(upstream);
            if (isUpstreamCancelled) {
                cancelledUpstream = upstream;
            }
            if (!run.contains(upstream)) {
                run.addExternal(upstream);
                if (!isUpstreamCancelled) {
                    toLookUp.add(upstream);
                }
            }
            dependencies.add(PipelinePlan.onSuccessOf(job.uid(), upstream));
        }
        addToRun(job, dependencies);
        if (cancelledUpstream != null) {
            run.cancel(job.uid());
            callbacks.dependencyCancelled(job, cancelledUpstream);
        } else if (run.isInState(job.uid(), JobState.READY)) {
            callbacks.dependenciesMet(job);
        }
        toLookUp.forEach(callbacks::lookUpCompletion);
    }

    private void addToRun(ActiveJob job, Collection<Dependency> dependencies) {
        jobs.put(job.uid(), job);
        run.add(job.uid(), dependencies);
        if (job.isReleased()) {
            run.release(job.uid());
        }
    }

    private static List<String> unmetDependencies(ActiveJob job) {
        // The dependencies of a released job are done.
        return job.isReleased() ? List.of() : job.spec().dependencies();
    }

    /** Marks the release of the job as stored. */
    public void markReleased(ActiveJob job) {
        if (run.isInState(job.uid(), JobState.READY)) {
            run.release(job.uid());
        }
    }

    /** Marks the completion of the job as stored; jobs for which this was the last unmet dependency become ready. */
    public void markDone(ActiveJob job) {
        if (run.isInState(job.uid(), JobState.RELEASED)) {
            notifyReady(run.complete(job.uid(), true));
        }
        remove(job);
    }

    /** Marks an external job as done, after {@link Callbacks#lookUpCompletion}. */
    public void markExternalDone(String uid) {
        notifyReady(run.completeExternal(uid, true));
        if (run.isInState(uid, JobState.SUCCEEDED)) {
            run.remove(uid);
        }
    }

    /** True if the job is external, a job still depends on it, and its completion has not been found. */
    public boolean isAwaitingLookup(String uid) {
        return run.isExternal(uid) && run.isInState(uid, JobState.WAITING);
    }

    private void notifyReady(List<String> uids) {
        uids.forEach(uid -> callbacks.dependenciesMet(jobs.get(uid)));
    }

    /** Marks the cancellation of the job as stored and cancels all jobs that depend on it, in topological order. */
    public void markCancelled(String uid) {
        for (String skippedUid : run.cancel(uid)) {
            ActiveJob job = jobs.get(skippedUid);
            if (job != null) {
                callbacks.dependencyCancelled(job, uid);
            }
        }
    }

    /** Removes a job that has ended and has no allocations left. */
    public void remove(ActiveJob job) {
        List<String> upstream = run.upstreamJobs(job.uid());
        run.remove(job.uid());
        jobs.remove(job.uid());
        for (String upstreamJob : upstream) {
            // No job depends on the external job any more, so its completion need not be looked up.
            if (run.isExternal(upstreamJob) && run.downstreamJobs(upstreamJob).isEmpty()) {
                run.remove(upstreamJob);
            }
        }
    }

    /** Returns the jobs that depend directly on the given one. */
    public List<ActiveJob> dependents(ActiveJob job) {
        return activeJobs(run.downstreamJobs(job.uid()));
    }

    /** Returns the unfinished jobs of this term on which the given one depends directly. */
    public List<ActiveJob> dependencies(ActiveJob job) {
        return activeJobs(run.upstreamJobs(job.uid()));
    }

    private List<ActiveJob> activeJobs(List<String> uids) {
        List<ActiveJob> active = new ArrayList<>();
        for (String uid : uids) {
            ActiveJob job = jobs.get(uid);
            if (job != null) {
                active.add(job);
            }
        }
        return active;
    }
}
