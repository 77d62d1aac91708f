package io.sillreel;

import static io.sillreel.VersionsTest.CHUNKED;
import static io.sillreel.VersionsTest.json;
import static io.sillreel.VersionsTest.spec;
import static io.sillreel.sim.StoredValues.storedValue;
import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import io.sillreel.http.Json;
import io.sillreel.pipeline.ActiveJob;
import io.sillreel.pipeline.CompletionBitmapCodec;
import io.sillreel.pipeline.JobSpec;
import io.sillreel.pipeline.NoOpJobListener;
import io.sillreel.pipeline.RunRecordCodec;
import io.sillreel.pipeline.StoredChunks;
import io.sillreel.settings.ValueLimits;
import io.sillreel.sim.PreviousVersion;
import io.sillreel.sim.SimNetwork;
import io.sillreel.sim.SimStateService;
import io.sillreel.sim.SimTime;
import io.sillreel.statestore.PendingWrite;
import io.sillreel.statestore.StateStore;
import io.sillreel.statestore.StoreOutcome;
import io.sillreel.statestore.Transaction;
import io.sillreel.statestore.WriteQueue;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Compatibility of completion bitmaps with the version in production (5806758), which stores or reads them. */
class CompletionBitmapVersionsTest {
    private final SimTime time = new SimTime();

    /** Guards jobs that both versions lead in turn: the production version can't read the current bitmap chunks. */
    @Test
    void writesBitmapInlineUntilStateServiceRejectsItsSize() {
        List<PendingWrite> queued = new ArrayList<>();
        ActiveJob.Listener listener = new NoOpJobListener() {
            @Override
            public void enqueueWrites(List<? extends PendingWrite> items) {
                queued.addAll(items);
            }
        };
        ActiveJob job = new ActiveJob(spec("job-000412", 7_000), 7, 0, new ValueLimits(8_192, 2_048), listener);
        List.of(0, 3, 6_999).forEach(job::markTaskDone);
        assertThat(job.recordWrite().prerequisites()).isEmpty();
        JsonNode runRecord = storedValue(job.recordWrite(), "run/job-000412");
        assertThat(PreviousVersion.withoutNewerFields("run/job-000412", runRecord))
                .isEqualTo(runRecord);
        assertThat(CompletionBitmapCodec.decode(
                        RunRecordCodec.decode(runRecord).bitmap().inline())
                        .stream())
                .containsExactly(0, 3, 6_999);
        assertThat(runRecord.toString().length()).isGreaterThan(1_024);

        job.recordWrite().onTooLarge();
        assertThat(queued).hasSize(1).first().isSameAs(job.recordWrite());
        queued.clear();
        List<PendingWrite> chunks = job.recordWrite().prerequisites();
        assertThat(chunks).hasSize(2).allMatch(chunk -> chunk.key().startsWith("bits/job-000412/"));
        chunks.forEach(chunk -> {
            assertThat(chunk.change().value()).isNotNull();
            chunk.onStored(9);
        });
        assertThat(storedValue(job.recordWrite(), "run/job-000412").toString().length())
                .isLessThan(1_024);
        job.recordWrite().onStored(10);
        assertThat(List.of(0, 3, 6_999)).allMatch(job::isTaskStored);
    }

    /** A job of 400 tasks whose bitmap that version split by a larger value limit, and a writer with smaller limits. */
    private final class ChunkedJob {
        final SimStateService stateService = new SimStateService(time, 20, 8 * 1024, 1_000);
        final JobSpec spec = spec("job-000413", 400);
        final StateStore store;
        final WriteQueue writeQueue;
        final ActiveJob.Listener listener;

        ChunkedJob() {
            SimNetwork network = new SimNetwork(time, 1);
            network.listen("state:1", stateService);
            SimTime.Process process = time.new Process();
            store = network.newStateStoreClient(process, 1_000, 1_000);
            Transaction transaction = new Transaction().set("leader", Json.object());
            CHUNKED.forEach((key, value) -> transaction.set(key, json(value)));
            store.commit(transaction);
            time.runFor(100_000);
            stateService.setLimits(2, 160, 1_000);
            writeQueue = new WriteQueue(store, process, "leader", 101, 2, reason -> {});
            listener = new NoOpJobListener() {
                @Override
                public void enqueueWrites(List<? extends PendingWrite> items) {
                    items.forEach(writeQueue::enqueue);
                }
            };
        }

