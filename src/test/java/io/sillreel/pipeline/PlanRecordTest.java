package io.sillreel.pipeline;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import io.sillreel.http.Json;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class PlanRecordTest {
    private static final int VALUE_BYTES = 2_048;
    private static final int MAX_VALUES = 6;

    private static List<String> names(String prefix, int count) {
        List<String> names = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            names.add(prefix + "%06d".formatted(number));
        }
        return names;
    }

    private static PlanRecord plan(List<String> machineTypes, List<String> dependencies) {
        JobSpec spec = new JobSpec(
                "job-000412",
                "train",
                "vision",
                new Urgency(PriorityClass.HIGH, 900_000_000L),
                16,
                new TaskSpec(8.0, 1.0, 64.0, "img-07", 6.2, 240_000_000L, new Checkpointing(30_000_000L, 4_000_000L)),
                new PlacementRequirements(machineTypes, "a", true, false, true),
                dependencies);
        return new PlanRecord(1_700_000_123_456_789L, spec);
    }

    @Test
    void storesPlanThatFitsAsOneValueReadableByAllVersions() {
        PlanRecord plan = plan(List.of("g8", "c4"), List.of());
        Map<String, JsonNode> values = PlanOverflow.split(plan, VALUE_BYTES, 1).orElseThrow();
        assertThat(values).containsExactly(Map.entry("plan/job-000412", PlanRecordCodec.encode(plan)));
        assertThat(PlanRecordCodec.decode(PlanRecordCodec.encode(plan))).isEqualTo(plan);
    }

    @Test
    void splitsAndMergesNamesThatDoNotFit() {
        for (PlanRecord plan : List.of(
                plan(null, names("job-", 600)),
                plan(names("type-", 90), names("job-", 300)),
                plan(names("type-", 300), List.of()))) {
            Map<String, JsonNode> values =
                    PlanOverflow.split(plan, VALUE_BYTES, MAX_VALUES).orElseThrow();
            assertThat(values.values()).allMatch(value -> Json.bytes(value).length <= VALUE_BYTES);
            PlanRecord incomplete = PlanRecordCodec.decode(values.get("plan/job-000412"));
            assertThat(incomplete.isComplete()).isFalse();
            List<JsonNode> overflow = new ArrayList<>();
            for (int index = 0; index < incomplete.overflowValues(); index++) {
                overflow.add(values.get(PlanRecord.overflowKey("job-000412", index)));
            }
            assertThat(values).hasSize(1 + overflow.size());
            assertThat(PlanOverflow.merge(incomplete, overflow)).isEqualTo(plan);
        }
    }

    @Test
    void doesNotSplitPlanWithTooManyValuesOrTooLongName() {
        assertThat(PlanOverflow.split(plan(null, names("job-", 900)), VALUE_BYTES, MAX_VALUES))
                .isEmpty();
        assertThat(PlanOverflow.split(plan(null, names("job-", 200)), VALUE_BYTES, 1))
                .isEmpty();
        assertThat(PlanOverflow.split(plan(List.of("g".repeat(VALUE_BYTES)), List.of()), VALUE_BYTES, MAX_VALUES))
                .isEmpty();
    }
}
