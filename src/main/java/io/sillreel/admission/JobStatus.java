package io.sillreel.admission;

import io.sillreel.pipeline.RunRecord;
import java.util.List;

/**
 * The stored state of a job as this controller last read it. The revision of a key that did not exist is 0. Immutable.
 *
 * @param planRevision revision of the job's plan; 0 if the job has not been admitted
 * @param dependencies ids of the jobs that have to be done before this one is released
 * @param runRevision revision of the job's run record; 0 if the job has not been released
 * @param runRecord the run record of that revision, or null if there is none
 * @param cancellationRevision revision of the job's own cancellation; 0 if it has none
 * @param dependencyCancelled true if a direct or transitive dependency of the job is cancelled
 */
record JobStatus(
        String uid,
        long planRevision,
        List<String> dependencies,
        long runRevision,
        RunRecord runRecord,
        long cancellationRevision,
        boolean dependencyCancelled) {

    /** The status of an unknown job. */
    static JobStatus unknown(String uid) {
        return ofPlan(uid, 0, List.of());
    }

    /** The status of a job whose plan is known, and nothing else. */
    static JobStatus ofPlan(String uid, long planRevision, List<String> dependencies) {
        return new JobStatus(uid, planRevision, dependencies, 0, null, 0, false);
    }

    boolean isAdmitted() {
        return planRevision > 0;
    }

    boolean isDone() {
        return runRecord != null && runRecord.isDone();
    }

    /** True if the job itself is cancelled, or one of its dependencies, so that it is never released. */
    boolean isCancelled() {
        return cancellationRevision > 0 || dependencyCancelled;
    }

    /** True if the stored state is terminal, so that it may be returned without confirmation by the state service. */
    boolean isTerminal() {
        return isDone() || isCancelled();
    }

    /** True if the cancellation of a dependency may still cancel this job; once released, all dependencies are done. */
    boolean isWaitingForDependencies() {
        return !dependencies.isEmpty() && runRevision == 0 && !isCancelled();
    }

    /** The same status with a newly read run record and cancellation of the job. */
    JobStatus withRun(long newRunRevision, RunRecord newRunRecord, long newCancellationRevision) {
        return new JobStatus(
                uid, planRevision, dependencies, newRunRevision, newRunRecord, newCancellationRevision, false);
    }

    /** The same status with a cancellation of the job itself. */
    JobStatus withCancellation(long revision) {
        return withRun(runRevision, runRecord, revision);
    }

    /** The same status with a cancelled dependency. */
    JobStatus withDependencyCancelled() {
        return new JobStatus(uid, planRevision, dependencies, runRevision, runRecord, cancellationRevision, true);
    }

    /** Merges both statuses by the newest revision of each key, since the keys are not read in one transaction. */
    JobStatus mergedWith(JobStatus other) {
        boolean otherRunNewer = runRevision < other.runRevision();
        return new JobStatus(
                uid,
                Math.max(planRevision, other.planRevision()),
                dependencies.isEmpty() ? other.dependencies() : dependencies,
                Math.max(runRevision, other.runRevision()),
                otherRunNewer ? other.runRecord() : runRecord,
                Math.max(cancellationRevision, other.cancellationRevision()),
                dependencyCancelled || other.dependencyCancelled());
    }
}
