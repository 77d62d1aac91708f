package io.sillreel;

import static io.sillreel.FailureScenario.assertNoViolations;
import static io.sillreel.FailureScenario.failOver;
import static org.assertj.core.api.Assertions.assertThat;

import io.sillreel.load.StoredJobs;
import io.sillreel.sim.SimCluster;
import io.sillreel.sim.SimNetwork.Action;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Answers of the state service that reach a new leader after it has stored newer values. */
class LateAnswersTest {
    private static final int EARLIER_JOBS = 3_000;
    private static final int JOBS = 60;
    private static final int DONE_ELSEWHERE = 30;
    /** Enough for machines to be up when the leader ends. */
    private static final int WARM_UP_TASKS = 24;

    private final SimCluster cluster = new SimCluster(9);
    private final List<String> uids = new ArrayList<>();

    /**
     * Guards against running done jobs again: a plan that the scan had read came again from the watch, whose answer was
     * late, after its job had ended.
     */
    @Test
    void doneJobsStayDoneWhenTheWatchReportsTheirPlansLate() {
        cluster.store().setLimits(20, 8 * 1024, Double.MAX_VALUE);
        new StoredJobs(cluster.store()).addDone(EARLIER_JOBS);
        cluster.store().setLimits(20, 8 * 1024, 100);
        cluster.runSeconds(20);
        cluster.submit(0, SimCluster.job("job-000001", WARM_UP_TASKS));
        cluster.runUntil(() -> cluster.startCount() >= WARM_UP_TASKS);
        cluster.runSeconds(8);
        assertThat(cluster.stage(0, "job-000001")).isEqualTo("done");
        boolean[] isLost = {false};
        cluster.network().addRule((from, to, request) -> {
            if (request.path().startsWith("/kv?prefix=plan/")) {
                return Action.DELAY_RESPONSE;
            }
            if (request.path().startsWith("/watch?prefix=plan/") && !isLost[0]) {
                isLost[0] = true;
                return Action.DROP_RESPONSE;
            }
            return null;
        });
        failOver(cluster);
        int starts = cluster.startCount();
        submitWhileTheStateIsRead();
        cluster.runSeconds(30);
        assertThat(isLost[0]).isTrue();
        for (String uid : uids) {
            assertThat(cluster.stage(cluster.leader(), uid)).as(uid).isEqualTo("done");
        }
        assertThat(cluster.startCount() - starts).isEqualTo(JOBS);
        assertNoViolations(cluster);
    }

    private void submitWhileTheStateIsRead() {
        int node = cluster.leader();
        cluster.runSeconds(1);
        for (int i = 0; i < JOBS; i++) {
            String uid = "job-%06d".formatted(900_000 + i);
            uids.add(uid);
            cluster.submitAsync(node, SimCluster.job(uid, 1));
            cluster.runSeconds(0.06);
            uids.forEach(each -> cluster.pollAsync(node, each));
        }
    }

    /**
     * Guards against replacing a stored completion: a write that found another revision than expected took it over
     * without looking at the value.
     */
    @Test
    void aLeaderThatDoesNotKnowOfACompletionAdoptsIt() {
        cluster.runSeconds(5);
        cluster.store().setLimits(20, 8 * 1024, Double.MAX_VALUE);
        new StoredJobs(cluster.store()).addDone(DONE_ELSEWHERE);
        cluster.runSeconds(60);
        for (String key : cluster.store().keysWithPrefix("run/")) {
            assertThat(cluster.store().value(key).path("stage").asText())
                    .as(key)
                    .isEqualTo("done");
        }
        assertThat(cluster.store().keysWithPrefix("run/")).hasSize(DONE_ELSEWHERE);
        assertThat(cluster.startCount()).isZero();
    }
}
