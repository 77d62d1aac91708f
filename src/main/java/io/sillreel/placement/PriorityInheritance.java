package io.sillreel.placement;

import io.sillreel.pipeline.ActiveJob;
import io.sillreel.pipeline.DependencyGraph;
import io.sillreel.pipeline.PriorityClass;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;

/**
 * Passes urgency along the dependency graph: a job takes the highest priority class of its dependents, and a deadline
 * that leaves them the time they are expected to take. Both follow as dependents are added and cancelled. Guarded by
 * the lock of the cluster.
 */
public final class PriorityInheritance {
    private final DependencyGraph dependencies;
    private final RuntimeEstimator runtimeEstimator;

    public PriorityInheritance(DependencyGraph dependencies, RuntimeEstimator runtimeEstimator) {
        this.dependencies = dependencies;
        this.runtimeEstimator = runtimeEstimator;
    }

    /** Passes the urgency of a new job on to all jobs that it depends on, directly or not. */
    public void propagateUrgency(ActiveJob job) {
        Deque<ActiveJob> pending = new ArrayDeque<>();
        pending.add(job);
        while (!pending.isEmpty()) {
            ActiveJob dependent = pending.poll();
            if (dependent.isCancelled()) {
                continue;
            }
            for (ActiveJob dependency : dependencies.dependencies(dependent)) {
                if (dependency.inheritUrgency(dependent.effectivePriority(), latestEndOfDependencies(dependent))) {
                    pending.add(dependency);
                }
            }
        }
    }

    /** Computes anew the urgency of all jobs that cancelled jobs depended on: only the remaining dependents count. */
    public void recomputeAfterCancellation(Collection<ActiveJob> cancelled) {
        Deque<ActiveJob> pending = new ArrayDeque<>();
        cancelled.forEach(job -> pending.addAll(dependencies.dependencies(job)));
        while (!pending.isEmpty()) {
            ActiveJob job = pending.poll();
            if (!job.isCancelled() && recomputeUrgency(job)) {
                pending.addAll(dependencies.dependencies(job));
            }
        }
    }

    /** Computes anew what the job inherits from its dependents; true if that has changed. */
    private boolean recomputeUrgency(ActiveJob job) {
        PriorityClass priorityBefore = job.effectivePriority();
        long deadlineBefore = job.inheritedDeadlineMicros();
        job.resetInheritedUrgency();
        for (ActiveJob dependent : dependencies.dependents(job)) {
            if (!dependent.isCancelled()) {
                job.inheritUrgency(dependent.effectivePriority(), latestEndOfDependencies(dependent));
            }
        }
        return priorityBefore != job.effectivePriority() || deadlineBefore != job.inheritedDeadlineMicros();
    }

    /** Returns the time of day by which all dependencies have to be done so that the job ends in time. */
    private long latestEndOfDependencies(ActiveJob job) {
        long deadline = job.effectiveDeadlineMicros();
        return deadline == Long.MAX_VALUE ? deadline : deadline - runtimeEstimator.makespanMicros(job);
    }
}
