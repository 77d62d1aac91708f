package io.sillreel.heartbeat;

import io.sillreel.cluster.Allocation;
import io.sillreel.cluster.Cluster;
import io.sillreel.cluster.Machine;
import io.sillreel.cluster.MachineHealth;
import io.sillreel.http.EventLoop;
import io.sillreel.pipeline.ActiveJob;
import io.sillreel.pipeline.RetrySchedule;
import io.sillreel.placement.RuntimeEstimator;
import io.sillreel.statestore.WriteQueue;
import java.util.Collection;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handles the ends of tasks: queues completions and failed attempts of jobs for storage, updates the runtime estimates,
 * and drains machines that are found faulty. Guarded by the cluster lock.
 */
public final class TaskEndHandler {
    private static final Logger LOG = LoggerFactory.getLogger(TaskEndHandler.class);

    /** Number of failed attempts of a job in this term after which the machine on which it failed last is replaced. */
    private static final int ATTEMPTS_BEFORE_REPLACEMENT = 4;

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

    /**
     * Handles the end of a task whose job is known, and releases its allocation. After an unexpected error the task is
     * launched again, and the other tasks in the heartbeat are handled as usual.
     */
    void handleEnd(Machine machine, Allocation allocation, String cause, long nowMicros) {
        allocation.release();
        String work = "the end of task " + allocation.uid() + "/" + allocation.taskIndex();
        eventLoop.unexpectedErrors().runConfined(work, () -> handleReleased(machine, allocation, cause, nowMicros));
    }

    private void handleReleased(Machine machine, Allocation allocation, String cause, long nowMicros) {
        ActiveJob job = allocation.job();
        switch (cause) {
            case "done" -> handleCompletion(machine, job, allocation, nowMicros);
            case "error" -> handleFailure(machine, job, allocation, nowMicros);
            case "no_room" -> {
                job.failures().addRefusal(machine.name());
                logRejection(machine, allocation, cause);
            }
            case "busy", "no_such" -> logRejection(machine, allocation, cause);
            default ->
                LOG.debug(
                        "task {}/{} ended on machine {}: {}",
                        allocation.uid(),
                        allocation.taskIndex(),
                        machine.name(),
                        cause);
        }
    }

    private static void logRejection(Machine machine, Allocation allocation, String cause) {
        LOG.info("machine {} rejected task {}/{}: {}", machine.name(), allocation.uid(), allocation.taskIndex(), cause);
    }

    private void handleCompletion(Machine machine, ActiveJob job, Allocation allocation, long nowMicros) {
        if (allocation.runningSinceMicros() >= 0) {
            long runtimeMicros = nowMicros - allocation.runningSinceMicros();
            if (RuntimeEstimator.hasEstimate(job.spec())) {
                double ratio = (double) runtimeMicros / runtimeEstimator.expectedRuntimeMicros(job.spec());
                machine.health().recordRuntimeRatio(ratio, job.uid());
            }
            runtimeEstimator.recordRuntime(job, runtimeMicros);
        }
        recordSoundness(machine, job, allocation);
        drainMachinesThatFailed(job);
        if (job.markTaskDone(allocation.taskIndex()) && !job.isCancelled()) {
            writeQueue.enqueue(job.recordWrite());
        }
    }

    /**
     * Records that the machine was sound when the task started; jobs that have failed on it may be tried there again.
     */
    private void recordSoundness(Machine machine, ActiveJob job, Allocation allocation) {
        MachineHealth health = machine.health();
        health.clearSuspicion(job.uid());
        // When a task of an earlier term started is not known.
        boolean isStartKnown = allocation.launchSequence() > 0 && allocation.runningSinceMicros() >= 0;
        if (!isStartKnown) {
            return;
        }
        Collection<String> suspicionsBefore = health.suspicions();
        health.recordDone(allocation.runningSinceMicros());
        for (String uid : suspicionsBefore) {
            ActiveJob failedJob = cluster.job(uid);
            if (failedJob != null && !health.isSuspectFor(uid)) {
                LOG.info(
                        "machine {} is sound: job {} was done on it after job {} failed",
                        machine.name(),
                        job.uid(),
                        uid);
                failedJob.failures().allowRetry(machine.name());
            }
        }
    }

    /** Drains the machines on which the job failed before: since it succeeded elsewhere, they were at fault. */
    private void drainMachinesThatFailed(ActiveJob job) {
        for (String name : job.failures().unresolvedMachines()) {
            Machine suspect = cluster.machine(name);
            if (suspect != null && suspect.health().isSuspectFor(job.uid())) {
                LOG.info("machine {} is considered faulty: job {} succeeded on another machine", name, job.uid());
                drainFaulty(suspect);
            }
        }
    }

    private void drainFaulty(Machine machine) {
        machine.drain();
        for (String uid : machine.health().suspicions()) {
            ActiveJob job = cluster.job(uid);
            if (job != null) {
                job.failures().forget(machine.name());
            }
        }
    }

    private void handleFailure(Machine machine, ActiveJob job, Allocation allocation, long nowMicros) {
        if (job.isCancelled() || machine.state() == Machine.State.DRAINING) {
            return;
        }
        long startedMicros = allocation.runningSinceMicros() >= 0 ? allocation.runningSinceMicros() : nowMicros;
        switch (FaultAttribution.attribute(job, machine, startedMicros, nowMicros, eventLoop.wallMicros())) {
            case MACHINE -> {
                LOG.info(
                        "machine {} is considered faulty: task {}/{} failed on it",
                        machine.name(),
                        allocation.uid(),
                        allocation.taskIndex());
                drainFaulty(machine);
            }
            case JOB -> {
                recordFailedAttempt(job);
                replaceIfOnlyMachine(machine, job);
            }
            case COUNTED ->
                LOG.debug("task {}/{} failed on machine {}", allocation.uid(), allocation.taskIndex(), machine.name());
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
        String cause =
                "its tasks failed on " + String.join(" and ", job.failures().unresolvedMachines());
        job.failures().attributeToJob();
        job.recordFailedAttempt(retries, eventLoop.wallMicros(), cause);
        LOG.info("job {}: {}", job.uid(), job.reason());
        writeQueue.enqueue(job.recordWrite());
    }

    /**
     * Replaces a machine on which a job fails again and again if the job was tried on no other, and no task shows that
     * the machine is sound: the job may have no other machine. This happens at most once for each job in a term.
     */
    private void replaceIfOnlyMachine(Machine machine, ActiveJob job) {
        boolean isOnlyEvidence = job.failures().attributedAttempts() >= ATTEMPTS_BEFORE_REPLACEMENT
                && job.failures().areAttributedOnlyOn(machine.name());
        if (isOnlyEvidence
                && !hasLiveTasksOfOthers(machine, job)
                && !machine.health().isProvenSoundSince(job.failures().firstStartMicros(machine.name()))) {
            LOG.info(
                    "machine {} is replaced: job {} keeps failing on it, and no task was done",
                    machine.name(),
                    job.uid());
            drainFaulty(machine);
        }
    }

    private static boolean hasLiveTasksOfOthers(Machine machine, ActiveJob job) {
        for (Allocation allocation : machine.allocations()) {
            if (!allocation.hasEnded() && allocation.job() != job) {
                return true;
            }
        }
        return false;
    }
}
