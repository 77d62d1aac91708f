package io.sillreel.recovery;

import com.fasterxml.jackson.databind.JsonNode;
import io.sillreel.leadership.LeaderElection;
import io.sillreel.pipeline.CancellationRecord;
import io.sillreel.pipeline.PlanRecord;
import io.sillreel.pipeline.RunRecord;
import io.sillreel.pipeline.RunRecordCodec;
import java.util.List;
import java.util.Set;

/** Decides whether a lost change is restored. */
final class RestorePolicy {
    /** Prefixes of keys whose values are written once and never change. */
    private static final List<String> IMMUTABLE_PREFIXES =
            List.of(PlanRecord.PREFIX, PlanRecord.OVERFLOW_PREFIX, CancellationRecord.PREFIX);

    /** Keys that are written by the term that restores the lost writes. */
    private static final Set<String> RECOVERY_TERM_KEYS = Set.of(LeaderElection.TERM_KEY, RecoveryRecord.KEY);

    private RestorePolicy() {}

    /** True for a key that is written by the term that restores the lost writes, and is never restored itself. */
    static boolean belongsToRecoveryTerm(String key) {
        return RECOVERY_TERM_KEYS.contains(key);
    }

    /**
     * True if the change has to be restored.
     *
     * @param change the newest known change of the key before the loss
     * @param current the current value of the key, a missing node if the key does not exist
     * @param currentRevision the current revision of the key, 0 if it does not exist
     * @param firstRevisionAfterLoss a revision at or below which nothing has been written since the loss
     */
    static boolean shouldRestore(
            RecentChange change, JsonNode current, long currentRevision, long firstRevisionAfterLoss) {
        if (RECOVERY_TERM_KEYS.contains(change.key())) {
            return false;
        }
        if (change.isRemoval()) {
            return currentRevision > 0 && currentRevision <= firstRevisionAfterLoss;
        }
        if (currentRevision == 0) {
            return true;
        }
        if (IMMUTABLE_PREFIXES.stream().anyMatch(change.key()::startsWith)) {
            return false;
        }
        if (change.key().startsWith(RunRecord.PREFIX)) {
            // A final stage is never replaced, even if a leader that did not know of it has written since the loss.
            return !RunRecordCodec.isDone(current)
                    && (RunRecordCodec.isDone(change.jsonValue()) || currentRevision <= firstRevisionAfterLoss);
        }
        return currentRevision <= firstRevisionAfterLoss;
    }
}
