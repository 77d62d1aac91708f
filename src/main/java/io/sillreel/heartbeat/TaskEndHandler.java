package io.sillreel.heartbeat;

import io.sillreel.cluster.Allocation;
import io.sillreel.cluster.Cluster;
import io.sillreel.cluster.Machine;
import io.sillreel.http.EventLoop;
import io.sillreel.pipeline.ActiveJob;
import io.sillreel.pipeline.RetrySchedule;
import io.sillreel.placement.RuntimeEstimator;
import io.sillreel.statestore.WriteQueue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handles the ends of tasks: queues completions and failed attempts of jobs for storage, updates the runtime estimates,
 * and drains machines that are found faulty. Guarded by the cluster lock.
 */
public final class TaskEndHandler {
    private static final Logger LOG = LoggerFactory.getLogger(TaskEndHandler.class);

    private final EventLoop eventLoop;
    private final Cluster cluster;
    private final WriteQueue writeQueue;
    private final RetrySchedule retries;
    private final RuntimeEstimator runtimeEstimator;

    /**
     * @param writeQueue receives the jobs whose records have changed
     * @param retries the delays before a failed job is retried
     */
    public TaskEndHandler(
            EventLoop eventLoop,
            Cluster cluster,
            WriteQueue writeQueue,
            RetrySchedule retries,
            RuntimeEstimator runtimeEstimator) {
        this.eventLoop = eventLoop;
        this.cluster = cluster;
        this.writeQueue = writeQueue;
        this.retries = retries;
        this.runtimeEstimator = runtimeEstimator;
    }

    /** Handles the end of a task whose job is known, and releases its allocation. */
    void handleEnd(Machine machine, Allocation allocation, String cause, long nowMicros) {
        ActiveJob job = allocation.job();
        allocation.release();
        switch (cause) {
            case "done" -> handleCompletion(machine, job, allocation, nowMicros);
            case "error" -> handleFailure(machine, job, allocation);
            case "no_room", "busy", "no_such" ->
                LOG.info(
                        "machine {} rejected task {}/{}: {}",
                        machine.name(),
                        allocation.uid(),
                        allocation.taskIndex(),
                        cause);
            default ->
                LOG.debug(
                        "task {}/{} ended on machine {}: {}",
                        allocation.uid(),
                        allocation.taskIndex(),
                        machine.name(),
                        cause);
        }
    }

    private void handleCompletion(Machine machine, ActiveJob job, Allocation allocation, long nowMicros) {
        if (allocation.runningSinceMicros() >= 0) {
            long runtimeMicros = nowMicros - allocation.runningSinceMicros();
            machine.health()
                    .recordRuntimeRatio(
                            (double) runtimeMicros / runtimeEstimator.expectedRuntimeMicros(job.spec()), job.uid());
            runtimeEstimator.recordRuntime(job, runtimeMicros);
        }
        machine.health().clearSuspicion(job.uid());
        drainMachinesThatFailed(job);
        if (job.markTaskDone(allocation.taskIndex()) && !job.isCancelled()) {
            writeQueue.enqueue(job.recordWrite());
        }
    }

    /** Drains the machines on which the job failed before: since it succeeded elsewhere, they were at fault. */
    private void drainMachinesThatFailed(ActiveJob job) {
        for (String name : job.failedMachines()) {
            Machine suspect = cluster.machine(name);
            if (suspect != null && suspect.health().suspicions().contains(job.uid())) {
                LOG.info("machine {} is considered faulty: job {} succeeded on another machine", name, job.uid());
                suspect.drain();
            }
        }
    }

    private void handleFailure(Machine machine, ActiveJob job, Allocation allocation) {
        if (job.isCancelled() || machine.state() == Machine.State.DRAINING) {
            return;
        }
        switch (FaultAttribution.attribute(job, machine)) {
            case MACHINE -> {
                LOG.info(
                        "machine {} is considered faulty: task {}/{} failed on it",
                        machine.name(),
                        allocation.uid(),
                        allocation.taskIndex());
                machine.drain();
                job.failedMachines().remove(machine.name());
            }
            case JOB -> recordFailedAttempt(job);
            default ->
                LOG.info(
                        "task {}/{} failed on machine {}, retrying it on another machine",
                        allocation.uid(),
                        allocation.taskIndex(),
                        machine.name());
        }
    }

    private void recordFailedAttempt(ActiveJob job) {
        for (Machine suspect : cluster.machines()) {
            suspect.health().clearSuspicion(job.uid());
        }
        job.recordFailedAttempt(
                retries, eventLoop.wallMicros(), "its tasks failed on " + String.join(" and ", job.failedMachines()));
        job.failedMachines().clear();
        LOG.info("job {}: {}", job.uid(), job.reason());
        writeQueue.enqueue(job.recordWrite());
    }
}
