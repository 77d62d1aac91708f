package io.sillreel.heartbeat;

import io.sillreel.agent.Heartbeat;
import io.sillreel.agent.Heartbeat.TaskStatus;
import io.sillreel.cluster.Allocation;
import io.sillreel.cluster.Cluster;
import io.sillreel.cluster.Machine;
import io.sillreel.http.EventLoop;
import io.sillreel.pipeline.ActiveJob;
import io.sillreel.pipeline.RetrySchedule;
import io.sillreel.placement.RuntimeEstimator;
import io.sillreel.statestore.WriteQueue;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Brings what is known of a machine's tasks in line with its report, and settles what has ended. */
final class TaskReconciler {
    private static final Logger LOG = LoggerFactory.getLogger(TaskReconciler.class);

    private final EventLoop eventLoop;
    private final Cluster cluster;
    private final WriteQueue writeQueue;
    private final RetrySchedule retries;
    private final RuntimeEstimator runtimeEstimator;
    private final Runnable requestScheduling;

    /** @param progressed called when there may be something new to plan */
    TaskReconciler(
            EventLoop eventLoop,
            Cluster cluster,
            WriteQueue writeQueue,
            RetrySchedule retries,
            RuntimeEstimator runtimeEstimator,
            Runnable progressed) {
        this.eventLoop = eventLoop;
        this.cluster = cluster;
        this.writeQueue = writeQueue;
        this.retries = retries;
        this.runtimeEstimator = runtimeEstimator;
        this.requestScheduling = progressed;
    }

    /**
     * Takes a new report.
     *
     * @param ownReport it came by itself: only such a one shows that a launch has not happened
     */
    void reconcile(Machine machine, Heartbeat heartbeat, boolean ownReport, long now) {
        if (!machine.isReconciled()) {
            machine.markReconciled();
            machine.responsiveness().recordCommandObeyed();
            cluster.markReconciled(machine);
            LOG.debug(
                    "machine {} ({}, {}) heard with {} tasks",
                    machine.name(),
                    machine.type().name(),
                    machine.zone(),
                    heartbeat.tasks().size());
            requestScheduling.run();
        }
        Set<Allocation> shown = new HashSet<>();
        boolean heeded = false;
        boolean unheeded = false;
        for (TaskStatus task : heartbeat.tasks()) {
            Allocation allocation = machine.allocation(task.uid(), task.index(), task.attempt());
            if (allocation == null) {
                allocation = discover(machine, task, now);
            } else if (!allocation.hasEnded()) {
                heeded |= allocation.isUnconfirmed();
                allocation.updateStage(task.stage(), now);
                if (allocation.hasEnded()) {
                    handleEnd(machine, allocation, task.cause(), now);
                }
            } else if (ownReport
                    && allocation.acknowledgementSequence() > 0
                    && allocation.acknowledgementSequence() < heartbeat.sequence()) {
                unheeded = true;
            }
            shown.add(allocation);
        }
        if (shown.size() < machine.allocations().size()) {
            for (Allocation allocation : List.copyOf(machine.allocations())) {
                boolean neverStarted =
                        allocation.isUnconfirmed() && ownReport && allocation.launchSequence() < heartbeat.sequence();
                if (!shown.contains(allocation) && (neverStarted || !allocation.isUnconfirmed())) {
                    unheeded |= neverStarted;
                    heeded |= !neverStarted;
                    removeAllocation(machine, allocation);
                }
            }
        }
        if (heeded) {
            machine.responsiveness().recordCommandObeyed();
        } else if (unheeded) {
            machine.responsiveness().recordCommandIgnored(now);
        }
    }

    private Allocation discover(Machine machine, TaskStatus task, long now) {
        ActiveJob job = cluster.job(task.uid());
        if (job != null && (task.index() < 0 || task.index() >= job.spec().tasks())) {
            job = null;
        }
        boolean elsewhere = job != null && job.isAllocated(task.index());
        Allocation allocation = Allocation.discovered(job, task.uid(), task.index(), task.attempt(), task.stage());
        machine.add(allocation);
        if (allocation.hasEnded()) {
            handleEnd(machine, allocation, task.cause(), now);
        } else if (elsewhere) {
            LOG.error("{}/{} is on {} and elsewhere, stopping it here", task.uid(), task.index(), machine.name());
            allocation.stop(0);
        }
        return allocation;
    }

    private void handleEnd(Machine machine, Allocation allocation, String cause, long now) {
        ActiveJob job = allocation.job();
        requestScheduling.run();
        if (job == null) {
            return;
        }
        allocation.release();
        switch (cause) {
            case "done" -> {
                if (allocation.runningSinceMicros() >= 0) {
                    long ran = now - allocation.runningSinceMicros();
                    machine.health()
                            .recordRuntimeRatio(
                                    (double) ran / runtimeEstimator.expectedRuntimeMicros(job.spec()), job.uid());
                    runtimeEstimator.recordRuntime(job, ran);
                }
                machine.health().clearSuspicion(job.uid());
                attributeEarlierFailures(job);
                if (job.markTaskDone(allocation.taskIndex()) && !job.isCancelled()) {
                    writeQueue.enqueue(job);
                }
            }
            case "error" -> handleFailure(machine, job, allocation);
            case "no_room", "busy", "no_such" ->
                LOG.info("{} refused {}/{}: {}", machine.name(), allocation.uid(), allocation.taskIndex(), cause);
            default ->
                LOG.debug("{}/{} ended on {}: {}", allocation.uid(), allocation.taskIndex(), machine.name(), cause);
        }
    }

    /** A job that succeeds is no mistake: the machines that failed it before are the faulty ones. */
    private void attributeEarlierFailures(ActiveJob job) {
        for (String name : job.failedMachines()) {
            Machine suspectedMachine = cluster.machine(name);
            if (suspectedMachine != null
                    && suspectedMachine.health().suspectingJobs().contains(job.uid())) {
                LOG.info("machine {} is considered faulty: {} succeeds elsewhere", name, job.uid());
                suspectedMachine.drain();
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
                        "machine {} is considered faulty: it failed {}/{}",
                        machine.name(),
                        allocation.uid(),
                        allocation.taskIndex());
                machine.drain();
                job.failedMachines().remove(machine.name());
            }
            case JOB -> {
                for (Machine suspectedMachine : cluster.machines()) {
                    suspectedMachine.health().clearSuspicion(job.uid());
                }
                job.recordFailedAttempt(
                        retries,
                        eventLoop.wallMicros(),
                        "its tasks failed on " + String.join(" and ", job.failedMachines()));
                job.failedMachines().clear();
                LOG.info("job {}: {}", job.uid(), job.reason());
                writeQueue.enqueue(job);
            }
            default ->
                LOG.info(
                        "{}/{} failed on {}, trying it elsewhere",
                        allocation.uid(),
                        allocation.taskIndex(),
                        machine.name());
        }
    }

    private void removeAllocation(Machine machine, Allocation allocation) {
        machine.remove(allocation);
        allocation.release();
        requestScheduling.run();
    }

    /** All tasks of the machine are certainly gone. */
    void clearTasks(Machine machine) {
        machine.clearAllocations().forEach(Allocation::release);
        requestScheduling.run();
    }
}
