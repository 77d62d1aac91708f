package io.sillreel.pipeline;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sillreel.http.Json;
import java.util.ArrayList;
import java.util.List;

/** The stored form of a {@link JobSpec} within its plan. Times are stored in microseconds. */
public final class JobSpecCodec {
    /** Field of the allowed machine types; absent if any type is allowed. */
    static final String MACHINE_TYPES = "builds";
    /** Field of the dependencies; absent if there are none. */
    static final String DEPENDENCIES = "awaits";

    private static final String UID = "uid";
    private static final String JOB_CLASS = "lot";
    private static final String TEAM = "crew";
    private static final String PRIORITY_CLASS = "rank";
    private static final String TASKS = "pieces";
    private static final String CPUS = "vcpus";
    private static final String GPUS = "cards";
    private static final String RAM_GB = "ram_gb";
    private static final String IMAGE = "reel";
    private static final String IMAGE_GB = "image_gb";
    private static final String ZONE = "yard";
    private static final String ZONE_AFFINITY = "one_zone";
    private static final String ZONE_ANTI_AFFINITY = "spread";
    private static final String SPOT_ALLOWED = "loaners";
    private static final String ESTIMATED_MICROS = "guess_us";
    private static final String CHECKPOINT_INTERVAL_MICROS = "mark_us";
    private static final String CHECKPOINT_DURATION_MICROS = "stash_us";
    private static final String DEADLINE_MICROS = "due_us";

    private JobSpecCodec() {}

    /** Returns the stored form. Previous versions read it, so the order of the fields must not change. */
    public static ObjectNode encode(JobSpec spec) {
        TaskSpec task = spec.task();
        PlacementRequirements placement = spec.placement();
        ObjectNode node = Json.object();
        node.put(UID, spec.uid())
                .put(JOB_CLASS, spec.jobClass())
                .put(TEAM, spec.team())
                .put(PRIORITY_CLASS, spec.priorityClass().wireName())
                .put(TASKS, spec.tasks())
                .put(CPUS, task.cpus())
                .put(GPUS, task.gpus())
                .put(RAM_GB, task.ramGb())
                .put(IMAGE, task.image())
                .put(IMAGE_GB, task.imageGb())
                .put(ZONE, placement.zone())
                .put(ZONE_AFFINITY, placement.zoneAffinity())
                .put(ZONE_ANTI_AFFINITY, placement.zoneAntiAffinity())
                .put(SPOT_ALLOWED, placement.spotAllowed())
                .put(ESTIMATED_MICROS, task.estimatedMicros())
                .put(CHECKPOINT_INTERVAL_MICROS, task.checkpointing().intervalMicros())
                .put(CHECKPOINT_DURATION_MICROS, task.checkpointing().durationMicros())
                .put(DEADLINE_MICROS, spec.deadlineMicros());
        if (placement.machineTypes() != null) {
            putNames(node, MACHINE_TYPES, placement.machineTypes());
        }
        if (!spec.dependencies().isEmpty()) {
            putNames(node, DEPENDENCIES, spec.dependencies());
        }
        return node;
    }

    /** Reads the stored form. It is not validated again, since the job was validated when it was admitted. */
    public static JobSpec decode(JsonNode node) {
        PriorityClass priorityClass =
                PriorityClass.fromWireName(node.path(PRIORITY_CLASS).asText()).orElse(PriorityClass.NORMAL);
        return new JobSpec(
                node.path(UID).asText(),
                node.path(JOB_CLASS).asText(),
                node.path(TEAM).asText(),
                new Urgency(priorityClass, node.path(DEADLINE_MICROS).asLong(-1)),
                node.path(TASKS).asInt(),
                decodeTask(node),
                decodePlacement(node),
                names(node.path(DEPENDENCIES)));
    }

    private static TaskSpec decodeTask(JsonNode node) {
        return new TaskSpec(
                node.path(CPUS).asDouble(),
                node.path(GPUS).asDouble(),
                node.path(RAM_GB).asDouble(),
                node.path(IMAGE).asText(),
                node.path(IMAGE_GB).asDouble(),
                node.path(ESTIMATED_MICROS).asLong(),
                new Checkpointing(
                        node.path(CHECKPOINT_INTERVAL_MICROS).asLong(),
                        node.path(CHECKPOINT_DURATION_MICROS).asLong()));
    }

    private static PlacementRequirements decodePlacement(JsonNode node) {
        JsonNode zone = node.path(ZONE);
        return new PlacementRequirements(
                node.has(MACHINE_TYPES) ? names(node.path(MACHINE_TYPES)) : null,
                zone.isTextual() ? zone.asText() : null,
                node.path(ZONE_AFFINITY).asBoolean(),
                node.path(ZONE_ANTI_AFFINITY).asBoolean(),
                node.path(SPOT_ALLOWED).asBoolean());
    }

    private static void putNames(ObjectNode node, String field, List<String> names) {
        ArrayNode array = node.putArray(field);
        names.forEach(array::add);
    }

    private static List<String> names(JsonNode array) {
        if (array.isEmpty()) {
            return List.of();
        }
        List<String> names = new ArrayList<>();
        for (JsonNode name : array) {
            names.add(name.asText());
        }
        return names;
    }
}
