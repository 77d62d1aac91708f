package io.sillreel.statestore;

import com.fasterxml.jackson.databind.JsonNode;
import io.sillreel.http.Json;

/** What a write does to its key: it stores a value, removes the key, or has nothing left to do. */
public final class KeyChange {
    /** There is nothing to write. */
    public static final KeyChange NONE = new KeyChange(null);

    /** The key is removed. */
    public static final KeyChange REMOVAL = new KeyChange(null);

    private final JsonNode value;

    private KeyChange(JsonNode value) {
        this.value = value;
    }

    /** The key gets the value. */
    public static KeyChange put(JsonNode value) {
        return new KeyChange(value);
    }

    /** The value to store, or null if there is none. */
    public JsonNode value() {
        return value;
    }

    /** True if there is nothing to write. */
    public boolean isNone() {
        return this == NONE;
    }

    /** The size of the stored value in bytes, 0 without a value. */
    int bytes() {
        return value == null ? 0 : Json.bytes(value).length;
    }

    /** Adds the change of the key to a transaction. */
    void addTo(Transaction transaction, String key) {
        if (value == null) {
            transaction.remove(key);
        } else {
            transaction.set(key, value);
        }
    }
}
