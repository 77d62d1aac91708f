package io.sillreel.leadership;

import io.sillreel.cluster.ScaleOutRequest;
import io.sillreel.pipeline.JobIdSet;
import io.sillreel.pipeline.PlanRecord;
import io.sillreel.pipeline.RunRecord;
import io.sillreel.pipeline.StoredChunks;
import io.sillreel.statestore.PendingWrite;
import java.util.List;

/**
 * The contents of the state service at the beginning of a term.
 *
 * @param unfinished jobs whose completion is not stored, in order of admission
 * @param done ids of the jobs whose completion is stored
 * @param recentlyDone plans of done jobs that were admitted recently enough to count as demand, oldest first
 * @param obsoleteChunkRemovals removals of completion bitmap chunks that earlier terms left behind for done jobs
 * @param cancelled ids of the jobs whose cancellation is stored
 * @param scaleOutRequests all stored scale-out requests
 * @param plansRevision the revision from which to watch plans
 * @param cancellationsRevision the revision from which to watch cancellations
 */
record StoredState(
        List<StoredJob> unfinished,
        JobIdSet done,
        List<PlanRecord> recentlyDone,
        List<PendingWrite> obsoleteChunkRemovals,
        JobIdSet cancelled,
        List<ScaleOutRequest> scaleOutRequests,
        long plansRevision,
        long cancellationsRevision) {

    /**
     * A job whose completion is not stored.
     *
     * @param planRevision the revision of the plan, which gives the order of admission
     * @param runRecord the stored run record, or null if the job has not been released
     * @param runRevision the revision of the run record, or 0 if there is none
     * @param chunks the stored chunks of its completion bitmap
     */
    record StoredJob(PlanRecord plan, long planRevision, RunRecord runRecord, long runRevision, StoredChunks chunks) {
        StoredJob withChunks(StoredChunks newChunks) {
            return new StoredJob(plan, planRevision, runRecord, runRevision, newChunks);
        }

        StoredJob withPlan(PlanRecord newPlan) {
            return new StoredJob(newPlan, planRevision, runRecord, runRevision, chunks);
        }
    }
}
