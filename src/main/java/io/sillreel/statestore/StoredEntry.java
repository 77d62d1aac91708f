package io.sillreel.statestore;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A key with its value and revision.
 *
 * @param revision the revision of the store at which the key was last changed
 */
public record StoredEntry(String key, JsonNode value, long revision) {}
