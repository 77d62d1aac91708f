package io.sillreel.pipeline;

import com.fasterxml.jackson.databind.JsonNode;
import io.sillreel.statestore.ConflictResolution;
import io.sillreel.statestore.KeyChange;
import io.sillreel.statestore.PendingWrite;
import io.sillreel.statestore.StoredEntry;
import io.sillreel.statestore.WriteUrgency;
import java.util.List;
import java.util.Optional;

/**
 * The write of a job's {@link RunRecord}. It stores the state of the job at the time when it is sent, so one write
 * covers all changes made before. The first write releases the job; writes fail if the job is cancelled.
 */
public final class RunRecordWrite implements PendingWrite {
    private final ActiveJob job;
    private final StoredCompletionBitmap completionBitmap;
    private final ActiveJob.Listener listener;

    private long revision;
    private boolean isReleased;
    private boolean isCompletionSent;
    private boolean isCompletionStored;
    private int sentFailedAttempts;

    RunRecordWrite(ActiveJob job, StoredCompletionBitmap completionBitmap, ActiveJob.Listener listener) {
        this.job = job;
        this.completionBitmap = completionBitmap;
        this.listener = listener;
    }

    /** Restores the state of the record that an earlier leader stored. */
    void inherit(long storedRevision, RunRecord record) {
        revision = storedRevision;
        isReleased = true;
        sentFailedAttempts = record.retry().failedAttempts();
    }

    /** True once any record of the job is stored. */
    boolean isReleased() {
        return isReleased;
    }

    /** True once a record that marks the job as done is stored. */
    boolean isCompletionStored() {
        return isCompletionStored;
    }

    @Override
    public String key() {
        return RunRecord.key(job.uid());
    }

    @Override
    public long revision() {
        return revision;
    }

    @Override
    public WriteUrgency urgency() {
        if (job.isComplete()) {
            return WriteUrgency.JOB_END;
        }
        boolean isProgress = isReleased && job.retry().failedAttempts() == sentFailedAttempts;
        return isProgress ? WriteUrgency.PROGRESS : WriteUrgency.JOB_START;
    }

    @Override
    public Optional<String> requiredAbsentKey() {
        return Optional.of(CancellationRecord.key(job.uid()));
    }

    @Override
    public List<PendingWrite> prerequisites() {
        return completionBitmap.prerequisites();
    }

    @Override
    public KeyChange change() {
        sentFailedAttempts = job.retry().failedAttempts();
        isCompletionSent = job.isComplete();
        BitmapReference bitmapReference = completionBitmap.beginRecordWrite();
        RunRecord record = new RunRecord(
                job.spec().tasks(),
                completionBitmap.count(),
                job.allocatedCount(),
                stage(),
                job.retry(),
                bitmapReference,
                job.spec().dependencies().isEmpty() ? 0 : job.readyWallMicros());
        return KeyChange.put(RunRecordCodec.encode(record));
    }

    private String stage() {
        if (isCompletionSent) {
            return RunRecord.DONE;
        }
        return job.allocatedCount() > 0 ? RunRecord.RUNNING : RunRecord.QUEUED;
    }

    @Override
    public void onStored(long newRevision) {
        revision = newRevision;
        isReleased = true;
        isCompletionStored |= isCompletionSent;
        List<PendingWrite> removals = completionBitmap.recordStored(isCompletionStored);
        if (!removals.isEmpty()) {
            listener.enqueueWrites(removals);
        }
        listener.recordStored(job);
    }

    @Override
    public void onTooLarge() {
        if (completionBitmap.moveToChunks()) {
            listener.enqueueWrites(List.of(this));
        }
    }

    /**
     * Never replaces a stored record that is ahead of this term's state: one that marks the job as done is adopted, and
     * one with more completed tasks than are known here ends the term, so that the next one reads it.
     */
    @Override
    public ConflictResolution onConflict(Optional<StoredEntry> stored) {
        long expectedRevision = revision;
        revision = stored.map(StoredEntry::revision).orElse(0L);
        if (stored.isEmpty() || revision == expectedRevision) {
            return ConflictResolution.RETRY;
        }
        JsonNode record = stored.get().value();
        if (RunRecordCodec.isDone(record)) {
            adoptCompletion();
            return ConflictResolution.DISCARD;
        }
        return RunRecordCodec.decode(record).doneTasks() > completionBitmap.count()
                ? ConflictResolution.ABANDON_TERM
                : ConflictResolution.RETRY;
    }

    private void adoptCompletion() {
        listener.completionFound(job);
        isCompletionSent = true;
        completionBitmap.beginRecordWrite();
        onStored(revision);
    }

    @Override
    public void onPreconditionFailed() {
        listener.cancellationFound(job);
    }
}
