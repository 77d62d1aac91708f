package io.sillreel.pipeline;

import io.sillreel.statestore.KeyWriter;
import java.util.List;

/** Takes no notice of what becomes of a job's record. */
public class QuietWatcher implements ActiveJob.Watcher {
    @Override
    public void recordStored(ActiveJob job) {}

    @Override
    public void foundCancelled(ActiveJob job) {}

    @Override
    public void toWrite(List<? extends KeyWriter.Item> items) {}
}
