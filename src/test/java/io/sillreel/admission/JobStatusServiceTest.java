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
    private static final int MAX_CACHED_STATUSES = 10;
    private static final int CHAIN_LENGTH = 8;
    private static final int MAX_DEPENDENT_PLANS = 4 * MAX_CACHED_STATUSES;

    private final SimTime time = new SimTime();
    private final SimNetwork network = new SimNetwork(time, 1);
    private final SimTime.Process process = time.new Process();
    private final StateStore store;
    private int jobCount;

    JobStatusServiceTest() throws MalformedSubmissionException {
        network.listen("state:1", new SimStateService(time, 100, 8192, 10_000));
        store = network.newStateStoreClient(process, 1_000, 10_000);
        for (int index = 0; index < CHAIN_LENGTH; index++) {
            addJob(index > 0);
        }
    }

    /** Stores the plan of another job, which depends on the previous job or on none. */
    private void addJob(boolean dependsOnPrevious) throws MalformedSubmissionException {
        ObjectNode job = SimCluster.job("job-%06d".formatted(++jobCount), 1);
        if (dependsOnPrevious) {
            job.putArray("awaits").add("job-%06d".formatted(jobCount - 1));
        }
        PlanRecord plan = new PlanRecord(1, SubmissionDecoder.decode(job));
        store.commit(new Transaction().set(PlanRecord.key(plan.spec().uid()), PlanRecordCodec.encode(plan)));
        time.runFor(10_000);
    }

    private CompletableFuture<Optional<JobStatus>> queryLastJobOfChain() {
        CompletableFuture<Optional<JobStatus>> answer =
                new JobStatusService(store, process, 20, MAX_CACHED_STATUSES).query("job-%06d".formatted(CHAIN_LENGTH));
        time.runFor(2_000_000);
        return answer;
    }

    /** A long dependency chain is read by a scan of all plans, which must hold only a bounded number in memory. */
    @Test
    void failsInTimeWhenAScanExceedsTheDependentPlanLimit() throws MalformedSubmissionException {
        assertThat(queryLastJobOfChain())
                .isCompletedWithValueMatching(answer -> answer.orElseThrow().isAdmitted());
        for (int index = 0; index <= MAX_DEPENDENT_PLANS; index++) {
            addJob(true);
        }
        assertThat(queryLastJobOfChain()).isCompletedWithValue(Optional.empty());
    }
}
