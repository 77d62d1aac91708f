package io.sillreel;

import static io.sillreel.FailureScenario.assertNoViolations;
import static io.sillreel.FailureScenario.failOver;
import static io.sillreel.FailureScenario.startCluster;
import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sillreel.http.HttpRequest;
import io.sillreel.http.Json;
import io.sillreel.sim.SimCluster;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** One bad message or stored value must not stop the work for all others, whoever wrote it. */
class ErrorConfinementTest {
    private final SimCluster cluster = startCluster(7);

    @BeforeEach
    void tolerateErrors() {
        cluster.time().tolerateUnexpectedErrors();
    }

    private void store(String key, ObjectNode value) {
        ObjectNode change = Json.object().put("set", key);
        change.set("v", value);
        ObjectNode transaction = Json.object();
        transaction.putArray("if");
        transaction.putArray("then").add(change);
        cluster.store().handle(HttpRequest.post("/txn", transaction)).join();
    }

    private void assertJobsRunAndCanBeCancelled(int firstNumber) {
        String uid = "job-%06d".formatted(firstNumber);
        String cancelledUid = "job-%06d".formatted(firstNumber + 1);
        int node = cluster.leader();
        assertThat(cluster.submit(node, SimCluster.job(uid, 2)).status()).isEqualTo(201);
        cluster.runSeconds(100);
        assertThat(cluster.stage(node, uid)).isEqualTo("done");
        cluster.submit(node, SimCluster.job(cancelledUid, 1));
        cluster.runSeconds(1);
        assertThat(cluster.cancel(node, cancelledUid).status()).isEqualTo(200);
        cluster.runSeconds(60);
        assertNoViolations(cluster);
    }

    /** Guards against a leader that holds the lease and never serves, because one stored plan can't be restored. */
    @Test
    void aNewLeaderServesAllOtherJobsAlthoughAStoredPlanIsInvalid() {
        ObjectNode plan = Json.object();
        plan.putObject("job").put("uid", "nonsense").put("pieces", 3);
        store("plan/nonsense", plan);
        assertJobsRunAndCanBeCancelled(1);
        failOver(cluster);
        assertJobsRunAndCanBeCancelled(11);
    }

    /** Guards against a leader that can't restore its state, because one run record can't be decoded. */
    @Test
    void aNewLeaderServesAllOtherJobsAlthoughARunRecordIsInvalid() {
        cluster.submit(0, SimCluster.job("job-000050", 3));
        cluster.runSeconds(5);
        store(
                "run/job-000050",
                Json.object().put("stage", "running").put("pieces", 3).put("bits", "!!!"));
        failOver(cluster);
        assertJobsRunAndCanBeCancelled(1);
    }

    /** Guards against the end of the watch of cancellations, and against a leader that can't read them. */
    @Test
    void cancellationsAreFollowedAlthoughOneNamesNoJob() {
        store("withdraw/nonsense", Json.object());
        cluster.runSeconds(5);
        int term = cluster.term();
        assertJobsRunAndCanBeCancelled(1);
        assertThat(cluster.term()).isEqualTo(term);
        failOver(cluster);
        assertJobsRunAndCanBeCancelled(11);
    }
}
