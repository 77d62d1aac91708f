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

class ScanTest {
    private static final int ENTRIES = 2_000;

    private final SimTime time = new SimTime();
    private final SimNetwork network = new SimNetwork(time, 1);
    private final SimStateService stateService = new SimStateService(time, 100, 8192, 10_000);
    private final SimTime.Process process = time.new Process();
    private final List<String> read = new ArrayList<>();
    private final StateStore store;

    ScanTest() {
        network.listen("state:1", stateService);
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
        page.forEach(entry -> read.add(entry.key()));
        return CompletableFuture.completedFuture(true);
    }

    /** Guards failovers: a scan of more pages than the rate allows at once started anew without end. */
    @Test
    void aScanOfMorePagesThanTheRateAllowsAtOnceIsCompleted() {
        CompletableFuture<ScanResult> scan = store.scan("k/", this::collect);
        time.runFor(5_000_000);
        assertThat(scan).isCompletedWithValueMatching(done -> done.outcome() == StoreOutcome.OK);
        assertThat(read).hasSize(ENTRIES).doesNotHaveDuplicates().isSorted();
    }

    /** Guards failovers: after an exception on an entry the scan never completed, and the new leader waited for it. */
    @Test
    void aConsumerThatFailsEndsTheScan() {
        CompletableFuture<ScanResult> scan = store.scan("k/", page -> {
            throw new IllegalArgumentException("not understood");
        });
        time.runFor(1_000_000);
        assertThat(scan).isCompletedWithValueMatching(done -> done.outcome() == StoreOutcome.REFUSED);
    }

    @Test
    void aLostOrRefusedPageIsRequestedAgain() {
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
        assertThat(scan).isCompletedWithValueMatching(done -> done.outcome() == StoreOutcome.OK);
        assertThat(read).hasSize(ENTRIES).doesNotHaveDuplicates();
    }

    /** Guards starts in an outage: users are admitted once it is known that the leader cannot be known. */
    @Test
    void aRefusedListIsReportedAtOnce() {
        stateService.setOutage(true);
        CompletableFuture<ListResult> refused = store.list("k/");
        time.runFor(200_000);
        assertThat(refused).isCompletedWithValueMatching(listing -> listing.outcome() == StoreOutcome.REFUSED);
    }

    @Test
    void aListWithoutAResponseAfterAnOutageIsReported() {
        stateService.setOutage(true);
        store.list("k/");
        time.runFor(200_000);
        stateService.setOutage(false);
        network.addRule((from, to, request) -> Action.DROP);
        CompletableFuture<ListResult> unanswered = store.list("k/");
        time.runFor(1_600_000);
        assertThat(unanswered).isCompletedWithValueMatching(listing -> listing.outcome() == StoreOutcome.UNKNOWN);
    }

    /** Guards followers of changes, which would request the same response that is too large without end. */
    @Test
    void aWatchWhoseResponseIsTooLargeCannotContinue() {
        StateStore small = new StateStore(
                (to, request, timeout) -> CompletableFuture.completedFuture(HttpResponse.responseTooLarge()),
                network.clientOf("node", process),
                process,
                "state:1",
                new RateLimiter(process, 4, 4),
                new RateLimiter(process, 4, 4));
        assertThat(small.watch("k/", 0, 1_000).join().outcome()).isEqualTo(StoreOutcome.COMPACTED);
    }

    @Test
    void aScanEndsInAnOutage() {
        stateService.setOutage(true);
        CompletableFuture<ScanResult> refused = store.scan("k/", this::collect);
        time.runFor(5_000_000);
        assertThat(refused).isCompletedWithValueMatching(done -> done.outcome() == StoreOutcome.REFUSED);
    }

    @Test
    void aScanAfterAnOutageEndsWhenTheConsumerWantsNoMorePages() {
        stateService.setOutage(true);
        store.scan("k/", this::collect);
        time.runFor(5_000_000);
        stateService.setOutage(false);
        int[] pages = new int[1];
        CompletableFuture<ScanResult> ended =
                store.scan("k/", page -> CompletableFuture.completedFuture(++pages[0] < 2));
        time.runFor(5_000_000);
        assertThat(ended).isCompletedWithValueMatching(done -> done.outcome() == StoreOutcome.REFUSED);
        assertThat(pages[0]).isEqualTo(2);
    }
}
