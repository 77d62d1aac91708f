package io.sillreel.admission;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sillreel.pipeline.PlanRecord;
import io.sillreel.pipeline.PlanRecordCodec;
import io.sillreel.sim.SimCluster;
import io.sillreel.sim.SimNetwork;
import io.sillreel.sim.SimStateService;
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
        network.listen("state:1", new SimStateService(time, 100, 8192, 10_000));
        store = network.newStateStoreClient(process, 1_000, 10_000);
        for (int step = 0; step < CHAIN; step++) {
            addJob(step > 0);
        }
    }

    /** Stores the plan of one more job, which depends on the one before or on none. */
    private void addJob(boolean dependsOnPrevious) throws MalformedSubmissionException {
        ObjectNode job = SimCluster.job("job-%06d".formatted(++jobs), 1);
        if (dependsOnPrevious) {
            job.putArray("awaits").add("job-%06d".formatted(jobs - 1));
        }
        PlanRecord plan = new PlanRecord(1, SubmissionDecoder.decode(job));
        store.commit(new Transaction().set(PlanRecord.key(plan.spec().uid()), PlanRecordCodec.encode(plan)));
        time.runFor(10_000);
    }

    private CompletableFuture<Optional<JobStatus>> queryEndOfChain() {
        CompletableFuture<Optional<JobStatus>> answer =
                new JobStatusService(store, process, 20, REMEMBERED).query("job-%06d".formatted(CHAIN));
        time.runFor(2_000_000);
        return answer;
    }

    /** Guards memory: a long chain is found in a scan of all plans, of which only a bounded number is held. */
    @Test
    void aScanThatFindsMoreDependentPlansThanMayBeHeldFailsInTime() throws MalformedSubmissionException {
        assertThat(queryEndOfChain())
                .isCompletedWithValueMatching(answer -> answer.orElseThrow().isAccepted());
        for (int other = 0; other <= MAX_CHAIN_PLANS; other++) {
            addJob(true);
        }
        assertThat(queryEndOfChain()).isCompletedWithValue(Optional.empty());
    }
}
