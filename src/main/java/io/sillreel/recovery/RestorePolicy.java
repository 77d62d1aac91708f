package io.sillreel.recovery;

import com.fasterxml.jackson.databind.JsonNode;
import io.sillreel.leadership.LeaderElection;
import io.sillreel.pipeline.CancellationRecord;
import io.sillreel.pipeline.PlanRecord;
import io.sillreel.pipeline.RunRecord;
import io.sillreel.pipeline.RunRecordCodec;
import java.util.List;
import java.util.Set;

/** Decides whether a change that was lost is made again. */
final class RestorePolicy {
    /** Whatever they hold, they hold it for ever. */
    private static final List<String> IMMUTABLE_PREFIXES =
            List.of(PlanRecord.PREFIX, PlanRecord.OVERFLOW_PREFIX, CancellationRecord.PREFIX);

    /** They belong to the term that puts writes back. */
    private static final Set<String> RECOVERY_TERM_KEYS = Set.of(LeaderElection.TERM_KEY, RecoveryRecord.KEY);

    private RestorePolicy() {}

    /** True for a key that is written anew by the term that puts writes back. */
    static boolean belongsToRecoveryTerm(String key) {
        return RECOVERY_TERM_KEYS.contains(key);
    }

    /**
     * True if the change has to be made again.
     *
     * @param change the newest change of the key that is known from before the loss
     * @param current what the key holds now, missing if it does not exist
     * @param currentRevision its stamp, 0 if it does not exist
     * @param firstRevisionAfterLoss a revision at or below which nothing has been written since the service came back
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
            // An end that was stored stays one, whatever a leader that did not know of it has written since.
            return !RunRecordCodec.isDone(current)
                    && (RunRecordCodec.isDone(change.jsonValue()) || currentRevision <= firstRevisionAfterLoss);
        }
        return currentRevision <= firstRevisionAfterLoss;
    }
}
