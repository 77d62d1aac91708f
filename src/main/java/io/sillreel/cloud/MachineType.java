package io.sillreel.cloud;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A machine type that the cloud rents. */
public record MachineType(
        String name,
        double cpus,
        double gpus,
        double ramGb,
        double cacheGb,
        double pullGbPerSecond,
        double price,
        double spotPrice,
        long bootMicros,
        List<String> zones) {

    /** Reads the cloud's answer, which is also the form in which it is kept in the state service. */
    public static Map<String, MachineType> readAll(JsonNode machineTypes) {
        Map<String, MachineType> types = new LinkedHashMap<>();
        for (JsonNode node : machineTypes.path("builds")) {
            List<String> zones = new ArrayList<>();
            node.path("yards").forEach(zone -> zones.add(zone.asText()));
            MachineType type = new MachineType(
                    node.path("sku").asText(),
                    node.path("vcpus").asDouble(),
                    node.path("cards").asDouble(),
                    node.path("ram_gb").asDouble(),
                    node.path("cache_gb").asDouble(),
                    node.path("pull_gb_per_s").asDouble(),
                    node.path("price").asDouble(),
                    node.path("spot_price").asDouble(),
                    Math.round(node.path("boot_s").asDouble() * 1_000_000),
                    List.copyOf(zones));
            types.put(type.name(), type);
        }
        return types;
    }

    public double priceOf(boolean spot) {
        return spot ? spotPrice : price;
    }
}
