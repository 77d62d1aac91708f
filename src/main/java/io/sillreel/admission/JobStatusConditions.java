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
 * The revisions at which a cached status is still valid. For a job that waits for dependencies, the conditions include
 * that none of its unfinished dependencies, direct or transitive, is cancelled. Not thread-safe.
 */
final class JobStatusConditions {
    private final Map<String, Long> revisions = new LinkedHashMap<>();
    private final Set<String> unknownDependencies = new LinkedHashSet<>();
    private boolean dependencyCancelled;

    private JobStatusConditions() {}

    /** Returns the conditions of the status, including those on the cached dependencies of the job. */
    static JobStatusConditions of(JobStatus status, JobStatusCache cache) {
        JobStatusConditions conditions = new JobStatusConditions();
        conditions.addOwnKeys(status);
        if (status.isWaitingForDependencies()) {
            conditions.addDependencies(status, cache);
        }
        return conditions;
    }

    /** Returns the job id in the key of a condition. */
    static String uidOf(String key) {
        return key.substring(key.indexOf('/') + 1);
    }

    /** The expected revision of each key; 0 for a key that must not exist. */
    Map<String, Long> revisions() {
        return revisions;
    }

    /** Dependencies that are not cached, without which the conditions are incomplete. */
    Set<String> unknownDependencies() {
        return unknownDependencies;
    }

    /** True if a dependency is known to be cancelled, which is final. */
    boolean isDependencyCancelled() {
        return dependencyCancelled;
    }

    private void addOwnKeys(JobStatus status) {
        if (!status.isAdmitted()) {
            revisions.put(PlanRecord.key(status.uid()), 0L);
        }
        revisions.put(RunRecord.key(status.uid()), status.runRevision());
        revisions.put(CancellationRecord.key(status.uid()), status.cancellationRevision());
    }

    /** Skips the dependencies of released jobs, which are all done, and done jobs, which can't be cancelled. */
    private void addDependencies(JobStatus status, JobStatusCache cache) {
        Deque<String> pending = new ArrayDeque<>(status.dependencies());
        Set<String> visited = new HashSet<>(pending);
        while (!pending.isEmpty()) {
            JobStatus dependency = cache.get(pending.poll());
            if (!dependency.isAdmitted()) {
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
