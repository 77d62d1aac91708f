package io.sillreel.admission;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sillreel.pipeline.PlanRecord;
import io.sillreel.pipeline.PlanRecordCodec;
import io.sillreel.sim.SimCluster;
import io.sillreel.sim.SimNetwork;
import io.sillreel.sim.SimStateStore;
import io.sillreel.sim.SimTime;
import io.sillreel.statestore.StateStore;
import io.sillreel.statestore.Transaction;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class JobStatusServiceTest {
    private static final int REMEMBERED = 10;
    private static final int CHAIN = 8;
    private static final int MAX_CHAIN_PLANS = 4 * REMEMBERED;

    private final SimTime time = new SimTime();
    private final SimNetwork network = new SimNetwork(time, 1);
    private final SimTime.Process process = time.new Process();
    private final StateStore store;
    private int jobs;

    JobStatusServiceTest() throws MalformedSubmissionException {
        network.listen("state:1", new SimStateStore(time, 100, 8192, 10_000));
        store = network.stateStore(process, 1_000, 10_000);
        for (int step = 0; step < CHAIN; step++) {
            addJob(step > 0);
        }
    }

    /** Stores the plan of one more job, which awaits the one before or nothing. */
    private void addJob(boolean awaits) throws MalformedSubmissionException {
        ObjectNode job = SimCluster.job("job-%06d".formatted(++jobs), 1);
        if (awaits) {
            job.putArray("awaits").add("job-%06d".formatted(jobs - 1));
        }
        PlanRecord plan = new PlanRecord(1, SubmissionDecoder.decode(job));
        store.commit(new Transaction().set(PlanRecord.key(plan.spec().uid()), PlanRecordCodec.encode(plan)));
        time.runFor(10_000);
    }

    private CompletableFuture<Optional<JobStatus>> askForTheEndOfTheChain() {
        CompletableFuture<Optional<JobStatus>> answer =
                new JobStatusService(store, process, 20, REMEMBERED).query("job-%06d".formatted(CHAIN));
        time.runFor(2_000_000);
        return answer;
    }

    /** Guards memory: plans are read all at once for a long chain, and no more of them are held than there is room. */
    @Test
    void moreChainsThanCanBeHeldAreRefusedInTime() throws MalformedSubmissionException {
        assertThat(askForTheEndOfTheChain())
                .isCompletedWithValueMatching(answer -> answer.orElseThrow().isAccepted());
        for (int other = 0; other <= MAX_CHAIN_PLANS; other++) {
            addJob(true);
        }
        assertThat(askForTheEndOfTheChain()).isCompletedWithValue(Optional.empty());
    }
}
