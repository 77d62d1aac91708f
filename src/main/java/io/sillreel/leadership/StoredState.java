package io.sillreel.leadership;

import io.sillreel.cluster.ScaleOutRequest;
import io.sillreel.pipeline.JobIdSet;
import io.sillreel.pipeline.PlanRecord;
import io.sillreel.pipeline.RunRecord;
import io.sillreel.pipeline.StoredChunks;
import io.sillreel.statestore.PendingWrite;
import java.util.List;

/**
 * Everything that the state service holds when a term begins.
 *
 * @param unfinished jobs whose end is not stored, in the order of their admission
 * @param done ids of the jobs whose end is stored
 * @param recentlyDone plans of those that were admitted lately enough to count as demand
 * @param leftovers removals of what earlier terms left behind beside the records of jobs that are done
 * @param cancelled ids of the jobs whose cancellation is stored
 * @param rentals all stored rentals
 * @param plansRevision the revision from which new plans have to be watched
 * @param cancellationsRevision the revision from which cancellations have to be watched
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
     * A job whose end is not stored.
     *
     * @param head what is stored of its progress, or null if it has not been released
     */
    record StoredJob(PlanRecord plan, long planRevision, RunRecord head, long headRevision, StoredChunks chunks) {
        StoredJob with(StoredChunks newParts) {
            return new StoredJob(plan, planRevision, head, headRevision, newParts);
        }

        StoredJob with(PlanRecord newPlan) {
            return new StoredJob(newPlan, planRevision, head, headRevision, chunks);
        }
    }
}
