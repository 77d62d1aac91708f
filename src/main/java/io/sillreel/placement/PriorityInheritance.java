package io.sillreel.placement;

import io.sillreel.pipeline.ActiveJob;
import io.sillreel.pipeline.DependencyGraph;
import io.sillreel.pipeline.PriorityClass;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;

/**
 * Propagates priority and deadlines along the dependency graph: a job inherits the highest priority class of its
 * dependents and a deadline that leaves them their expected run time. Both are updated when dependents are added or
 * cancelled. Guarded by the cluster lock.
 */
public final class PriorityInheritance {
    private final DependencyGraph dependencies;
    private final RuntimeEstimator runtimeEstimator;

    public PriorityInheritance(DependencyGraph dependencies, RuntimeEstimator runtimeEstimator) {
        this.dependencies = dependencies;
        this.runtimeEstimator = runtimeEstimator;
    }

    /** Propagates the urgency of a new job to all its direct and transitive dependencies. */
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

    /**
     * Recomputes the urgency of all direct and transitive dependencies of cancelled jobs from their remaining
     * dependents.
     */
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

    /** Recomputes the urgency that the job inherits from its dependents; returns true if it has changed. */
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

    /** Returns the time of day by which all dependencies have to be done for the job to meet its deadline. */
    private long latestEndOfDependencies(ActiveJob job) {
        long deadline = job.effectiveDeadlineMicros();
        return deadline == Long.MAX_VALUE ? deadline : deadline - runtimeEstimator.makespanMicros(job);
    }
}
