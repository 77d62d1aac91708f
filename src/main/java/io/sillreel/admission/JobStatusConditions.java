package io.sillreel.admission;

import io.sillreel.pipeline.CancellationRecord;
import io.sillreel.pipeline.PlanRecord;
import io.sillreel.pipeline.RunRecord;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * The revisions under which a cached status still holds. For a job that waits for dependencies that includes that none
 * of its unfinished dependencies, direct or transitive, is cancelled. Not thread-safe.
 */
final class JobStatusConditions {
    private final Map<String, Long> revisions = new LinkedHashMap<>();
    private final Set<String> unknownDependencies = new LinkedHashSet<>();
    private boolean dependencyCancelled;

    private JobStatusConditions() {}

    /** Returns the conditions of the status, with what the cache holds of the job's dependencies. */
    static JobStatusConditions of(JobStatus status, JobStatusCache cache) {
        JobStatusConditions conditions = new JobStatusConditions();
        conditions.addOwnKeys(status);
        if (status.isWaitingForDependencies()) {
            conditions.addDependencies(status, cache);
        }
        return conditions;
    }

    /** Returns the id of the job that a key of a condition belongs to. */
    static String uidOf(String key) {
        return key.substring(key.indexOf('/') + 1);
    }

    /** The expected revisions by key; 0 for a key that must not exist. */
    Map<String, Long> revisions() {
        return revisions;
    }

    /** Dependencies that the cache does not know: without them the conditions are incomplete. */
    Set<String> unknownDependencies() {
        return unknownDependencies;
    }

    /** True if a dependency is known to be cancelled, which is final. */
    boolean isDependencyCancelled() {
        return dependencyCancelled;
    }

    private void addOwnKeys(JobStatus status) {
        if (!status.isAccepted()) {
            revisions.put(PlanRecord.key(status.uid()), 0L);
        }
        revisions.put(RunRecord.key(status.uid()), status.runRevision());
        revisions.put(CancellationRecord.key(status.uid()), status.cancellationRevision());
    }

    /** Released jobs do not depend on others any more, and done jobs can't be cancelled: both need no condition. */
    private void addDependencies(JobStatus status, JobStatusCache cache) {
        Deque<String> pending = new ArrayDeque<>(status.dependencies());
        Set<String> visited = new HashSet<>(pending);
        while (!pending.isEmpty()) {
            JobStatus dependency = cache.get(pending.poll());
            if (!dependency.isAccepted()) {
                unknownDependencies.add(dependency.uid());
            } else if (dependency.isCancelled()) {
                dependencyCancelled = true;
                return;
            } else if (!dependency.isDone()) {
                revisions.put(CancellationRecord.key(dependency.uid()), 0L);
                if (dependency.isWaitingForDependencies()) {
                    dependency.dependencies().stream().filter(visited::add).forEach(pending::add);
                }
            }
        }
    }
}
