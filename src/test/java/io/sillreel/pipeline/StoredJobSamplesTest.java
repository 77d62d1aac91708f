package io.sillreel.pipeline;

import static io.sillreel.golden.GoldenSamples.change;
import static io.sillreel.golden.GoldenSamples.fields;
import static io.sillreel.golden.GoldenSamples.json;
import static io.sillreel.golden.GoldenSamples.text;
import static io.sillreel.golden.GoldenSamples.values;

import com.fasterxml.jackson.databind.JsonNode;
import io.sillreel.golden.GoldenSamples;
import io.sillreel.golden.GoldenSamples.Transcript;
import io.sillreel.settings.ValueLimits;
import io.sillreel.statestore.PendingWrite;
import io.sillreel.statestore.StoredEntry;
import java.util.Arrays;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * The stored forms of jobs: run records, chunks of completion bitmaps, plans with their overflow values, and
 * cancellations.
 */
class StoredJobSamplesTest {
    private static final String UID = "job-000000000000000042";
    /** Limits under which one value holds the bitmap of 192 tasks. */
    private static final ValueLimits SMALL = ValueLimits.fixed(64);

    private static final int TASKS = 400;

    private final Transcript transcript = new Transcript(request -> null);

    @Test
    void readsAndWritesRunRecordsOfAllFormats() throws Exception {
        GoldenSamples.assertConverts("run-heads.txt", input -> {
            RunRecord record = RunRecordCodec.decode(json(input));
            return values(fieldsOf(record)) + "\n" + record.isDone() + RunRecordCodec.isDone(json(input)) + "\n"
                    + text(RunRecordCodec.encode(record));
        });
    }

    private static List<Object> fieldsOf(RunRecord record) {
        return Arrays.asList(
                record.tasks(),
                record.doneTasks(),
                record.runningTasks(),
                record.retry().failedAttempts(),
                record.retry().nextAttemptWallMicros(),
                record.stage(),
                record.reason(),
                record.bitmap().inline(),
                record.readyWallMicros(),
                record.bitmap().tasksPerChunk(),
                record.bitmap().chunkGenerations());
    }

    @Test
    void readsAndWritesPlans() throws Exception {
        GoldenSamples.assertConverts("plans.txt", input -> {
            PlanRecord plan = PlanRecordCodec.decode(json(input));
            List<Object> read = List.of(plan.admittedWallMicros(), fields(plan.spec()), plan.overflowValues());
            return values(read) + "\n" + text(PlanRecordCodec.encode(plan));
        });
    }

    @Test
    void splitsPlansIntoOverflowValuesAndMergesThem() throws Exception {
        GoldenSamples.assertConverts("plan-overflow.txt", input -> {
            Map<String, JsonNode> split = PlanOverflow.split(PlanRecordCodec.decode(json(input)), 450, 8)
                    .orElseThrow();
            StringBuilder lines = new StringBuilder();
            split.forEach((key, value) -> lines.append(key + " " + text(value) + "\n"));
            List<JsonNode> overflow = split.values().stream().skip(1).toList();
            PlanRecord first = PlanRecordCodec.decode(split.values().iterator().next());
            PlanRecord whole = first.isComplete() ? first : PlanOverflow.merge(first, overflow);
            return lines + text(PlanRecordCodec.encode(whole));
        });
    }

    @Test
    void writesCascadingCancellations() {
        PendingWrite cancellation = new CascadingCancellation(UID, "job-7", 1_700_000_123_456_789L);
        note(List.of(cancellation));
        cancellation.onStored(12);
        note(List.of(cancellation));
        GoldenSamples.assertMatches("cancellations.txt", transcript.toString());
    }

    @Test
    void writesNewChunkGenerationsAndRemovesUnreferencedOnes() {
        StoredCompletionBitmap bitmap =
                new StoredCompletionBitmap(UID, TASKS, SMALL, () -> transcript.note("all parts are stored"));
        store(bitmap, 0, 5, 191, 192, 399);
        store(bitmap, 1);
        note(bitmap.removalsOfChunks());
        GoldenSamples.assertMatches("done-parts.txt", transcript.toString());
    }

    private void store(StoredCompletionBitmap bitmap, int... tasks) {
        for (int task : tasks) {
            bitmap.add(task);
        }
        List<PendingWrite> chunks = bitmap.prerequisites();
        note(chunks);
        chunks.forEach(chunk -> chunk.onStored(1_000_000_000_001L));
        transcript.note(values(bitmap.beginRecordWrite()));
        note(bitmap.recordStored(false));
    }

    private void note(List<PendingWrite> writes) {
        for (PendingWrite write : writes) {
            transcript.note(write.key() + " " + write.revision() + " " + change(write));
        }
    }

    @Test
    void readsChunksOfARecordAndThoseOfTheFirstVersion() throws Exception {
        GoldenSamples.assertConverts("stored-jobs.txt", input -> {
            RunRecord record = RunRecordCodec.decode(json(input).path("head"));
            StoredChunks chunks = new StoredChunks(new HashMap<>(), new TreeMap<>(), 192);
            for (Map.Entry<String, JsonNode> chunk : json(input).path("parts").properties()) {
                chunks.add(new StoredEntry(chunk.getKey(), chunk.getValue(), 17));
            }
            StoredCompletionBitmap bitmap = new StoredCompletionBitmap(UID, TASKS, SMALL, () -> {});
            bitmap.inherit(record.bitmap(), chunks);
            BitSet done = new BitSet();
            bitmap.addDoneTasksTo(done);
            return done + "\n" + values(bitmap.beginRecordWrite()) + "\n" + removals(bitmap);
        });
    }

    private static String removals(StoredCompletionBitmap bitmap) {
        TreeMap<String, String> removals = new TreeMap<>();
        bitmap.removalsOfChunks().forEach(write -> removals.put(write.key(), write.revision() + change(write)));
        return removals.toString();
    }

    @Test
    void buildsStoreKeys() {
        transcript.note(RunRecord.key(UID) + " " + PlanRecord.key(UID) + " " + PlanRecord.overflowKey(UID, 3));
        transcript.note(CancellationRecord.key(UID) + " " + ChunkKey.of(UID, 2, 1_000_000_000_001L));
        transcript.note(RunRecord.PREFIX + " " + PlanRecord.PREFIX + " " + PlanRecord.OVERFLOW_PREFIX);
        transcript.note(CancellationRecord.PREFIX + " " + ChunkKey.PREFIX);
        transcript.note(ChunkKey.uid("bits/" + UID + "/2/9"));
        for (PriorityClass priorityClass : PriorityClass.values()) {
            transcript.note(priorityClass.wireName());
        }
        GoldenSamples.assertMatches("job-keys.txt", transcript.toString());
    }
}
