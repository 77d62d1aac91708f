package io.sillreel.pipeline;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sillreel.http.Json;
import java.util.ArrayList;
import java.util.List;

/**
 * What was submitted. {@code builds} and {@code zone} are null for any; {@code dueMicros} is negative without a
 * deadline; {@code awaits} names the jobs that must be done before this one.
 */
public record JobSpec(
        String uid,
        String jobClass,
        String team,
        PriorityClass priorityClass,
        int tasks,
        double cpus,
        double gpus,
        double ramGb,
        String image,
        double imageGb,
        List<String> machineTypes,
        String zone,
        boolean zoneAffinity,
        boolean zoneAntiAffinity,
        boolean spotAllowed,
        long estimatedMicros,
        long checkpointIntervalMicros,
        long checkpointDurationMicros,
        long deadlineMicros,
        List<String> dependencies) {

    /** True if a task saves its progress when it is stopped with enough time. */
    public boolean supportsCheckpoints() {
        return checkpointIntervalMicros > 0;
    }

    public boolean allowsMachineType(String machineType) {
        return machineTypes == null || machineTypes.contains(machineType);
    }

    public boolean allowsZone(String where) {
        return zone == null || zone.equals(where);
    }

    /** The most tasks that may be in one zone. */
    public int maxTasksPerZone() {
        return zoneAntiAffinity ? (tasks + 1) / 2 : tasks;
    }

    /** The same job with other lists of names; {@code builds} is null for any. */
    JobSpec withNames(List<String> otherBuilds, List<String> otherAwaits) {
        return new JobSpec(
                uid,
                jobClass,
                team,
                priorityClass,
                tasks,
                cpus,
                gpus,
                ramGb,
                image,
                imageGb,
                otherBuilds,
                zone,
                zoneAffinity,
                zoneAntiAffinity,
                spotAllowed,
                estimatedMicros,
                checkpointIntervalMicros,
                checkpointDurationMicros,
                deadlineMicros,
                otherAwaits);
    }

    /** The form kept in the plan. */
    public ObjectNode toJson() {
        ObjectNode node = Json.object();
        node.put("uid", uid)
                .put("lot", jobClass)
                .put("crew", team)
                .put("rank", priorityClass.wireName())
                .put("pieces", tasks)
                .put("vcpus", cpus)
                .put("cards", gpus)
                .put("ram_gb", ramGb)
                .put("reel", image)
                .put("image_gb", imageGb)
                .put("yard", zone)
                .put("one_zone", zoneAffinity)
                .put("spread", zoneAntiAffinity)
                .put("loaners", spotAllowed)
                .put("guess_us", estimatedMicros)
                .put("mark_us", checkpointIntervalMicros)
                .put("stash_us", checkpointDurationMicros)
                .put("due_us", deadlineMicros);
        if (machineTypes != null) {
            ArrayNode names = Json.array();
            machineTypes.forEach(names::add);
            node.set("builds", names);
        }
        if (!dependencies.isEmpty()) {
            ArrayNode names = node.putArray("awaits");
            dependencies.forEach(names::add);
        }
        return node;
    }

    /** Reads what {@link #toJson()} wrote; it was checked when it was admitted. */
    public static JobSpec fromPlan(JsonNode node) {
        List<String> builds = node.has("builds") ? texts(node.path("builds")) : null;
        JsonNode zone = node.path("yard");
        return new JobSpec(
                node.path("uid").asText(),
                node.path("lot").asText(),
                node.path("crew").asText(),
                PriorityClass.fromWireName(node.path("rank").asText()).orElse(PriorityClass.NORMAL),
                node.path("pieces").asInt(),
                node.path("vcpus").asDouble(),
                node.path("cards").asDouble(),
                node.path("ram_gb").asDouble(),
                node.path("reel").asText(),
                node.path("image_gb").asDouble(),
                builds,
                zone.isTextual() ? zone.asText() : null,
                node.path("one_zone").asBoolean(),
                node.path("spread").asBoolean(),
                node.path("loaners").asBoolean(),
                node.path("guess_us").asLong(),
                node.path("mark_us").asLong(),
                node.path("stash_us").asLong(),
                node.path("due_us").asLong(-1),
                texts(node.path("awaits")));
    }

    private static List<String> texts(JsonNode names) {
        if (names.isEmpty()) {
            return List.of();
        }
        List<String> texts = new ArrayList<>();
        for (JsonNode name : names) {
            texts.add(name.asText());
        }
        return texts;
    }
}
