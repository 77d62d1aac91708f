package io.sillreel.statestore;

import com.fasterxml.jackson.databind.JsonNode;
import io.sillreel.http.Json;

/** What a write does to its key: it stores a value, removes the key, or does nothing. Immutable. */
public final class KeyChange {
    /** Nothing is written. */
    public static final KeyChange NONE = new KeyChange(null);

    /** The key is removed. */
    public static final KeyChange REMOVAL = new KeyChange(null);

    private final JsonNode value;

    private KeyChange(JsonNode value) {
        this.value = value;
    }

    /** The value is stored under the key. */
    public static KeyChange put(JsonNode value) {
        return new KeyChange(value);
    }

    /** The value to store, or null if the key is removed or nothing is written. */
    public JsonNode value() {
        return value;
    }

    /** True if nothing is written. */
    public boolean isNone() {
        return this == NONE;
    }

    /** The size of the value as JSON in bytes, 0 without a value. */
    int bytes() {
        return value == null ? 0 : Json.bytes(value).length;
    }

    /** Adds the change of the key to a transaction; not called for {@link #NONE}. */
    void addTo(Transaction transaction, String key) {
        if (value == null) {
            transaction.remove(key);
        } else {
            transaction.set(key, value);
        }
    }
}
