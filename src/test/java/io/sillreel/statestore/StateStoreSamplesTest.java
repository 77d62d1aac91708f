package io.sillreel.statestore;

import static io.sillreel.golden.GoldenSamples.json;
import static io.sillreel.golden.GoldenSamples.response;
import static io.sillreel.golden.GoldenSamples.values;

import io.sillreel.golden.GoldenSamples;
import io.sillreel.golden.GoldenSamples.Transcript;
import io.sillreel.overload.RateLimiter;
import io.sillreel.sim.SimTime;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** The requests to the state service and the decoding of its responses. */
class StateStoreSamplesTest {
    private static final long LEASE = 9_007_199_254_740_993L;

    private final SimTime.Process process = new SimTime().new Process();

    private StateStore store(Transcript transcript) {
        return new StateStore(transcript, transcript, process, "state:1", unlimited(), unlimited());
    }

    private RateLimiter unlimited() {
        return new RateLimiter(process, 1e6, 1e6);
    }

    @Test
    void readsEachResponseToEachRequest() throws Exception {
        GoldenSamples.assertConverts("store-answers.txt", input -> {
            Transcript transcript = new Transcript(request -> CompletableFuture.completedFuture(response(input)));
            StateStore store = store(transcript);
            ReadResult read = store.get("run/job-1").join();
            transcript.note(values(
                    Arrays.asList(read.outcome(), read.entry().orElse(null), read.revision(), read.isConclusive())));
            transcript.note(values(store.list("run/").join()));
            transcript.note(
                    values(store.commit(new Transaction().remove("run/job-1")).join()));
            transcript.note(values(store.grantLease(3_000_000).join()));
            transcript.note(values(store.renewLease(LEASE).join()));
            transcript.note(values(store.revokeLease(LEASE).join()));
            WatchResult watch = store.watch("run/", 4_294_967_297L, 2_000_000).join();
            transcript.note(values(List.of(watch.outcome(), watch.storeRevision(), watch.events())));
            return transcript.toString().strip();
        });
    }

    @Test
    void requestsTheNextPageAfterTheLastKey() {
        Deque<String> pages = new ArrayDeque<>(List.of(
                "200 {\"entries\":[{\"k\":\"run/job-1\",\"v\":{},\"stamp\":1},"
                        + "{\"k\":\"run/job-2\",\"v\":{},\"stamp\":2}],"
                        + "\"ledger\":10,\"truncated\":true}",
                "200 {\"entries\":[{\"k\":\"run/job-3\",\"v\":{},\"stamp\":12}],\"ledger\":13,\"truncated\":false}"));
        Transcript transcript = new Transcript(request -> CompletableFuture.completedFuture(response(pages.remove())));
        transcript.note(values(store(transcript).list("run/").join()));
        GoldenSamples.assertMatches("store-pages.txt", transcript.toString());
    }

    @Test
    void writesTransactionsWithConditionsValuesLeasesAndRemovals() {
        Transcript transcript = new Transcript(request -> CompletableFuture.completedFuture(response("200 {}")));
        StateStore store = store(transcript);
        store.commit(new Transaction()
                .requireRevision("leader", 4_294_967_297L)
                .requireRevision("run/job-1", 0)
                .set("run/job-1", json("{\"stage\":\"é\"}"))
                .set("leader", json("{\"node\":\"hopper-1\"}"), LEASE)
                .remove("plan/job-2"));
        store.commit(new Transaction().requireRevision("leader", 7));
        store.commit(new Transaction());
        GoldenSamples.assertMatches("store-transactions.txt", transcript.toString());
    }
}
