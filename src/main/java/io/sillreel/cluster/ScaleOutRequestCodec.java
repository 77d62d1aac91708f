package io.sillreel.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sillreel.http.Json;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * Encodes and decodes the stored form of scale-out requests. {@code machines} and {@code up} are absent until the cloud
 * has answered. A value with {@code machines} but without {@code up} was written by a version that did not record which
 * machines were up; all its machines count as up.
 */
public final class ScaleOutRequestCodec {
    private static final String MACHINE_TYPE = "build";
    private static final String ZONE = "yard";
    private static final String SPOT = "spot";
    private static final String COUNT = "count";
    private static final String MACHINES = "machines";
    private static final String UP_MACHINES = "up";

    private ScaleOutRequestCodec() {}

    /** Reads the value that is stored under the key with the given revision. */
    public static ScaleOutRequest decode(String key, JsonNode value, long revision) {
        ScaleOutRequest request = new ScaleOutRequest(
                key.substring(ScaleOutRequest.PREFIX.length()),
                value.path(MACHINE_TYPE).asText(),
                value.path(ZONE).asText(),
                value.path(SPOT).asBoolean(),
                value.path(COUNT).asInt());
        List<String> machines = names(value.path(MACHINES));
        request.restore(
                revision,
                value.has(MACHINES),
                machines,
                value.has(UP_MACHINES) ? names(value.path(UP_MACHINES)) : machines);
        return request;
    }

    private static List<String> names(JsonNode array) {
        List<String> names = new ArrayList<>(array.size());
        for (JsonNode name : array) {
            names.add(name.asText());
        }
        return names;
    }

    /** Returns the value to be stored for the request. */
    static ObjectNode encode(ScaleOutRequest request) {
        ObjectNode value = Json.object()
                .put(MACHINE_TYPE, request.machineType())
                .put(ZONE, request.zone())
                .put(SPOT, request.isSpot())
                .put(COUNT, request.machineCount());
        if (request.isAnswered()) {
            value.set(MACHINES, array(request.machines()));
            value.set(UP_MACHINES, array(request.upMachines()));
        }
        return value;
    }

    private static ArrayNode array(Collection<String> names) {
        ArrayNode array = Json.array();
        for (String name : names) {
            array.add(name);
        }
        return array;
    }
}
