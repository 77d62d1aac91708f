package io.sillreel.placement;

import static org.assertj.core.api.Assertions.assertThat;

import io.sillreel.pipeline.ActiveJob;
import io.sillreel.pipeline.JobSpec;
import io.sillreel.pipeline.JobSpecs;
import io.sillreel.pipeline.NoOpJobListener;
import io.sillreel.pipeline.PriorityClass;
import io.sillreel.settings.ValueLimits;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RuntimeEstimatorTest {
    private static final long SECOND = 1_000_000;

    private static JobSpec spec(String uid, long estimatedSeconds) {
        return JobSpecs.spec(uid, PriorityClass.NORMAL, 50, JobSpecs.task(1, estimatedSeconds));
    }

    /** Guards the jobs of a class against one of them with a mistaken estimate: it changed what is expected of all. */
    @ParameterizedTest
    @ValueSource(longs = {0, 1, 1_000_000_000_000L})
    void mistakenEstimateDoesNotAffectOtherJobsOfItsClass(long mistakenSeconds) {
        RuntimeEstimator estimator = new RuntimeEstimator();
        ActiveJob mistaken = new ActiveJob(
                spec("job-000001", mistakenSeconds), 1, 0, ValueLimits.fixed(8_192), new NoOpJobListener());
        for (int task = 0; task < 50; task++) {
            estimator.recordRuntime(mistaken, 30 * SECOND);
        }
        assertThat(estimator.expectedRuntimeMicros(spec("job-000002", 30))).isEqualTo(30 * SECOND);
    }
}
