package io.sillreel.pipeline;

import static io.sillreel.golden.GoldenSamples.json;
import static io.sillreel.golden.GoldenSamples.text;
import static io.sillreel.golden.GoldenSamples.values;

import com.fasterxml.jackson.databind.JsonNode;
import io.sillreel.golden.GoldenSamples;
import io.sillreel.golden.GoldenSamples.Transcript;
import io.sillreel.settings.ValueLimits;
import io.sillreel.statestore.KeyWriter;
import io.sillreel.statestore.StateStore.Entry;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** The stored forms of jobs: heads, parts of done sets, plans with their overflow values, and cancellations. */
class StoredJobSamplesTest {
    private static final String UID = "job-000000000000000042";
    /** Room for the done bits of 192 tasks in one value. */
    private static final ValueLimits SMALL = ValueLimits.fixed(64);

    private static final int TASKS = 400;

    private final Transcript transcript = new Transcript(call -> null);

    @Test
    void readsAndWritesHeadsWithBitsWithPartsAndOfTheFirstVersion() throws Exception {
        GoldenSamples.assertConverts("run-heads.txt", input -> {
            RunRecord.Head head = RunRecord.Head.of(json(input));
            return values(head) + "\n" + head.isDone() + RunRecord.isDone(json(input)) + "\n" + text(head.json());
        });
    }

    @Test
    void readsAndWritesPlans() throws Exception {
        GoldenSamples.assertConverts("plans.txt", input -> {
            PlanRecord plan = PlanRecord.of(json(input));
            return values(plan) + "\n" + text(plan.json());
        });
    }

    @Test
    void cutsPlansIntoOverflowValuesAndPutsThemTogetherAgain() throws Exception {
        GoldenSamples.assertConverts("plan-overflow.txt", input -> {
            Map<String, JsonNode> cut = PlanRecord.of(json(input)).cut(450, 8).orElseThrow();
            StringBuilder lines = new StringBuilder();
            cut.forEach((key, value) -> lines.append(key + " " + text(value) + "\n"));
            List<JsonNode> overflow = cut.values().stream().skip(1).toList();
            PlanRecord head = PlanRecord.of(cut.values().iterator().next());
            return lines + text((head.complete() ? head : head.with(overflow)).json());
        });
    }

    @Test
    void writesCancellationsThatFollowOthers() {
        KeyWriter.Item cancellation = new CascadingCancellation(UID, "job-7", 1_700_000_123_456_789L);
        note(List.of(cancellation));
        cancellation.stored(12);
        note(List.of(cancellation));
        GoldenSamples.assertMatches("cancellations.txt", transcript.toString());
    }

    @Test
    void writesPartsOfTheirOwnGenerationsAndRemovesThoseThatNoHeadNames() {
        StoredDoneSet set = new StoredDoneSet(UID, TASKS, SMALL, () -> transcript.note("all parts are stored"));
        store(set, 0, 5, 191, 192, 399);
        store(set, 1);
        note(set.leftovers());
        GoldenSamples.assertMatches("done-parts.txt", transcript.toString());
    }

    private void store(StoredDoneSet set, int... tasks) {
        for (int task : tasks) {
            set.add(task);
        }
        List<KeyWriter.Item> parts = set.first();
        note(parts);
        parts.forEach(part -> part.stored(1_000_000_000_001L));
        transcript.note(values(set.write()));
        note(set.headStored(false));
    }

    private void note(List<KeyWriter.Item> items) {
        for (KeyWriter.Item item : items) {
            transcript.note(item.key() + " " + item.stamp() + " " + values(item.changes()));
        }
    }

    @Test
    void readsPartsThatAHeadNamesAndThoseOfTheFirstVersion() throws Exception {
        GoldenSamples.assertConverts("stored-jobs.txt", input -> {
            RunRecord.Head head = RunRecord.Head.of(json(input).path("head"));
            RunRecord.StoredParts parts = new RunRecord.StoredParts(new HashMap<>(), new TreeMap<>(), 192);
            for (Map.Entry<String, JsonNode> part : json(input).path("parts").properties()) {
                parts.add(new Entry(part.getKey(), part.getValue(), 17));
            }
            StoredDoneSet set = new StoredDoneSet(UID, TASKS, SMALL, () -> {});
            set.inherit(head, parts);
            BitSet done = new BitSet();
            set.addTo(done);
            return done + "\n" + values(set.write()) + "\n" + removals(set);
        });
    }

    private static String removals(StoredDoneSet set) {
        TreeMap<String, String> removals = new TreeMap<>();
        set.leftovers().forEach(item -> removals.put(item.key(), item.stamp() + values(item.changes())));
        return removals.toString();
    }

    @Test
    void namesTheKeys() {
        transcript.note(RunRecord.key(UID) + " " + PlanRecord.key(UID) + " " + PlanRecord.overflowKey(UID, 3));
        transcript.note(CancellationRecord.key(UID) + " " + DoneParts.key(UID, 2, 1_000_000_000_001L));
        transcript.note(RunRecord.PREFIX + " " + PlanRecord.PREFIX + " " + PlanRecord.OVERFLOW_PREFIX);
        transcript.note(CancellationRecord.PREFIX + " " + RunRecord.partsPrefix());
        transcript.note(RunRecord.uidOfPart("bits/" + UID + "/2/9"));
        for (Rank rank : Rank.values()) {
            transcript.note(rank.wire());
        }
        GoldenSamples.assertMatches("job-keys.txt", transcript.toString());
    }
}
