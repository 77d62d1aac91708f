package io.sillreel.cluster;

import static org.assertj.core.api.Assertions.assertThat;

import io.sillreel.pipeline.JobSpecs;
import io.sillreel.pipeline.PriorityClass;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PlacementConstraintsTest {
    /** Guards against tasks that a machine refuses, which were launched on it again and again, and not elsewhere. */
    @ParameterizedTest
    @CsvSource({
        "4, 1.3333334, 2",
        "4, 1.3333333333333333, 3",
        "4, 0.1, 40",
        "3.9999999999999996, 1, 4",
        "4.4e-16, 5e-17, 0",
        "0, 4.9e-324, 0",
        "-1e-9, 5e-17, 0",
        "4, 4.9e-324, 2147483647",
        "0, 0, 2147483647",
        "-1.7e308, 1, 0"
    })
    void countsTasksThatFitExceptForRoundingErrors(double freeCpus, double cpusPerTask, int expected) {
        var spec = JobSpecs.spec("job-000001", PriorityClass.NORMAL, 1, JobSpecs.task(cpusPerTask, 1));
        assertThat(PlacementConstraints.fittingTasks(spec, freeCpus, Integer.MAX_VALUE * 2.0, 0))
                .isEqualTo(expected);
    }
}
