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
 * The jobs that a term drives, and the links by which they await each other. A job is released only once the end of all
 * that it awaits is stored; what follows a cancelled job is closed. What is awaited and not driven here, since it ended
 * long ago or its plan has not been seen yet, is looked up in the store and not guessed.
 */
public final class DependencyGraph {
    /** What becomes of jobs when links settle. */
    public interface Callbacks {
        /** All that the job awaits is stored as done: it may be released. */
        void dependenciesMet(ActiveJob job);

        /** Something that the job awaits was cancelled, and so it is. */
        void dependencyCancelled(ActiveJob job, String because);

        /** Find out whether the job, which is not driven here, is done, and tell {@link #lookupSucceeded}. */
        void lookUpCompletion(String uid);
    }

    private final Callbacks callbacks;
    private final Map<String, ActiveJob> jobs = new HashMap<>();
    private PipelineRun run = new PipelineRun(PipelinePlan.compile(List.of(), List.of()));

    public DependencyGraph(Callbacks callbacks) {
        this.callbacks = callbacks;
    }

    /**
     * Takes over what is stored, whatever order it was read in.
     *
     * @param unfinished the jobs of the term; those with a stored release need nothing any more
     * @param done whose end is stored
     * @param cancelled whose cancellation is stored
     */
    public void restore(Collection<ActiveJob> unfinished, Predicate<String> done, Predicate<String> cancelled) {
        Map<String, ActiveJob> byUid = new LinkedHashMap<>();
        unfinished.forEach(job -> byUid.put(job.uid(), job));
        Set<String> names = new LinkedHashSet<>(byUid.keySet());
        Set<String> unknown = new HashSet<>();
        List<Dependency> links = new ArrayList<>();
        for (ActiveJob job : unfinished) {
            for (String awaited : unmetDependencies(job)) {
                if (!done.test(awaited)) {
                    links.add(PipelinePlan.onSuccessOf(job.uid(), awaited));
                    if (!byUid.containsKey(awaited)) {
                        names.add(awaited);
                        unknown.add(awaited);
                    }
                }
            }
        }
        PipelinePlan plan = PipelinePlan.compile(names, links);
        for (String uid : plan.topologicalOrder()) {
            if (unknown.contains(uid)) {
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
        unknown.forEach(callbacks::lookUpCompletion);
    }

    /** A job that was admitted during the term. */
    public void add(ActiveJob job, Predicate<String> cancelled) {
        List<Dependency> into = new ArrayList<>();
        List<String> unknown = new ArrayList<>();
        String closedBy = null;
        for (String awaited : unmetDependencies(job)) {
            if (run.isInState(awaited, JobState.SUCCEEDED)) {
                continue;
            }
            boolean closed = cancelled.test(awaited);
            if (closed) {
                closedBy = awaited;
            }
            if (!run.contains(awaited)) {
                run.addExternal(awaited);
                if (!closed) {
                    unknown.add(awaited);
                }
            }
            into.add(PipelinePlan.onSuccessOf(job.uid(), awaited));
        }
        addToRun(job, into);
        if (closedBy != null) {
            run.cancel(job.uid());
            callbacks.dependencyCancelled(job, closedBy);
        } else if (run.isInState(job.uid(), JobState.READY)) {
            callbacks.dependenciesMet(job);
        }
        unknown.forEach(callbacks::lookUpCompletion);
    }

    private void addToRun(ActiveJob job, Collection<Dependency> into) {
        jobs.put(job.uid(), job);
        run.add(job.uid(), into);
        if (job.isReleased()) {
            run.release(job.uid());
        }
    }

    private static List<String> unmetDependencies(ActiveJob job) {
        // Whoever has been released had all that it awaits.
        return job.isReleased() ? List.of() : job.spec().dependencies();
    }

    /** The release is stored. */
    public void markReleased(ActiveJob job) {
        if (run.isInState(job.uid(), JobState.READY)) {
            run.release(job.uid());
        }
    }

    /** The end is stored: what awaited only this is ready. */
    public void markDone(ActiveJob job) {
        if (run.isInState(job.uid(), JobState.RELEASED)) {
            notifyReady(run.complete(job.uid(), true));
        }
        remove(job);
    }

    /** What was asked for by {@link Callbacks#lookUp} is known: the job is done. */
    public void lookupSucceeded(String uid) {
        notifyReady(run.completeExternal(uid, true));
        if (run.isInState(uid, JobState.SUCCEEDED)) {
            run.remove(uid);
        }
    }

    /** True if somebody still waits to know whether that job is done. */
    public boolean isAwaitingLookup(String uid) {
        return run.isExternal(uid) && run.isInState(uid, JobState.WAITING);
    }

    private void notifyReady(List<String> uids) {
        uids.forEach(uid -> callbacks.dependenciesMet(jobs.get(uid)));
    }

    /** The job's cancellation is stored: all that needs it is closed, in compiled order. */
    public void markCancelled(String uid) {
        for (String closed : run.cancel(uid)) {
            ActiveJob job = jobs.get(closed);
            if (job != null) {
                callbacks.dependencyCancelled(job, uid);
            }
        }
    }

    /** The job is over, and nothing of it is anywhere any more. */
    public void remove(ActiveJob job) {
        List<String> upstream = run.upstreamJobs(job.uid());
        run.remove(job.uid());
        jobs.remove(job.uid());
        for (String each : upstream) {
            // Nobody asks any more what became of it.
            if (run.isExternal(each) && run.downstreamJobs(each).isEmpty()) {
                run.remove(each);
            }
        }
    }

    /** Jobs that need the given one directly. */
    public List<ActiveJob> dependents(ActiveJob job) {
        return present(run.downstreamJobs(job.uid()));
    }

    /** Jobs that the given one still awaits directly, as far as they are driven here. */
    public List<ActiveJob> dependencies(ActiveJob job) {
        return present(run.upstreamJobs(job.uid()));
    }

    private List<ActiveJob> present(List<String> uids) {
        List<ActiveJob> present = new ArrayList<>();
        for (String uid : uids) {
            ActiveJob job = jobs.get(uid);
            if (job != null) {
                present.add(job);
            }
        }
        return present;
    }
}
