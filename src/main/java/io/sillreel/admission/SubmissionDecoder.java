package io.sillreel.admission;

import com.fasterxml.jackson.databind.JsonNode;
import io.sillreel.cloud.MachineType;
import io.sillreel.pipeline.Checkpointing;
import io.sillreel.pipeline.JobSpec;
import io.sillreel.pipeline.PlacementRequirements;
import io.sillreel.pipeline.PriorityClass;
import io.sillreel.pipeline.TaskSpec;
import io.sillreel.pipeline.Urgency;
import io.sillreel.settings.Settings.Team;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;

/** Reads a submission and judges it. */
public final class SubmissionDecoder {
    private static final Pattern UID = Pattern.compile("job-[0-9]{1,18}");
    private static final int MAX_TASKS = 100_000;
    private static final int LONGEST_TEXT = 200;
    private static final double MAX_AMOUNT = 1e12;
    private static final double MICROS = 1_000_000;

    /** A submission that is malformed; the message says why in plain words. */
    static final class MalformedSubmissionException extends Exception {
        private static final long serialVersionUID = 1L;

        MalformedSubmissionException(String reason) {
            super(reason);
        }
    }

    private SubmissionDecoder() {}

    static boolean isUid(String text) {
        return UID.matcher(text).matches();
    }

    static JobSpec read(JsonNode body) throws MalformedSubmissionException {
        String uid = text(body, "uid");
        if (!isUid(uid)) {
            throw new MalformedSubmissionException("uid: is not of the form job-000412");
        }
        if (!"sweep".equals(text(body, "form"))) {
            throw new MalformedSubmissionException("form: only sweep is known");
        }
        PriorityClass rank = PriorityClass.fromWireName(text(body, "rank"))
                .orElseThrow(() -> new MalformedSubmissionException("rank: is not a known rank"));
        JsonNode tasks = field(body, "pieces");
        if (!tasks.isIntegralNumber() || !tasks.canConvertToInt() || tasks.asInt() < 1 || tasks.asInt() > MAX_TASKS) {
            throw new MalformedSubmissionException("pieces: is not a whole number from 1 to " + MAX_TASKS);
        }
        // The first field that is wrong is the one that is told: the order of reading is part of the answer.
        String jobClass = text(body, "lot");
        String team = text(body, "crew");
        double cpus = amount(body, "vcpus");
        double gpus = amount(body, "cards");
        double ramGb = amount(body, "ram_gb");
        String image = text(body, "reel");
        double imageGb = amount(body, "image_gb");
        PlacementRequirements placement = placement(body);
        long estimatedMicros = micros(body, "guess_s");
        Checkpointing checkpointing = new Checkpointing(micros(body, "mark_every_s"), micros(body, "stash_s"));
        Urgency urgency = new Urgency(rank, body.hasNonNull("due_s") ? micros(body, "due_s") : -1);
        TaskSpec task = new TaskSpec(cpus, gpus, ramGb, image, imageGb, estimatedMicros, checkpointing);
        return new JobSpec(uid, jobClass, team, urgency, tasks.asInt(), task, placement, awaits(body));
    }

    private static PlacementRequirements placement(JsonNode body) throws MalformedSubmissionException {
        return new PlacementRequirements(
                texts(body, "builds"),
                optionalText(body, "yard"),
                flag(body, "one_zone"),
                flag(body, "spread"),
                flag(body, "loaners"));
    }

    /** The jobs to be done first; a name that stands twice counts once. */
    private static List<String> awaits(JsonNode body) throws MalformedSubmissionException {
        List<String> names = texts(body, "awaits");
        if (names == null) {
            return List.of();
        }
        for (String name : names) {
            if (!isUid(name)) {
                throw new MalformedSubmissionException("awaits: is not a list of job ids");
            }
        }
        return List.copyOf(new LinkedHashSet<>(names));
    }

    /** Why the job can never run, if so. */
    static Optional<String> neverRuns(JobSpec spec, Team team, Collection<MachineType> types) {
        if (team == null) {
            return Optional.of("crew: there is no team " + spec.team());
        }
        if (team.maxCpus() > 0 && spec.cpus() > team.maxCpus() || team.maxGpus() > 0 && spec.gpus() > team.maxGpus()) {
            return Optional.of("one task needs more than the limit of team " + spec.team());
        }
        if (spec.zoneAffinity() && spec.maxTasksPerZone() < spec.tasks()) {
            return Optional.of("one_zone and spread exclude each other");
        }
        boolean fits = types.stream()
                .anyMatch(type -> spec.allowsMachineType(type.name())
                        && (spec.zone() == null || type.zones().contains(spec.zone()))
                        && spec.cpus() <= type.cpus()
                        && spec.gpus() <= type.gpus()
                        && spec.ramGb() <= type.ramGb());
        return fits ? Optional.empty() : Optional.of("a task fits no allowed machine type");
    }

    private static JsonNode field(JsonNode body, String name) throws MalformedSubmissionException {
        JsonNode value = body.path(name);
        if (value.isMissingNode() || value.isNull()) {
            throw new MalformedSubmissionException(name + ": is missing");
        }
        return value;
    }

    private static String text(JsonNode body, String name) throws MalformedSubmissionException {
        JsonNode value = field(body, name);
        if (!value.isTextual() || value.asText().isEmpty() || value.asText().length() > LONGEST_TEXT) {
            throw new MalformedSubmissionException(name + ": is not a text of 1 to " + LONGEST_TEXT + " characters");
        }
        return value.asText();
    }

    private static String optionalText(JsonNode body, String name) throws MalformedSubmissionException {
        return body.hasNonNull(name) ? text(body, name) : null;
    }

    private static List<String> texts(JsonNode body, String name) throws MalformedSubmissionException {
        if (!body.hasNonNull(name)) {
            return null;
        }
        JsonNode value = body.path(name);
        List<String> texts = new ArrayList<>();
        for (JsonNode element : value) {
            if (!element.isTextual()) {
                throw new MalformedSubmissionException(name + ": is not a list of texts");
            }
            texts.add(element.asText());
        }
        if (!value.isArray()) {
            throw new MalformedSubmissionException(name + ": is not a list of texts");
        }
        return List.copyOf(texts);
    }

    private static boolean flag(JsonNode body, String name) throws MalformedSubmissionException {
        JsonNode value = field(body, name);
        if (!value.isBoolean()) {
            throw new MalformedSubmissionException(name + ": is not true or false");
        }
        return value.asBoolean();
    }

    private static double amount(JsonNode body, String name) throws MalformedSubmissionException {
        JsonNode value = field(body, name);
        double amount = value.asDouble();
        if (!value.isNumber() || !Double.isFinite(amount) || amount < 0 || amount > MAX_AMOUNT) {
            throw new MalformedSubmissionException(name + ": is not an amount of at least 0");
        }
        return amount;
    }

    private static long micros(JsonNode body, String name) throws MalformedSubmissionException {
        return Math.round(amount(body, name) * MICROS);
    }
}
