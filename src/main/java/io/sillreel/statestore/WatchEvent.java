package io.sillreel.statestore;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A change of one key, as reported by a watch.
 *
 * @param value the new value, or null if the key was removed
 * @param revision the revision of the store at which the key was changed
 */
public record WatchEvent(String key, JsonNode value, long revision) {}
