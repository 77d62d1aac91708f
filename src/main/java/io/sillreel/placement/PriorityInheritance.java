package io.sillreel.placement;

import io.sillreel.pipeline.ActiveJob;
import io.sillreel.pipeline.DependencyGraph;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;

/**
 * A job is as urgent as whatever needs it: it takes the highest rank of those, and a deadline that leaves them the time
 * they are expected to take. Both follow as jobs join a chain and as jobs that needed others are cancelled.
 */
public final class PriorityInheritance {
    private final DependencyGraph dependencies;
    private final RuntimeEstimator runtimeEstimator;

    public PriorityInheritance(DependencyGraph dependencies, RuntimeEstimator runtimeEstimator) {
        this.dependencies = dependencies;
        this.runtimeEstimator = runtimeEstimator;
    }

    /** The job has joined a chain, or jobs that it is needed by have told it something new. */
    public void propagateUrgency(ActiveJob job) {
        Deque<ActiveJob> open = new ArrayDeque<>();
        open.add(job);
        while (!open.isEmpty()) {
            ActiveJob needing = open.poll();
            if (needing.isCancelled()) {
                continue;
            }
            for (ActiveJob awaited : dependencies.dependencies(needing)) {
                if (awaited.inheritUrgency(needing.effectivePriority(), latestEndOfDependencies(needing))) {
                    open.add(awaited);
                }
            }
        }
    }

    /** Jobs that needed others are cancelled: what they awaited is only as urgent as those that still need it. */
    public void recomputeAfterCancellation(Collection<ActiveJob> cancelled) {
        Deque<ActiveJob> open = new ArrayDeque<>();
        cancelled.forEach(job -> open.addAll(dependencies.dependencies(job)));
        while (!open.isEmpty()) {
            ActiveJob job = open.poll();
            if (job.isCancelled()) {
                continue;
            }
            var rank = job.effectivePriority();
            long before = job.inheritedDeadlineMicros();
            job.resetInheritedUrgency();
            for (ActiveJob needing : dependencies.dependents(job)) {
                if (!needing.isCancelled()) {
                    job.inheritUrgency(needing.effectivePriority(), latestEndOfDependencies(needing));
                }
            }
            if (rank != job.effectivePriority() || before != job.inheritedDeadlineMicros()) {
                open.addAll(dependencies.dependencies(job));
            }
        }
    }

    /** When all that the job awaits has to be done so that it ends in time; time of day. */
    private long latestEndOfDependencies(ActiveJob job) {
        long end = job.effectiveDeadlineMicros();
        return end == Long.MAX_VALUE ? end : end - runtimeEstimator.makespanMicros(job);
    }
}
