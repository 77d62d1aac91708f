package io.sillreel.pipeline;

import io.sillreel.statestore.PendingWrite;
import java.util.List;

/** A listener that ignores all results of writing a job's record. */
public class NoOpJobListener implements ActiveJob.Listener {
    @Override
    public void recordStored(ActiveJob job) {}

    @Override
    public void completionFound(ActiveJob job) {}

    @Override
    public void cancellationFound(ActiveJob job) {}

    @Override
    public void enqueueWrites(List<? extends PendingWrite> writes) {}
}
