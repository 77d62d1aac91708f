package io.sillreel.statestore;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sillreel.http.HttpRequest;
import io.sillreel.http.Json;
import io.sillreel.overload.RateLimiter;
import io.sillreel.sim.SimNetwork;
import io.sillreel.sim.SimNetwork.Action;
import io.sillreel.sim.SimNetwork.Rule;
import io.sillreel.sim.SimStateService;
import io.sillreel.sim.SimTime;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class WriteQueueTest {
    private final SimTime time = new SimTime();
    private final SimNetwork network = new SimNetwork(time, 1);
    private final SimStateService stateService = new SimStateService(time, 4, 8192, 1_000);
    private final SimTime.Process process = time.new Process();
    private final StateStore store;
    private final WriteQueue writeQueue;
    private boolean leadershipLost;

    WriteQueueTest() {
        network.listen("state:1", stateService);
        store = network.newStateStoreClient(process, 1_000, 1_000);
        store.commit(new Transaction().set("leader", Json.object()));
        time.runFor(100_000);
        writeQueue = new WriteQueue(store, process, "leader", 101, 4, reason -> leadershipLost = true);
    }

    /**
     * Guards against size limits lowered below the announced ones: an oversized write is not retried unchanged and does
     * not block others.
     */
    @Test
    void splitsOversizedBatchAndDropsOversizedWriteWithoutBlockingOthers() {
        stateService.setLimits(1, 40, 1_000);
        CounterWrite small = new CounterWrite("a");
        CounterWrite large = new CounterWrite("a-key-whose-value-is-not-small");
        large.padding = "x".repeat(100);
        CounterWrite last = new CounterWrite("b");
        List.of(small, large, last).forEach(writeQueue::enqueue);
        time.runFor(3_000_000);
        assertThat(small.revision).isPositive();
        assertThat(last.revision).isPositive();
        assertThat(large.revision).isZero();
        int refused = stateService.rejectedForSize();
        time.runFor(10_000_000);
        assertThat(stateService.rejectedForSize()).isEqualTo(refused);
        large.padding = "";
        writeQueue.enqueue(large);
        time.runFor(1_000_000);
        assertThat(large.revision).isPositive();
    }

    /**
     * Guards against a lowered rate limit: rejections slow the writer down within a second and are not treated as
     * failures.
     */
    @Test
    void slowsDownWithoutLossWhenRateLimited() {
        // A quarter of the write rate configured for this controller.
        StateStore rateLimitedStore = network.newStateStoreClient(process, 1_000, 40);
        WriteQueue writeQueue =
                new WriteQueue(rateLimitedStore, process, "leader", 101, 4, reason -> leadershipLost = true);
        stateService.setLimits(4, 8192, 10);
        List<CounterWrite> writes = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            writes.add(new CounterWrite("k%02d".formatted(i)));
            writeQueue.enqueue(writes.get(i));
        }
        time.runFor(1_500_000);
        int refusedSoon = stateService.rejectedForRate();
        time.runFor(10_000_000);
        assertThat(writes).allMatch(write -> write.revision > 0);
        assertThat(stateService.rejectedForRate() - refusedSoon)
                .as("refused once the writer had slowed")
                .isLessThan(25);
    }

    private static final class CounterWrite implements PendingWrite {
        private final String key;
        private String padding = "";
        private int value;
        private int sent;
        private int stored;
        private long revision;
        private WriteUrgency urgency = WriteUrgency.JOB_START;
        private ConflictResolution resolution = ConflictResolution.RETRY;

        CounterWrite(String key) {
            this.key = key;
        }

        @Override
        public WriteUrgency urgency() {
            return urgency;
        }

        @Override
        public String key() {
            return key;
        }

        @Override
        public long revision() {
            return revision;
        }

        @Override
        public KeyChange change() {
            sent = value;
            return KeyChange.put(Json.object().put("n", value).put("p", padding));
        }

        @Override
        public void onStored(long newRevision) {
            revision = newRevision;
            stored = sent;
        }

        @Override
        public ConflictResolution onConflict(Optional<StoredEntry> found) {
            revision = found.map(StoredEntry::revision).orElse(0L);
            return resolution;
        }
    }

    @Test
    void batchesWritesWithinTransactionLimit() {
        CounterWrite[] writes = new CounterWrite[10];
        for (int i = 0; i < writes.length; i++) {
            writes[i] = new CounterWrite("k" + i);
            writes[i].value = i + 1;
            writeQueue.enqueue(writes[i]);
        }
        time.runFor(1_000_000);
        for (int i = 0; i < writes.length; i++) {
            assertThat(writes[i].stored).isEqualTo(i + 1);
            assertThat(stateService.value("k" + i).path("n").asInt()).isEqualTo(i + 1);
        }
        assertThat(writes[9].revision).isEqualTo(104);
    }

    /** Guards against lease expiry because other requests exhausted the request rate. */
    @Test
    void renewsLeaseWhenRequestRateIsExhausted() {
        StateStore exhaustedStore = network.newStateStoreClient(process, 1, 1);
        long leaseId =
                store.grantLease(3_000_000).thenApply(grant -> grant.leaseId()).getNow(0L);
        exhaustedStore.get("leader");
        var refused = exhaustedStore.get("leader");
        var renewed = exhaustedStore.renewLease(leaseId);
        time.runFor(100_000);
        assertThat(refused.join().outcome()).isEqualTo(StoreOutcome.REFUSED);
        assertThat(renewed.join()).isNotEqualTo(StoreOutcome.REFUSED);
    }

    /** Guards against job ends that are delayed by progress writes when the write rate is exhausted. */
    @Test
    void writesJobEndsBeforeStartsAndStartsBeforeProgress() {
        StateStore slowStore = new StateStore(
                network.clientOf("node", process),
                network.clientOf("node", process),
                process,
                "state:1",
                new RateLimiter(process, 1_000, 1_000),
                new RateLimiter(process, 2, 6));
        WriteQueue slowQueue = new WriteQueue(slowStore, process, "leader", 101, 4, reason -> leadershipLost = true);
        CounterWrite[] progress = new CounterWrite[8];
        for (int i = 0; i < progress.length; i++) {
            progress[i] = new CounterWrite("p" + i);
            progress[i].urgency = WriteUrgency.PROGRESS;
            slowQueue.enqueue(progress[i]);
        }
        time.runFor(1_900_000);
        assertThat(progress).allMatch(write -> write.revision == 0);
        CounterWrite[] starts = new CounterWrite[6];
        for (int i = 0; i < starts.length; i++) {
            starts[i] = new CounterWrite("s" + i);
            slowQueue.enqueue(starts[i]);
        }
        CounterWrite end = new CounterWrite("e");
        end.urgency = WriteUrgency.JOB_END;
        slowQueue.enqueue(end);
        time.runFor(8_000_000);
        assertThat(end.revision).isPositive();
        assertThat(starts).allMatch(start -> start.revision >= end.revision);
        assertThat(progress)
                .filteredOn(write -> write.revision > 0)
                .allMatch(write -> write.revision > starts[5].revision);
        time.runFor(20_000_000);
        assertThat(progress).allMatch(write -> write.revision > 0);
    }

    /**
     * Guards the condition on the revision of the changed key: a delayed write of the same leader must not undo a newer
     * one.
     */
    @Test
    void delayedTransactionDoesNotUndoNewerWrite() {
        CounterWrite write = new CounterWrite("k");
        write.value = 1;
        Rule heldTransactions =
                network.addRule((from, to, request) -> request.route().equals("/txn") ? Action.HOLD : null);
        writeQueue.enqueue(write);
        time.runFor(1_000_000);
        network.removeRule(heldTransactions);
        write.value = 2;
        time.runFor(3_000_000);
        assertThat(write.stored).isEqualTo(2);
        network.releaseHeld();
        time.runFor(1_000_000);
        assertThat(stateService.value("k").path("n").asInt()).isEqualTo(2);
    }

    @Test
    void rereadsRevisionAfterLostResponse() {
        CounterWrite write = new CounterWrite("k");
        write.value = 1;
        Rule lostResponses =
                network.addRule((from, to, request) -> request.route().equals("/txn") ? Action.DROP_RESPONSE : null);
        writeQueue.enqueue(write);
        time.runFor(1_000_000);
        network.removeRule(lostResponses);
        time.runFor(3_000_000);
        assertThat(write.stored).isEqualTo(1);
        assertThat(write.revision).isEqualTo(103);
    }

    @Test
    void stopsWritingOnceLeaderKeyHasChanged() {
        store.commit(new Transaction().set("leader", Json.object().put("node", "other")));
        time.runFor(100_000);
        CounterWrite write = new CounterWrite("k");
        writeQueue.enqueue(write);
        time.runFor(1_000_000);
        assertThat(leadershipLost).isTrue();
        assertThat(stateService.value("k")).isNull();
    }

    @Test
    void readsListsInPagesAndReportsWatchFromCompactedRevision() {
        for (int i = 0; i < 1_200; i += 4) {
            Transaction transaction = new Transaction();
            for (int j = i; j < i + 4; j++) {
                transaction.set("many/%05d".formatted(j), Json.object());
            }
            store.commit(transaction);
            time.runFor(20_000);
        }
        var listing = store.list("many/");
        time.runFor(100_000);
        assertThat(listing.join().entries()).hasSize(1_200);
        stateService.compact();
        var watch = store.watch("many/", 5, 1_000_000);
        time.runFor(100_000);
        assertThat(watch.join().outcome()).isEqualTo(StoreOutcome.COMPACTED);
    }

    /**
     * Guards scale-out requests, which are held back while the store falls behind: pending progress writes of many
     * jobs, which are delayed on purpose, do not count as such a backlog.
     */
    @Test
    void excludesPendingProgressFromUrgentCount() {
        for (int i = 0; i < 30; i++) {
            CounterWrite progress = new CounterWrite("p/" + i);
            progress.urgency = WriteUrgency.PROGRESS;
            writeQueue.enqueue(progress);
        }
        writeQueue.enqueue(new CounterWrite("hire/1"));
        assertThat(writeQueue.pendingCount()).isEqualTo(31);
        assertThat(writeQueue.urgentCount()).isEqualTo(1);
        time.runFor(1_000_000);
        assertThat(writeQueue.pendingCount()).isEqualTo(30);
        assertThat(writeQueue.urgentCount()).isZero();
    }

    /** Guards stored state that is newer than this term's: a write that finds it must not replace it. */
    @Test
    void abandonsTheTermIfAStoredValueIsNewer() {
        ObjectNode transaction = Json.object();
        transaction.putArray("then").addObject().put("set", "k").putObject("v").put("n", 7);
        stateService.handle(HttpRequest.post("/txn", transaction)).join();
        CounterWrite write = new CounterWrite("k");
        write.resolution = ConflictResolution.ABANDON_TERM;
        writeQueue.enqueue(write);
        time.runFor(5_000_000);
        assertThat(leadershipLost).isTrue();
        assertThat(stateService.value("k").path("n").asInt()).isEqualTo(7);
    }
}
