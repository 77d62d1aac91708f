package io.sillreel.cloud;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sillreel.cloud.MachineType.ImageStorage;
import io.sillreel.cloud.MachineType.Pricing;
import io.sillreel.http.Json;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Encodes requests to the cloud's API and decodes its responses; the only class that knows its field names. */
final class CloudCodec {
    private static final double MICROS_PER_SECOND = 1_000_000;
    private static final String MACHINES = "hoppers";
    private static final String MACHINE_TYPE = "build";
    private static final String ZONE = "yard";
    private static final String SPOT = "loaners";

    private CloudCodec() {}

    static ObjectNode provisioningRequest(
            String requestName, String machineType, String zone, boolean spot, int count) {
        return Json.object()
                .put("hire", requestName)
                .put(MACHINE_TYPE, machineType)
                .put(ZONE, zone)
                .put(SPOT, spot)
                .put("count", count);
    }

    /** Returns the names of the machines that a provisioning request obtained. */
    static List<String> readProvisionedMachines(JsonNode body) {
        List<String> names = new ArrayList<>();
        for (JsonNode name : body.path(MACHINES)) {
            names.add(name.asText());
        }
        return names;
    }

    /** Returns true if the cloud refused the request because it has no machine of the requested type. */
    static boolean isNoCapacityError(JsonNode body) {
        return body.path("error").asText().equals("no capacity");
    }

    static ObjectNode returnRequest(Collection<String> machines) {
        ArrayNode names = Json.array();
        machines.forEach(names::add);
        ObjectNode body = Json.object();
        body.set(MACHINES, names);
        return body;
    }

    /** Appends the machines on one page of the machine list. */
    static void readPage(JsonNode body, List<CloudClient.ListedMachine> machines) {
        for (JsonNode node : body.path(MACHINES)) {
            machines.add(new CloudClient.ListedMachine(
                    node.path("uid").asText(),
                    node.path("addr").asText(),
                    node.path(MACHINE_TYPE).asText(),
                    node.path(ZONE).asText(),
                    node.path(SPOT).asBoolean(),
                    node.path("stage").asText().equals("failed")));
        }
    }

    /** Returns true if further pages follow this one. */
    static boolean isTruncated(JsonNode body) {
        return body.path("truncated").asBoolean();
    }

    /** Reads a list of machine types from the cloud or from the state service; empty if the document has none. */
    static MachineTypeList readMachineTypes(JsonNode document) {
        Map<String, MachineType> types = new LinkedHashMap<>();
        for (JsonNode node : document.path("builds")) {
            MachineType type = readMachineType(node);
            types.put(type.name(), type);
        }
        return new MachineTypeList(types, document);
    }

    private static MachineType readMachineType(JsonNode node) {
        List<String> zones = new ArrayList<>();
        for (JsonNode zone : node.path("yards")) {
            zones.add(zone.asText());
        }
        return new MachineType(
                node.path("sku").asText(),
                node.path("vcpus").asDouble(),
                node.path("cards").asDouble(),
                node.path("ram_gb").asDouble(),
                new ImageStorage(
                        node.path("cache_gb").asDouble(),
                        node.path("pull_gb_per_s").asDouble()),
                new Pricing(
                        node.path("price").asDouble(), node.path("spot_price").asDouble()),
                Math.round(node.path("boot_s").asDouble() * MICROS_PER_SECOND),
                List.copyOf(zones));
    }
}
