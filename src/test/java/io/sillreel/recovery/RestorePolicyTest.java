package io.sillreel.recovery;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import io.sillreel.http.Json;
import org.junit.jupiter.api.Test;

class RestorePolicyTest {
    private static final long FIRST_REVISION_AFTER_LOSS = 50;
    private static final JsonNode RUNNING = Json.object().put("stage", "running");
    private static final JsonNode DONE = Json.object().put("stage", "done");

    private static boolean shouldRestore(String key, JsonNode lastKnown, JsonNode current, long currentRevision) {
        RecentChange change = RecentChange.of(key, lastKnown, 80);
        return RestorePolicy.shouldRestore(
                change,
                current == null ? MissingNode.getInstance() : current,
                currentRevision,
                FIRST_REVISION_AFTER_LOSS);
    }

    @Test
    void restoresLostKeysAndLostRemovals() {
        assertThat(shouldRestore("plan/job-1", RUNNING, null, 0)).isTrue();
        assertThat(shouldRestore("bits/job-1/0/1", null, RUNNING, 40)).isTrue();
        assertThat(shouldRestore("bits/job-1/0/1", null, null, 0)).isFalse();
    }

    @Test
    void keepsValuesWrittenAfterLossAndImmutableValues() {
        assertThat(shouldRestore("hire/r-1-1", RUNNING, RUNNING, 40)).isTrue();
        assertThat(shouldRestore("hire/r-1-1", RUNNING, RUNNING, 51)).isFalse();
        assertThat(shouldRestore("bits/job-1/0/1", null, RUNNING, 51)).isFalse();
        assertThat(shouldRestore("plan/job-1", RUNNING, RUNNING, 40)).isFalse();
        assertThat(shouldRestore("withdraw/job-1", RUNNING, RUNNING, 40)).isFalse();
    }

    /** Guards responses to users: a final stage is never replaced, whether it was stored before or after the loss. */
    @Test
    void keepsFinalStageOfRun() {
        assertThat(shouldRestore("run/job-1", DONE, RUNNING, 51)).isTrue();
        assertThat(shouldRestore("run/job-1", RUNNING, DONE, 40)).isFalse();
        assertThat(shouldRestore("run/job-1", RUNNING, RUNNING, 40)).isTrue();
        assertThat(shouldRestore("run/job-1", RUNNING, RUNNING, 51)).isFalse();
    }

    /** Guards the term in which the writes are restored. */
    @Test
    void neverRestoresTermOrRecoveryRecord() {
        assertThat(shouldRestore("term", RUNNING, RUNNING, 40)).isFalse();
        assertThat(shouldRestore("recovery", RUNNING, null, 0)).isFalse();
    }
}
