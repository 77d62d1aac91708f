package io.sillreel.golden;

import static io.sillreel.golden.GoldenSamples.json;
import static io.sillreel.golden.GoldenSamples.values;

import io.sillreel.golden.GoldenSamples.Transcript;
import io.sillreel.ownership.Leadership;
import io.sillreel.sim.SimState;
import io.sillreel.sim.SimTime;
import io.sillreel.statestore.Pacer;
import io.sillreel.statestore.StateStore;
import io.sillreel.statestore.StateStore.Txn;
import org.junit.jupiter.api.Test;

/** The leader key, the term key and the requests of an election. */
class LeadershipSamplesTest {
    private final SimTime time = new SimTime();
    private final SimState state = new SimState(time, 20, 8_192, 1_000);
    private final Transcript transcript = new Transcript(state::handle);
    private final SimTime.Process process = time.new Process();
    private final StateStore store = new StateStore(
            transcript, transcript, process, "state:1", new Pacer(process, 1e6, 1e6), new Pacer(process, 1e6, 1e6));

    private Leadership candidate(long termFloor) {
        Leadership.Listener listener = new Leadership.Listener() {
            @Override
            public void took(long term, long leaderStamp) {
                transcript.note("took " + term + " " + leaderStamp);
            }

            @Override
            public void lost(String reason) {
                transcript.note("lost " + reason);
            }
        };
        return new Leadership(store, process, "hopper-1", 3_000_000, listener, () -> termFloor);
    }

    @Test
    void takesRenewsAndGivesUpTheLeaseAboveTheStoredTerm() {
        store.commit(new Txn().set("term", json("{\"term\":4294967296}")));
        Leadership leadership = candidate(7);
        leadership.start(() -> transcript.note("settled"));
        time.runFor(1_500_000);
        transcript.note(values(state.value("leader")) + " " + values(state.value("term")));
        leadership.resign("the end");
        time.runFor(100_000);
        GoldenSamples.assertMatches("leadership.txt", transcript.toString());
    }

    @Test
    void readsWhoLeads() {
        store.commit(new Txn().set("leader", json("{\"node\":\"hopper-\\\"2\\\"\",\"term\":4294967297}")));
        Leadership leadership = candidate(0);
        leadership.start(() -> transcript.note("settled"));
        transcript.note(values(leadership.known()));
        store.commit(new Txn().set("leader", json("{\"node\":\"hopper-3\",\"term\":4294967298,\"more\":null}")));
        transcript.note(values(leadership.known()));
        GoldenSamples.assertMatches("leadership-followed.txt", transcript.toString());
    }
}
