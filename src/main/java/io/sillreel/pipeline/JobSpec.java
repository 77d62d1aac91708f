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
        PriorityClass rank,
        int tasks,
        double cpus,
        double cards,
        double ramGb,
        String image,
        double imageGb,
        List<String> builds,
        String zone,
        boolean oneZone,
        boolean spread,
        boolean spot,
        long guessMicros,
        long checkpointMicros,
        long saveMicros,
        long dueMicros,
        List<String> awaits) {

    /** True if a task saves its progress when it is stopped with enough time. */
    public boolean saves() {
        return checkpointMicros > 0;
    }

    public boolean allowsBuild(String build) {
        return builds == null || builds.contains(build);
    }

    public boolean allowsZone(String where) {
        return zone == null || zone.equals(where);
    }

    /** The most tasks that may be in one zone. */
    public int mostInOneZone() {
        return spread ? (tasks + 1) / 2 : tasks;
    }

    /** The same job with other lists of names; {@code builds} is null for any. */
    JobSpec withNames(List<String> otherBuilds, List<String> otherAwaits) {
        return new JobSpec(
                uid,
                jobClass,
                team,
                rank,
                tasks,
                cpus,
                cards,
                ramGb,
                image,
                imageGb,
                otherBuilds,
                zone,
                oneZone,
                spread,
                spot,
                guessMicros,
                checkpointMicros,
                saveMicros,
                dueMicros,
                otherAwaits);
    }

    /** The form kept in the plan. */
    public ObjectNode json() {
        ObjectNode node = Json.object();
        node.put("uid", uid)
                .put("lot", jobClass)
                .put("crew", team)
                .put("rank", rank.wire())
                .put("pieces", tasks)
                .put("vcpus", cpus)
                .put("cards", cards)
                .put("ram_gb", ramGb)
                .put("reel", image)
                .put("image_gb", imageGb)
                .put("yard", zone)
                .put("one_zone", oneZone)
                .put("spread", spread)
                .put("loaners", spot)
                .put("guess_us", guessMicros)
                .put("mark_us", checkpointMicros)
                .put("stash_us", saveMicros)
                .put("due_us", dueMicros);
        if (builds != null) {
            ArrayNode names = Json.array();
            builds.forEach(names::add);
            node.set("builds", names);
        }
        if (!awaits.isEmpty()) {
            ArrayNode names = node.putArray("awaits");
            awaits.forEach(names::add);
        }
        return node;
    }

    /** Reads what {@link #json()} wrote; it was checked when it was admitted. */
    public static JobSpec ofPlan(JsonNode node) {
        List<String> builds = node.has("builds") ? texts(node.path("builds")) : null;
        JsonNode zone = node.path("yard");
        return new JobSpec(
                node.path("uid").asText(),
                node.path("lot").asText(),
                node.path("crew").asText(),
                PriorityClass.of(node.path("rank").asText()).orElse(PriorityClass.NORMAL),
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
