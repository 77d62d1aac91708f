package io.sillreel.leadership;

import static org.assertj.core.api.Assertions.assertThat;

import io.sillreel.http.HttpRequest;
import io.sillreel.http.Json;
import io.sillreel.pipeline.JobIdSet;
import io.sillreel.pipeline.PlanRecord;
import io.sillreel.pipeline.RunRecord;
import io.sillreel.sim.SimCluster;
import io.sillreel.sim.SimNetwork;
import io.sillreel.sim.SimNetwork.Action;
import io.sillreel.sim.SimStateService;
import io.sillreel.sim.SimTime;
import io.sillreel.statestore.StateStore;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.RepetitionInfo;
import org.junit.jupiter.api.Test;

class StoredStateReaderTest {
    private static final int JOBS = 1_500;
    private static final int VALUE_BYTES = 8 * 1024;

    private final SimTime time = new SimTime();
    private final SimStateService stateService = new SimStateService(time, 20, VALUE_BYTES, 1e9);
    private final List<String> unfinished = new ArrayList<>();
    private final List<String> released = new ArrayList<>();

    private void put(String key, Object value) {
        var body = Json.object();
        body.putArray("then")
                .addObject()
                .put("set", key)
                .set("v", Json.parse(value.toString().getBytes()));
        stateService.handle(HttpRequest.post("/txn", body)).join();
    }

    /** Stores jobs with ids of different lengths: at random some done, some released, some only admitted. */
    private void store(Random random) {
        for (int job = 0; job < JOBS; job++) {
            String uid = "job-" + "0".repeat(random.nextInt(4)) + job;
            put(PlanRecord.key(uid), Json.object().put("at_us", job).set("job", SimCluster.job(uid, 4)));
            int kind = random.nextInt(3);
            if (kind == 0) {
                put(RunRecord.key(uid), Json.object().put("stage", RunRecord.DONE));
                continue;
            }
            unfinished.add(uid);
            if (kind == 1) {
                released.add(uid);
                put(RunRecord.key(uid), Json.object().put("stage", "running").put("pieces", 4));
            }
            if (kind == 1 && random.nextInt(4) == 0) {
                put(RunRecord.key(uid) + "/0", Json.object().put("bits", "AQ=="));
            }
        }
    }

    /** Scans progress at different speeds; no order of their pages may lead to a wrong classification of a job. */
    @RepeatedTest(5)
    void classifiesJobsWhateverOrderThePagesArriveIn(RepetitionInfo repetition) {
        Random random = new Random(repetition.getCurrentRepetition());
        store(random);
        SimNetwork network = new SimNetwork(time, repetition.getCurrentRepetition());
        network.listen("state:1", stateService);
        network.addRule((from, to, request) -> switch (random.nextInt(6)) {
            case 0 -> Action.DELAY_RESPONSE;
            case 1 -> Action.REJECT;
            default -> null;
        });
        SimTime.Process process = time.new Process();
        StateStore store = network.newStateStoreClient(process, 1_000, 1_000);
        CompletableFuture<Optional<StoredState>> read = new StoredStateReader(
                        store, process.unexpectedErrors(), VALUE_BYTES, admitted -> false, () -> true)
                .read();
        time.runFor(120_000_000);
        StoredState stored = read.join().orElseThrow();
        assertThat(stored.unfinished().stream().map(job -> job.plan().spec().uid()))
                .containsExactlyElementsOf(unfinished);
        assertThat(stored.unfinished().stream()
                        .filter(job -> job.runRecord() != null)
                        .map(job -> job.plan().spec().uid()))
                .containsExactlyElementsOf(released);
        assertThat(stored.done().size()).isEqualTo(JOBS - unfinished.size());
    }

    /** A leader whose read neither completes nor fails would hold the lease forever without doing any work. */
    @Test
    void completesEmptyWhenTheRunRecordScanFailsBeforePlansArrive() {
        store(new Random(1));
        SimNetwork network = new SimNetwork(time, 1);
        network.listen("state:1", stateService);
        int[] planRequests = new int[1];
        network.addRule((from, to, request) -> {
            if (request.path().contains("prefix=run/")) {
                return Action.REJECT;
            }
            return request.path().contains("prefix=plan/") && planRequests[0]++ == 0 ? Action.DROP : null;
        });
        SimTime.Process process = time.new Process();
        CompletableFuture<Optional<StoredState>> read = new StoredStateReader(
                        network.newStateStoreClient(process, 1_000, 1_000),
                        process.unexpectedErrors(),
                        VALUE_BYTES,
                        admitted -> false,
                        () -> true)
                .read();
        time.runFor(30_000_000);
        assertThat(read).isCompletedWithValue(Optional.empty());
    }

    @Test
    void idsThatDifferOnlyInLeadingZerosAreDistinct() {
        JobIdSet ids = new JobIdSet();
        assertThat(ids.add("job-7")).isTrue();
        assertThat(ids.contains("job-07")).isFalse();
        assertThat(ids.add("job-000000000000000007")).isTrue();
        assertThat(ids.add("job-999999999999999999")).isTrue();
        assertThat(ids.contains("job-999999999999999999")).isTrue();
        assertThat(ids.size()).isEqualTo(3);
    }
}
