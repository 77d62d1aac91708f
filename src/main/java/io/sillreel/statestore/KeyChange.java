package io.sillreel.statestore;

import com.fasterxml.jackson.databind.JsonNode;
import io.sillreel.http.Json;

/** The effect of a write on its key: a put, a removal, or no change. Immutable. */
public final class KeyChange {
    /** No change; nothing is written. */
    public static final KeyChange NONE = new KeyChange(null);

    /** Removes the key. */
    public static final KeyChange REMOVAL = new KeyChange(null);

    private final JsonNode value;

    private KeyChange(JsonNode value) {
        this.value = value;
    }

    /** Returns the change that stores a value under the key. */
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

    /** The size of the value's JSON in bytes, 0 without a value. */
    int bytes() {
        return value == null ? 0 : Json.bytes(value).length;
    }

    /** Adds this change of the key to a transaction; must not be called on {@link #NONE}. */
    void addTo(Transaction transaction, String key) {
        if (value == null) {
            transaction.remove(key);
        } else {
            transaction.set(key, value);
        }
    }
}
