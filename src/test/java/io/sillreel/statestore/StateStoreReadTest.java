package io.sillreel.statestore;

import static org.assertj.core.api.Assertions.assertThat;

import io.sillreel.http.HttpResponse;
import io.sillreel.http.Json;
import io.sillreel.overload.RateLimiter;
import io.sillreel.sim.SimNetwork;
import io.sillreel.sim.SimNetwork.Action;
import io.sillreel.sim.SimStateService;
import io.sillreel.sim.SimTime;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class StateStoreReadTest {
    private static final int ENTRIES = 2_000;

    private final SimTime time = new SimTime();
    private final SimNetwork network = new SimNetwork(time, 1);
    private final SimStateService state = new SimStateService(time, 100, 8192, 10_000);
    private final SimTime.Process process = time.new Process();
    private final List<String> readKeys = new ArrayList<>();
    private final StateStore store;

    StateStoreReadTest() {
        network.listen("state:1", state);
        store = network.newStateStoreClient(process, 4, 10_000);
        for (int from = 0; from < ENTRIES; from += 100) {
            Transaction transaction = new Transaction();
            for (int entry = from; entry < from + 100; entry++) {
                transaction.set("k/%04d".formatted(entry), Json.object());
            }
            store.commit(transaction);
            time.runFor(1_000_000);
        }
    }

    private CompletableFuture<Boolean> collect(List<StoredEntry> page) {
        page.forEach(entry -> readKeys.add(entry.key()));
        return CompletableFuture.completedFuture(true);
    }

    /** Guards failovers: a scan with more pages than the rate allows in one burst used to restart without end. */
    @Test
    void completesScanWithMorePagesThanRateAllowsAtOnce() {
        CompletableFuture<ScanResult> scan = store.scan("k/", this::collect);
        time.runFor(5_000_000);
        assertThat(scan).isCompletedWithValueMatching(scanResult -> scanResult.outcome() == StoreOutcome.OK);
        assertThat(readKeys).hasSize(ENTRIES).doesNotHaveDuplicates().isSorted();
    }

    /** Guards failovers: after an exception in the consumer the scan never completed and blocked the new leader. */
    @Test
    void endsScanWhenConsumerThrows() {
        time.tolerateUnexpectedErrors();
        CompletableFuture<ScanResult> scan = store.scan("k/", page -> {
            throw new IllegalArgumentException("malformed entry");
        });
        time.runFor(1_000_000);
        assertThat(scan).isCompletedWithValueMatching(scanResult -> scanResult.outcome() == StoreOutcome.REFUSED);
    }

    @Test
    void retriesLostAndRefusedPages() {
        int[] requests = new int[1];
        network.addRule((from, to, request) -> {
            if (!request.route().equals("/kv")) {
                return null;
            }
            int requestNumber = requests[0]++;
            return requestNumber % 3 == 0 ? Action.DROP : requestNumber % 3 == 1 ? Action.REJECT : null;
        });
        CompletableFuture<ScanResult> scan = store.scan("k/", this::collect);
        time.runFor(60_000_000);
        assertThat(scan).isCompletedWithValueMatching(scanResult -> scanResult.outcome() == StoreOutcome.OK);
        assertThat(readKeys).hasSize(ENTRIES).doesNotHaveDuplicates();
    }

    /** Guards startup in an outage: users are served once it is certain that the leader can't be determined. */
    @Test
    void reportsRefusedListWithoutRetry() {
        state.setOutage(true);
        CompletableFuture<ListResult> refused = store.list("k/");
        time.runFor(200_000);
        assertThat(refused).isCompletedWithValueMatching(listing -> listing.outcome() == StoreOutcome.REFUSED);
    }

    @Test
    void reportsUnknownOutcomeWhenListGetsNoResponseAfterOutage() {
        state.setOutage(true);
        store.list("k/");
        time.runFor(200_000);
        state.setOutage(false);
        network.addRule((from, to, request) -> Action.DROP);
        CompletableFuture<ListResult> unanswered = store.list("k/");
        time.runFor(1_600_000);
        assertThat(unanswered).isCompletedWithValueMatching(listing -> listing.outcome() == StoreOutcome.UNKNOWN);
    }

    /** Guards watchers of changes, which would otherwise repeat a watch whose response is too large without end. */
    @Test
    void reportsWatchAsCompactedWhenResponseIsTooLarge() {
        StateStore limitedStore = new StateStore(
                (to, request, timeout) -> CompletableFuture.completedFuture(HttpResponse.responseTooLarge()),
                network.clientOf("node", process),
                process,
                "state:1",
                new RateLimiter(process, 4, 4),
                new RateLimiter(process, 4, 4));
        assertThat(limitedStore.watch("k/", 0, 1_000).join().outcome()).isEqualTo(StoreOutcome.COMPACTED);
    }

    @Test
    void endsScanDuringOutage() {
        state.setOutage(true);
        CompletableFuture<ScanResult> refused = store.scan("k/", this::collect);
        time.runFor(5_000_000);
        assertThat(refused).isCompletedWithValueMatching(scanResult -> scanResult.outcome() == StoreOutcome.REFUSED);
    }

    @Test
    void endsScanWhenConsumerStopsReadingAfterOutage() {
        state.setOutage(true);
        store.scan("k/", this::collect);
        time.runFor(5_000_000);
        state.setOutage(false);
        int[] pages = new int[1];
        CompletableFuture<ScanResult> ended =
                store.scan("k/", page -> CompletableFuture.completedFuture(++pages[0] < 2));
        time.runFor(5_000_000);
        assertThat(ended).isCompletedWithValueMatching(scanResult -> scanResult.outcome() == StoreOutcome.REFUSED);
        assertThat(pages[0]).isEqualTo(2);
    }
}
