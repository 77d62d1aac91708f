package io.sillreel.admission;

import com.fasterxml.jackson.databind.JsonNode;
import io.sillreel.http.Json;
import io.sillreel.pipeline.Checkpointing;
import io.sillreel.pipeline.JobIdSet;
import io.sillreel.pipeline.JobSpec;
import io.sillreel.pipeline.PlacementRequirements;
import io.sillreel.pipeline.PriorityClass;
import io.sillreel.pipeline.TaskSpec;
import io.sillreel.pipeline.Urgency;
import java.util.LinkedHashSet;
import java.util.List;

/** Decodes the JSON body of a submission into a {@link JobSpec}. */
final class SubmissionDecoder {
    private static final int MAX_TASKS = 100_000;
    private static final long NO_DEADLINE = -1;

    private SubmissionDecoder() {}

    /** True if the text has the form of a job id. */
    static boolean isUid(String text) {
        return JobIdSet.isJobId(text);
    }

    /**
     * Decodes the body of a request.
     *
     * @throws MalformedSubmissionException naming the first field that is missing or malformed
     */
    static JobSpec decode(byte[] body) throws MalformedSubmissionException {
        return decode(Json.parse(body));
    }

    /**
     * Decodes a submission. The fields are read in a fixed order, which determines the one that is reported if several
     * are malformed.
     *
     * @throws MalformedSubmissionException naming the first field that is missing or malformed
     */
    static JobSpec decode(JsonNode body) throws MalformedSubmissionException {
        if (!body.isObject()) {
            throw new MalformedSubmissionException(null, "the body is not a JSON object");
        }
        JsonNode uid = body.path("uid");
        if (!uid.isTextual() || !isUid(uid.asText())) {
            throw new MalformedSubmissionException(null, "uid: is not of the form job-000412");
        }
        return decode(new SubmissionFields(uid.asText(), body));
    }

    private static JobSpec decode(SubmissionFields fields) throws MalformedSubmissionException {
        if (!"sweep".equals(fields.text("form"))) {
            throw fields.malformed("form", "only sweep is known");
        }
        PriorityClass priorityClass = PriorityClass.fromWireName(fields.text("rank"))
                .orElseThrow(() -> fields.malformed("rank", "is not a known rank"));
        int tasks = fields.count("pieces", MAX_TASKS);
        String jobClass = fields.text("lot");
        String team = fields.text("crew");
        double cpus = fields.amount("vcpus");
        double gpus = fields.amount("cards");
        double ramGb = fields.amount("ram_gb");
        String image = fields.text("reel");
        double imageGb = fields.amount("image_gb");
        PlacementRequirements placement = placement(fields);
        long estimatedMicros = fields.micros("guess_s");
        Checkpointing checkpointing = new Checkpointing(fields.micros("mark_every_s"), fields.micros("stash_s"));
        Urgency urgency = new Urgency(priorityClass, fields.has("due_s") ? fields.micros("due_s") : NO_DEADLINE);
        TaskSpec task = new TaskSpec(cpus, gpus, ramGb, image, imageGb, estimatedMicros, checkpointing);
        return new JobSpec(fields.uid(), jobClass, team, urgency, tasks, task, placement, dependencies(fields));
    }

    private static PlacementRequirements placement(SubmissionFields fields) throws MalformedSubmissionException {
        return new PlacementRequirements(
                fields.optionalTexts("builds").orElse(null),
                fields.has("yard") ? fields.text("yard") : null,
                fields.flag("one_zone"),
                fields.flag("spread"),
                fields.flag("loaners"));
    }

    /** Reads the ids of the dependencies without duplicates. */
    private static List<String> dependencies(SubmissionFields fields) throws MalformedSubmissionException {
        List<String> uids = fields.optionalTexts("awaits").orElse(List.of());
        for (String uid : uids) {
            if (!isUid(uid)) {
                throw fields.malformed("awaits", "is not a list of job ids");
            }
        }
        return List.copyOf(new LinkedHashSet<>(uids));
    }
}
