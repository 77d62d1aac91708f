package io.sillreel.recovery;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import io.sillreel.http.Json;
import org.junit.jupiter.api.Test;

class RestorePolicyTest {
    private static final long RETURNED_AT = 50;
    private static final JsonNode RUNNING = Json.object().put("stage", "running");
    private static final JsonNode DONE = Json.object().put("stage", "done");

    private static boolean restores(String key, JsonNode known, JsonNode current, long currentStamp) {
        RecentChange change = RecentChange.of(key, known, 80);
        return RestorePolicy.isToBeRestored(
                change, current == null ? MissingNode.getInstance() : current, currentStamp, RETURNED_AT);
    }

    @Test
    void whatIsGoneIsPutBackAndWhatIsBackIsRemoved() {
        assertThat(restores("plan/job-1", RUNNING, null, 0)).isTrue();
        assertThat(restores("bits/job-1/0/1", null, RUNNING, 40)).isTrue();
        assertThat(restores("bits/job-1/0/1", null, null, 0)).isFalse();
    }

    @Test
    void whatWasWrittenSinceStays() {
        assertThat(restores("hire/r-1-1", RUNNING, RUNNING, 40)).isTrue();
        assertThat(restores("hire/r-1-1", RUNNING, RUNNING, 51)).isFalse();
        assertThat(restores("bits/job-1/0/1", null, RUNNING, 51)).isFalse();
        assertThat(restores("plan/job-1", RUNNING, RUNNING, 40)).isFalse();
        assertThat(restores("withdraw/job-1", RUNNING, RUNNING, 40)).isFalse();
    }

    /** Guards what users were told: an end is never taken back, whichever side knows of it. */
    @Test
    void anEndStaysAnEnd() {
        assertThat(restores("run/job-1", DONE, RUNNING, 51)).isTrue();
        assertThat(restores("run/job-1", RUNNING, DONE, 40)).isFalse();
        assertThat(restores("run/job-1", RUNNING, RUNNING, 40)).isTrue();
        assertThat(restores("run/job-1", RUNNING, RUNNING, 51)).isFalse();
    }

    /** Guards the term in which all this is done. */
    @Test
    void theTermIsNeverPutBack() {
        assertThat(restores("term", RUNNING, RUNNING, 40)).isFalse();
        assertThat(restores("recovery", RUNNING, null, 0)).isFalse();
    }
}
