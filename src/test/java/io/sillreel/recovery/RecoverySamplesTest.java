package io.sillreel.recovery;

import static io.sillreel.golden.GoldenSamples.json;
import static io.sillreel.golden.GoldenSamples.text;
import static io.sillreel.golden.GoldenSamples.values;

import io.sillreel.golden.GoldenSamples;
import org.junit.jupiter.api.Test;

/** The stored form of the recovery record. */
class RecoverySamplesTest {
    @Test
    void readsAndWritesStoredRecord() throws Exception {
        GoldenSamples.assertConverts("recovery-records.txt", input -> {
            RecoveryRecord record = RecoveryRecord.of(json(input));
            return RecoveryRecord.KEY + " " + values(record) + "\n" + text(record.toJson());
        });
    }
}
