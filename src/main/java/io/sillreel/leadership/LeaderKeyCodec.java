package io.sillreel.leadership;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sillreel.http.Json;
import io.sillreel.leadership.LeaderElection.Leader;

/** The stored form of the keys {@link LeaderElection#LEADER_KEY} and {@link LeaderElection#TERM_KEY}. */
final class LeaderKeyCodec {
    private static final String NODE = "node";
    private static final String TERM = "term";

    private LeaderKeyCodec() {}

    /** The value of the leader key. */
    static ObjectNode writeLeader(Leader leader) {
        return Json.object().put(NODE, leader.node()).put(TERM, leader.term());
    }

    /** Reads the value of the leader key. */
    static Leader readLeader(JsonNode value) {
        return new Leader(value.path(NODE).asText(), value.path(TERM).asLong());
    }

    /** The value of the term key. */
    static ObjectNode writeTerm(long term) {
        return Json.object().put(TERM, term);
    }

    /** Reads the value of the term key. */
    static long readTerm(JsonNode value) {
        return value.path(TERM).asLong();
    }
}
