package io.sillreel.recovery;

import io.sillreel.leadership.LeaderElection;
import io.sillreel.pipeline.CancellationRecord;
import io.sillreel.pipeline.PlanRecord;
import io.sillreel.pipeline.RunRecord;
import java.util.List;

/** The keys that are never removed: if one of them was stored and no longer exists, the write has been lost. */
final class PermanentKeys {
    private static final List<String> PREFIXES =
            List.of(PlanRecord.PREFIX, CancellationRecord.PREFIX, RunRecord.PREFIX);

    private PermanentKeys() {}

    static boolean isPermanent(String key) {
        // Version 5806758 stores parts of completion bitmaps under keys with a second slash, and removes them.
        boolean part = key.indexOf('/') != key.lastIndexOf('/');
        return key.equals(LeaderElection.TERM_KEY) || !part && PREFIXES.stream().anyMatch(key::startsWith);
    }
}
