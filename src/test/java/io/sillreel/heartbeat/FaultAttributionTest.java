package io.sillreel.heartbeat;

import static org.assertj.core.api.Assertions.assertThat;

import io.sillreel.cluster.Cluster;
import io.sillreel.cluster.Machine;
import io.sillreel.cluster.TestMachines;
import io.sillreel.heartbeat.FaultAttribution.Fault;
import io.sillreel.pipeline.ActiveJob;
import io.sillreel.pipeline.JobSpecs;
import io.sillreel.pipeline.NoOpJobListener;
import io.sillreel.pipeline.PriorityClass;
import io.sillreel.pipeline.RetrySchedule;
import io.sillreel.settings.ValueLimits;
import java.util.Map;
import org.junit.jupiter.api.Test;

class FaultAttributionTest {
    private static final long SECOND = 1_000_000;
    private static final RetrySchedule RETRIES = new RetrySchedule(2 * SECOND, 30 * SECOND, 60 * SECOND);

    private final Cluster cluster = new Cluster(Map.of());
    private final Machine one = machine("host-000001");
    private final Machine two = machine("host-000002");
    private long nowMicros = 100 * SECOND;

    private Machine machine(String name) {
        return TestMachines.addUpMachine(cluster, name, "a", true, 0);
    }

    private ActiveJob job(int number) {
        var spec = JobSpecs.spec("job-%06d".formatted(number), PriorityClass.NORMAL, 4, JobSpecs.task(1, 10));
        ActiveJob job = new ActiveJob(spec, number, 0, ValueLimits.fixed(8_192), new NoOpJobListener());
        cluster.add(job);
        return job;
    }

    private Fault fail(ActiveJob job, Machine machine, double ranSeconds) {
        long startedMicros = nowMicros - Math.round(ranSeconds * SECOND);
        return FaultAttribution.attribute(job, machine, startedMicros, nowMicros, nowMicros);
    }

    private void endQuarantine(Machine machine) {
        nowMicros += 20 * SECOND;
        new SuspicionReview(cluster).review(nowMicros);
        assertThat(machine.health().isQuarantined()).isFalse();
    }

    @Test
    void twoMachinesShowThatTheJobIsAtFault() {
        ActiveJob job = job(1);
        assertThat(fail(job, one, 3)).isEqualTo(Fault.UNKNOWN);
        assertThat(one.health().isQuarantined()).isTrue();
        assertThat(job.failures().excludes(one.name())).isTrue();
        assertThat(fail(job, two, 3)).isEqualTo(Fault.JOB);
    }

    @Test
    void secondFailureOnTheSameMachineIsTheJobsOnceQuarantineHasEnded() {
        ActiveJob job = job(1);
        fail(job, one, 3);
        assertThat(fail(job, one, 3)).as("a task of the same attempt").isEqualTo(Fault.UNKNOWN);
        endQuarantine(one);
        assertThat(job.failures().excludes(one.name())).isFalse();
        assertThat(fail(job, one, 3)).isEqualTo(Fault.JOB);
    }

    @Test
    void furtherJobShowsThatTheMachineIsFaultyOnceQuarantineHasEnded() {
        ActiveJob first = job(1);
        ActiveJob second = job(2);
        fail(first, one, 3);
        assertThat(fail(second, one, 3)).as("both may be faulty").isEqualTo(Fault.UNKNOWN);
        assertThat(second.failures().areUnexplained()).isFalse();
        endQuarantine(one);
        assertThat(fail(job(3), one, 3)).isEqualTo(Fault.MACHINE);
    }

    @Test
    void laterTaskThatWasDoneProvesTheMachineSound() {
        ActiveJob job = job(1);
        one.health().recordDone(nowMicros - 2 * SECOND);
        assertThat(fail(job, one, 1)).as("started after the task that was done").isEqualTo(Fault.UNKNOWN);
        one.health().recordDone(nowMicros);
        assertThat(one.health().isSuspect()).isFalse();
        assertThat(fail(job(2), one, 3))
                .as("started before the task that was done")
                .isEqualTo(Fault.JOB);
    }

    /** Guards sound machines against a task that fails everywhere, while the other tasks of its job were done. */
    @Test
    void jobWithDoneTasksCostsNoMoreThanOneMachine() {
        ActiveJob job = job(1);
        job.markTaskDone(0);
        assertThat(fail(job, one, 3)).isEqualTo(Fault.MACHINE);
        assertThat(fail(job, two, 3)).isEqualTo(Fault.UNKNOWN);
        assertThat(fail(job, machine("host-000003"), 3)).isEqualTo(Fault.JOB);
        job.markTaskDone(1);
        assertThat(fail(job, machine("host-000004"), 3))
                .as("a further task was done")
                .isEqualTo(Fault.MACHINE);
    }

    /** Guards a job that is known to fail against an exclusion from a machine that nothing would end. */
    @Test
    void failureOfJobKnownToFailIsItsOwnOnEveryMachine() {
        ActiveJob job = job(1);
        job.recordFailedAttempt(RETRIES, nowMicros, "it failed");
        assertThat(fail(job, one, 3))
                .as("a task of the attempt that has failed")
                .isEqualTo(Fault.COUNTED);
        nowMicros += 2 * SECOND;
        assertThat(fail(job, two, 3)).isEqualTo(Fault.JOB);
        assertThat(two.health().isSuspect()).isFalse();
    }
}
