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

/** Done sets that the version in production (5806758) stored, or may have to read. */
class CompletionBitmapVersionsTest {
    private final SimTime time = new SimTime();

    /** Guards the done set of a job that both versions lead in turn: parts of it would be unknown to that version. */
    @Test
    void aDoneSetIsWrittenAsItWroteItUntilTheStateServiceRefusesItsSize() {
        List<PendingWrite> queued = new ArrayList<>();
        ActiveJob.Listener watcher = new NoOpJobListener() {
            @Override
            public void enqueueWrites(List<? extends PendingWrite> items) {
                queued.addAll(items);
            }
        };
        ActiveJob job = new ActiveJob(spec("job-000412", 7_000), 7, 0, new ValueLimits(8_192, 2_048), watcher);
        List.of(0, 3, 6_999).forEach(job::markTaskDone);
        assertThat(job.recordWrite().prerequisites()).isEmpty();
        JsonNode head = storedValue(job.recordWrite(), "run/job-000412");
        assertThat(PreviousVersion.withoutNewerFields("run/job-000412", head)).isEqualTo(head);
        assertThat(CompletionBitmapCodec.decode(
                        RunRecordCodec.decode(head).bitmap().inline())
                        .stream())
                .containsExactly(0, 3, 6_999);
        assertThat(head.toString().length()).isGreaterThan(1_024);

        job.recordWrite().onTooLarge();
        assertThat(queued).hasSize(1).first().isSameAs(job.recordWrite());
        queued.clear();
        List<PendingWrite> parts = job.recordWrite().prerequisites();
        assertThat(parts).hasSize(2).allMatch(part -> part.key().startsWith("bits/job-000412/"));
        parts.forEach(part -> {
            assertThat(part.change().value()).isNotNull();
            part.onStored(9);
        });
        assertThat(storedValue(job.recordWrite(), "run/job-000412").toString().length())
                .isLessThan(1_024);
        job.recordWrite().onStored(10);
        assertThat(List.of(0, 3, 6_999)).allMatch(job::isTaskStored);
    }

    /** A job of 400 tasks whose done set that version cut by larger values, and a writer under today's limits. */
    private final class ChunkedJob {
        final SimStateService stateService = new SimStateService(time, 20, 8 * 1024, 1_000);
        final JobSpec spec = spec("job-000413", 400);
        final StateStore store;
        final WriteQueue writeQueue;
        final ActiveJob.Listener watcher;

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
            writeQueue = new WriteQueue(store, process, "leader", 101, 2, () -> {});
            watcher = new NoOpJobListener() {
                @Override
                public void enqueueWrites(List<? extends PendingWrite> items) {
                    items.forEach(writeQueue::enqueue);
                }
            };
        }

        /** The job as a leader takes it over that reads what that version wrote. */
        ActiveJob inherited() {
            Map<String, String> values = new HashMap<>();
            Map<String, Long> stamps = new HashMap<>();
            CHUNKED.forEach((key, value) -> {
                if (key.lastIndexOf('/') > 4) {
                    values.put(key, json(value).path("bits").asText());
                    stamps.put(key, 101L);
                }
            });
            StoredChunks stored = new StoredChunks(values, stamps, CompletionBitmapCodec.tasksPerChunk(64));
            ActiveJob job = new ActiveJob(spec, 7, 0, ValueLimits.fixed(32), watcher);
            job.inherit(101, RunRecordCodec.decode(json(CHUNKED.get("run/job-000413"))), stored);
            return job;
        }

        /** The job as the next leader takes it over. */
        ActiveJob succeeded() {
            Map<String, String> values = new HashMap<>();
            stateService
                    .keysWithPrefix("bits/")
                    .forEach(key ->
                            values.put(key, stateService.value(key).path("bits").asText()));
            ActiveJob job = new ActiveJob(spec, 7, 0, ValueLimits.fixed(32), watcher);
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
     * Guards a done set that it cut by larger values: read by its rule, written in smaller parts, nothing left behind.
     */
    @Test
    void whatItCutLargerIsRewrittenInSmallerParts() {
        ChunkedJob chunked = new ChunkedJob();
        ActiveJob job = chunked.inherited();
        assertThat(List.of(0, 191, 192, 399)).allMatch(job::isTaskStored);
        assertThat(job.doneCount()).isEqualTo(4);
        job.markTaskDone(200);
        chunked.write(job);
        assertThat(job.isTaskStored(200)).isTrue();
        assertThat(chunked.stateService.keysWithPrefix("run/")).containsExactly("run/job-000413");
        assertThat(chunked.stateService.rejectedForSize()).isZero();

        ActiveJob successor = chunked.succeeded();
        assertThat(successor.doneCount()).isEqualTo(5);
        assertThat(List.of(0, 191, 192, 200, 399)).allMatch(successor::isTaskDone);

        for (int task = 0; task < 400; task++) {
            job.markTaskDone(task);
        }
        chunked.write(job);
        assertThat(job.isCompletionStored()).isTrue();
        assertThat(chunked.stateService.keysWithPrefix("bits/")).isEmpty();
    }

    /** Guards against a write that its last leader gave up on: it comes late, and finds another leader. */
    @Test
    void aLateWriteOfALargerCutIsRefused() {
        ChunkedJob chunked = new ChunkedJob();
        ActiveJob job = chunked.inherited();
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
