package io.sillreel.recovery;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sillreel.http.Json;
import io.sillreel.statestore.ReadResult;

/**
 * The stored verdict that the state service has lost writes, and what became of it.
 *
 * @param generation counts the losses; higher than any that a controller remembers
 * @param open true until everything that can be has been put back
 * @param node the controller that wrote it
 * @param evidence what showed the loss
 * @param keptRevision once it is closed: a revision up to which nothing had been lost, or 0 if none is known
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

    /** What was read under the key; one that does not exist means that no loss was ever noticed. */
    static RecoveryRecord of(ReadResult read) {
        return read.entry().isEmpty() ? NONE : of(read.entry().get().value());
    }

    /** Reads the stored record. */
    static RecoveryRecord of(JsonNode value) {
        return new RecoveryRecord(
                value.path("generation").asLong(),
                value.path("open").asBoolean(),
                value.path("node").asText(),
                value.path("evidence").asText(),
                value.path("kept").asLong());
    }

    /** The same verdict of a generation above the given one. */
    RecoveryRecord withGenerationAbove(long otherGeneration) {
        return new RecoveryRecord(Math.max(generation, otherGeneration + 1), open, node, evidence, keptRevision);
    }

    /** The verdict once everything has been put back, given a revision up to which nothing had been lost. */
    RecoveryRecord closedBy(String closingNode, long revision) {
        return new RecoveryRecord(generation, false, closingNode, evidence, revision);
    }
}