        /** Returns the job as a leader takes it over from the records of the production version. */
        ActiveJob takeOverFromPreviousVersion() {
            Map<String, String> values = new HashMap<>();
            Map<String, Long> revisions = new HashMap<>();
            CHUNKED.forEach((key, value) -> {
                if (key.lastIndexOf('/') > 4) {
                    values.put(key, json(value).path("bits").asText());
                    revisions.put(key, 101L);
                }
            });
            StoredChunks stored = new StoredChunks(values, revisions, CompletionBitmapCodec.tasksPerChunk(64));
            ActiveJob job = new ActiveJob(spec, 7, 0, ValueLimits.fixed(32), listener);
            job.inherit(101, RunRecordCodec.decode(json(CHUNKED.get("run/job-000413"))), stored);
            return job;
        }

        /** Returns the job as the next leader takes it over from the records of the current version. */
        ActiveJob takeOverFromCurrentVersion() {
            Map<String, String> values = new HashMap<>();
            stateService
                    .keysWithPrefix("bits/")
                    .forEach(key ->
                            values.put(key, stateService.value(key).path("bits").asText()));
            ActiveJob job = new ActiveJob(spec, 7, 0, ValueLimits.fixed(32), listener);
            job.inherit(
                    102,
                    RunRecordCodec.decode(stateService.value("run/job-000413")),
                    new StoredChunks(values, new HashMap<>(), 0));
            return job;
        }

        void write(ActiveJob job) {
            writeQueue.enqueue(job.recordWrite());
            time.runFor(30_000_000);
        }
    }

    /**
     * Guards a bitmap that the production version split into larger chunks: it is read with the chunk size of that
     * version, written in smaller chunks, and no stale key is left.
     */
    @Test
    void rewritesLargerChunksAsSmallerOnes() {
        ChunkedJob chunked = new ChunkedJob();
        ActiveJob job = chunked.takeOverFromPreviousVersion();
        assertThat(List.of(0, 191, 192, 399)).allMatch(job::isTaskStored);
        assertThat(job.doneCount()).isEqualTo(4);
        job.markTaskDone(200);
        chunked.write(job);
        assertThat(job.isTaskStored(200)).isTrue();
        assertThat(chunked.stateService.keysWithPrefix("run/")).containsExactly("run/job-000413");
        assertThat(chunked.stateService.rejectedForSize()).isZero();

        ActiveJob successor = chunked.takeOverFromCurrentVersion();
        assertThat(successor.doneCount()).isEqualTo(5);
        assertThat(List.of(0, 191, 192, 200, 399)).allMatch(successor::isTaskDone);

        for (int task = 0; task < 400; task++) {
            job.markTaskDone(task);
        }
        chunked.write(job);
        assertThat(job.isCompletionStored()).isTrue();
        assertThat(chunked.stateService.keysWithPrefix("bits/")).isEmpty();
    }

    /** Guards against a write that the former leader timed out: it arrives late, under another leader. */
    @Test
    void rejectsLateChunkWriteOfFormerLeader() {
        ChunkedJob chunked = new ChunkedJob();
        ActiveJob job = chunked.takeOverFromPreviousVersion();
        for (int task = 0; task < 400; task++) {
            job.markTaskDone(task);
        }
        chunked.write(job);
        var late = chunked.store.commit(new Transaction()
                .requireRevision("leader", 77)
                .requireRevision("run/job-000413", 101)
                .set("run/job-000413/0", json(CHUNKED.get("run/job-000413/0"))));
        time.runFor(100_000);
        assertThat(late.join().outcome()).isEqualTo(StoreOutcome.CONFLICT);
    }
}
