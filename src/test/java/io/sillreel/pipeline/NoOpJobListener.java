package io.sillreel.pipeline;

import io.sillreel.statestore.PendingWrite;
import java.util.List;

/** Takes no notice of what becomes of a job's record. */
public class NoOpJobListener implements ActiveJob.Listener {
    @Override
    public void recordStored(ActiveJob job) {}

    @Override
    public void cancellationFound(ActiveJob job) {}

    @Override
    public void enqueueWrites(List<? extends PendingWrite> writes) {}
}
