package io.sillreel.golden;

import static io.sillreel.golden.GoldenSamples.json;
import static io.sillreel.golden.GoldenSamples.values;

import io.sillreel.golden.GoldenSamples.Transcript;
import io.sillreel.leadership.LeaderElection;
import io.sillreel.leadership.TermGrant;
import io.sillreel.overload.RateLimiter;
import io.sillreel.sim.SimStateService;
import io.sillreel.sim.SimTime;
import io.sillreel.statestore.StateStore;
import io.sillreel.statestore.Transaction;
import org.junit.jupiter.api.Test;

/** The leader key, the term key and the requests of an election. */
class LeadershipSamplesTest {
    private final SimTime time = new SimTime();
    private final SimStateService stateService = new SimStateService(time, 20, 8_192, 1_000);
    private final Transcript transcript = new Transcript(stateService::handle);
    private final SimTime.Process process = time.new Process();
    private final StateStore store = new StateStore(
            transcript,
            transcript,
            process,
            "state:1",
            new RateLimiter(process, 1e6, 1e6),
            new RateLimiter(process, 1e6, 1e6));

    private LeaderElection startCandidate(long termFloor) {
        LeaderElection election = new LeaderElection(store, process, "hopper-1", 3_000_000, () -> termFloor);
        LeaderElection.Listener listener = new LeaderElection.Listener() {
            @Override
            public void leadershipAcquired(TermGrant grant) {
                transcript.note("took " + grant.term() + " " + grant.leaderRevision());
            }

            @Override
            public void leadershipLost(String reason) {
                transcript.note("lost " + reason);
            }
        };
        election.start(listener, () -> transcript.note("settled"));
        return election;
    }

    @Test
    void takesRenewsAndGivesUpTheLeaseAboveTheStoredTerm() {
        store.commit(new Transaction().set("term", json("{\"term\":4294967296}")));
        LeaderElection election = startCandidate(7);
        time.runFor(1_500_000);
        transcript.note(values(stateService.value("leader")) + " " + values(stateService.value("term")));
        election.resign("the end");
        time.runFor(100_000);
        GoldenSamples.assertMatches("leadership.txt", transcript.toString());
    }

    @Test
    void readsWhoLeads() {
        store.commit(new Transaction().set("leader", json("{\"node\":\"hopper-\\\"2\\\"\",\"term\":4294967297}")));
        LeaderElection election = startCandidate(0);
        transcript.note(values(election.knownLeader()));
        store.commit(
                new Transaction().set("leader", json("{\"node\":\"hopper-3\",\"term\":4294967298,\"more\":null}")));
        transcript.note(values(election.knownLeader()));
        GoldenSamples.assertMatches("leadership-followed.txt", transcript.toString());
    }
}
