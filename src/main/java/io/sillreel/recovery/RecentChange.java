package io.sillreel.recovery;

import com.fasterxml.jackson.databind.JsonNode;
import io.sillreel.http.Json;
import java.nio.charset.StandardCharsets;

/**
 * The newest known change of a key.
 *
 * @param value the stored value as JSON text, or null if the key was removed
 * @param revision the revision of the change
 */
record RecentChange(String key, byte[] value, long revision) {
    /** Approximate memory overhead of an entry beside its key and its value. */
    private static final int ENTRY_BYTES = 160;

    static RecentChange of(String key, JsonNode value, long revision) {
        return new RecentChange(key, value == null ? null : Json.bytes(value), revision);
    }

    boolean isRemoval() {
        return value == null;
    }

    /** The stored value; a missing node if the key was removed. */
    JsonNode jsonValue() {
        return Json.parse(isRemoval() ? new byte[0] : value);
    }

    /** The approximate memory that the entry takes. */
    int sizeBytes() {
        return ENTRY_BYTES + key.getBytes(StandardCharsets.UTF_8).length + (isRemoval() ? 0 : value.length);
    }
}
