package io.sillreel.sim;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import io.sillreel.statestore.PendingWrite;

/** Reads the values that pending writes store. */
public final class StoredValues {
    private StoredValues() {}

    /** Returns the value that the write stores under the key; fails if it stores none or uses another key. */
    public static JsonNode storedValue(PendingWrite write, String key) {
        assertThat(write.key()).isEqualTo(key);
        assertThat(write.change().value()).as(key).isNotNull();
        return write.change().value();
    }
}
