package io.sillreel.statestore;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import io.sillreel.http.Json;

/**
 * A compare-and-swap over several keys: either all changes are made, or none if one of the conditions does not hold. A
 * transaction without changes only checks its conditions. Not thread-safe.
 */
public final class Transaction {
    private final ArrayNode conditions = Json.array();
    private final ArrayNode changes = Json.array();

    /**
     * Adds the condition that the key has the given revision.
     *
     * @param revision the expected revision, 0 if the key must not exist
     */
    public Transaction requireRevision(String key, long revision) {
        conditions.add(StateStoreCodec.condition(key, revision));
        return this;
    }

    /** Stores a value under the key. */
    public Transaction set(String key, JsonNode value) {
        changes.add(StateStoreCodec.put(key, value));
        return this;
    }

    /** Stores a value under a key that is removed when the lease ends. */
    public Transaction set(String key, JsonNode value, long leaseId) {
        changes.add(StateStoreCodec.put(key, value, leaseId));
        return this;
    }

    /** Removes the key. */
    public Transaction remove(String key) {
        changes.add(StateStoreCodec.remove(key));
        return this;
    }

    /** The number of changes; conditions are not counted. */
    public int changeCount() {
        return changes.size();
    }

    JsonNode toJson() {
        return StateStoreCodec.transaction(conditions, changes);
    }
}
