package io.sillreel.admission;

import io.sillreel.pipeline.RunRecord;
import java.util.List;

/**
 * What this controller last read of a job. A revision is 0 if its key did not exist then. Immutable.
 *
 * @param planRevision revision of the job's plan; 0 if the job has not been accepted
 * @param dependencies ids of the jobs that have to be done before this one is released
 * @param runRevision revision of the job's run record; 0 if the job has not been released
 * @param runRecord the run record of that revision, or null if there is none
 * @param cancellationRevision revision of the job's own cancellation; 0 if it has none
 * @param dependencyCancelled true if a job that it depends on, directly or transitively, is cancelled
 */
record JobStatus(
        String uid,
        long planRevision,
        List<String> dependencies,
        long runRevision,
        RunRecord runRecord,
        long cancellationRevision,
        boolean dependencyCancelled) {

    /** The status of a job of which nothing is known. */
    static JobStatus unknown(String uid) {
        return ofPlan(uid, 0, List.of());
    }

    /** The status of a job of which only the plan is known. */
    static JobStatus ofPlan(String uid, long planRevision, List<String> dependencies) {
        return new JobStatus(uid, planRevision, dependencies, 0, null, 0, false);
    }

    boolean isAccepted() {
        return planRevision > 0;
    }

    boolean isDone() {
        return runRecord != null && runRecord.isDone();
    }

    /** True if the job itself is cancelled, or one of its dependencies, without which it is never released. */
    boolean isCancelled() {
        return cancellationRevision > 0 || dependencyCancelled;
    }

    /** True if the stored state is final: it may be told without asking the store again. */
    boolean isTerminal() {
        return isDone() || isCancelled();
    }

    /** True if a cancellation of other jobs may still cancel this one; once it is released, all of them are done. */
    boolean isWaitingForDependencies() {
        return !dependencies.isEmpty() && runRevision == 0 && !isCancelled();
    }

    /** The same status with what was read of the job's run record and cancellation. */
    JobStatus withRun(long newRunRevision, RunRecord newRunRecord, long newCancellationRevision) {
        return new JobStatus(
                uid, planRevision, dependencies, newRunRevision, newRunRecord, newCancellationRevision, false);
    }

    /** The same status with the job's own cancellation. */
    JobStatus withCancellation(long revision) {
        return withRun(runRevision, runRecord, revision);
    }

    /** The same status with a cancelled dependency. */
    JobStatus withDependencyCancelled() {
        return new JobStatus(uid, planRevision, dependencies, runRevision, runRecord, cancellationRevision, true);
    }

    /** The newest of each key from both: the keys are not read in one transaction, so neither is newer in all. */
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
