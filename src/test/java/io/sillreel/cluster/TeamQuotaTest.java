package io.sillreel.cluster;

import static org.assertj.core.api.Assertions.assertThat;

import io.sillreel.pipeline.JobSpec;
import io.sillreel.pipeline.JobSpecs;
import io.sillreel.pipeline.PriorityClass;
import io.sillreel.settings.Settings.Team;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class TeamQuotaTest {
    private static JobSpec spec(double cpus) {
        return JobSpecs.spec("job-000001", PriorityClass.NORMAL, 100_000, JobSpecs.task(cpus, 1));
    }

    /** Guards against a division by an amount that is rounded to zero, and against quotas exceeded by rounding. */
    @ParameterizedTest
    @CsvSource({
        "72, 0, 2147483647",
        "72, 4.9e-324, 72000",
        "72, 5.551115123125783e-17, 72000",
        "72, 1e-9, 72000",
        "72, 0.0014, 36000",
        "72, 1.0, 72",
        "72, 71.9999, 1",
        "72, 72.0001, 0",
        "0.0015, 0.0015, 1",
        "1.0009, 1.0009, 1",
        "1.0009, 0.5005, 1",
        "1e12, 1e-9, 2147483647",
        "0, 1e12, 2147483647"
    })
    void countsTasksWithinQuota(double quota, double cpusPerTask, int expected) {
        Team team = new Team("team", 0, quota, 0, 0);
        assertThat(TeamQuota.remainingTasks(team, new QuotaUsage().ofTeam("team"), spec(cpusPerTask)))
                .isEqualTo(expected);
    }

    @ParameterizedTest
    @CsvSource({"72, 1.0, 0", "72, 1e-12, 0", "80, 1.0, 8", "72.0009, 0.0005, 0"})
    void allowsNothingBeyondUsedQuota(double quota, double cpusPerTask, int expected) {
        QuotaUsage usage = new QuotaUsage();
        usage.add(spec(1), 72);
        Team team = new Team("team", 0, quota, 0, 0);
        assertThat(TeamQuota.remainingTasks(team, usage.ofTeam("team"), spec(cpusPerTask)))
                .isEqualTo(expected);
    }
}
