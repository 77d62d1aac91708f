package io.sillreel.recovery;

import io.sillreel.leadership.LeaderElection;
import io.sillreel.pipeline.CancellationRecord;
import io.sillreel.pipeline.PlanRecord;
import io.sillreel.pipeline.RunRecord;
import java.util.List;

/** The keys that nobody ever removes: one that was stored and is gone has been lost. */
final class PermanentKeys {
    private static final List<String> PREFIXES =
            List.of(PlanRecord.PREFIX, CancellationRecord.PREFIX, RunRecord.PREFIX);

    private PermanentKeys() {}

    static boolean isPermanent(String key) {
        // Version 5806758 keeps parts of done sets behind a further slash, and removes them.
        boolean part = key.indexOf('/') != key.lastIndexOf('/');
        return key.equals(LeaderElection.TERM_KEY) || !part && PREFIXES.stream().anyMatch(key::startsWith);
    }
}
