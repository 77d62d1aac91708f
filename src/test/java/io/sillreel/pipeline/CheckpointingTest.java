package io.sillreel.pipeline;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class CheckpointingTest {
    /** Guards preempting jobs and machines that are returned: a task that saves for ever kept its room for ever. */
    @ParameterizedTest
    @CsvSource({
        "0, 4000000, false, 0",
        "30000000, 0, true, 0",
        "30000000, 4000000, true, 4000000",
        "30000000, 300000000, true, 300000000",
        "30000000, 300000001, false, 0",
        "30000000, 1000000000000000000, false, 0"
    })
    void savesOnlyWhatCanBeSavedInReasonableTime(
            long intervalMicros, long durationMicros, boolean isSupported, long gracePeriodMicros) {
        Checkpointing checkpointing = new Checkpointing(intervalMicros, durationMicros);
        assertThat(checkpointing.isSupported()).isEqualTo(isSupported);
        assertThat(checkpointing.gracePeriodMicros()).isEqualTo(gracePeriodMicros);
    }
}
