package io.sillreel.recovery;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sillreel.http.Json;
import io.sillreel.statestore.ReadResult;

/**
 * The stored record of a loss of writes.
 *
 * @param generation the number of the loss, higher than that of every earlier loss known to a controller
 * @param open true until the loss has been repaired as far as possible
 * @param node the controller that wrote the record
 * @param evidence the evidence of the loss
 * @param keptRevision in a closed record a revision up to which nothing was lost, or 0 if none is known
 */
record RecoveryRecord(long generation, boolean open, String node, String evidence, long keptRevision) {
    static final String KEY = "recovery";
    static final RecoveryRecord NONE = new RecoveryRecord(0, false, "", "", 0);

    ObjectNode toJson() {
        return Json.object()
                .put("generation", generation)
                .put("open", open)
                .put("node", node)
                .put("evidence", evidence)
                .put("kept", keptRevision);
    }

    /** The record from a read of its key; {@link #NONE} if the key does not exist, as before the first loss. */
    static RecoveryRecord of(ReadResult read) {
        return read.entry().isEmpty() ? NONE : of(read.entry().get().value());
    }

    /** Parses a stored record. */
    static RecoveryRecord of(JsonNode value) {
        return new RecoveryRecord(
                value.path("generation").asLong(),
                value.path("open").asBoolean(),
                value.path("node").asText(),
                value.path("evidence").asText(),
                value.path("kept").asLong());
    }

    /** The same record with a generation above the given one. */
    RecoveryRecord withGenerationAbove(long otherGeneration) {
        return new RecoveryRecord(Math.max(generation, otherGeneration + 1), open, node, evidence, keptRevision);
    }

    /**
     * The closed form of this record.
     *
     * @param closingNode the controller that closes the record
     * @param revision a revision up to which nothing was lost, or 0 if none is known
     */
    RecoveryRecord closedBy(String closingNode, long revision) {
        return new RecoveryRecord(generation, false, closingNode, evidence, revision);
    }
}
