package io.sillreel.heartbeat;

import io.sillreel.agent.Heartbeat;
import io.sillreel.agent.Heartbeat.TaskStatus;
import io.sillreel.cluster.Allocation;
import io.sillreel.cluster.Cluster;
import io.sillreel.cluster.Machine;
import io.sillreel.pipeline.ActiveJob;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reconciles the allocations of a machine with the tasks that its heartbeats show. Guarded by the cluster lock. */
public final class TaskReconciler {
    private static final Logger LOG = LoggerFactory.getLogger(TaskReconciler.class);
    /** Flags for the effects of earlier commands that a heartbeat shows; ints avoid an allocation per heartbeat. */
    private static final int COMMAND_CONFIRMED = 1;

    private static final int COMMAND_IGNORED = 2;

    private final Cluster cluster;
    private final TaskEndHandler endHandler;
    private final TermOperations operations;

    /** @param endHandler records how tasks ended */
    public TaskReconciler(Cluster cluster, TaskEndHandler endHandler, TermOperations operations) {
        this.cluster = cluster;
        this.endHandler = endHandler;
        this.operations = operations;
    }

    /**
     * Updates the allocations of the machine from a new heartbeat.
     *
     * @param isPeriodic true for a periodic heartbeat, false for one in the response to a direct command. Only a
     *     periodic heartbeat that lacks a launched task shows that the launch did not happen
     */
    void reconcile(Machine machine, Heartbeat heartbeat, boolean isPeriodic, long nowMicros) {
        if (!machine.isReconciled()) {
            markReconciled(machine, heartbeat);
        }
        Set<Allocation> shown = new HashSet<>();
        int commandEffects = updateShownTasks(machine, heartbeat, isPeriodic, nowMicros, shown);
        if (shown.size() < machine.allocations().size()) {
            commandEffects |= removeMissingTasks(machine, heartbeat, isPeriodic, shown);
        }
        if ((commandEffects & COMMAND_CONFIRMED) != 0) {
            machine.responsiveness().recordCommandConfirmed();
        } else if ((commandEffects & COMMAND_IGNORED) != 0) {
            machine.responsiveness().recordCommandIgnored(nowMicros);
        }
    }

    private void markReconciled(Machine machine, Heartbeat heartbeat) {
        machine.markReconciled();
        machine.responsiveness().recordCommandConfirmed();
        cluster.markReconciled(machine);
        LOG.debug(
                "machine {} ({}, {}) reconciled with {} tasks",
                machine.name(),
                machine.type().name(),
                machine.zone(),
                heartbeat.tasks().size());
        operations.requestScheduling();
    }

    /** Updates the allocations of the reported tasks, adds them to the given set and returns the command flags. */
    private int updateShownTasks(
            Machine machine, Heartbeat heartbeat, boolean isPeriodic, long nowMicros, Set<Allocation> shown) {
        int commandEffects = 0;
        for (TaskStatus task : heartbeat.tasks()) {
            Allocation allocation = machine.allocation(task.uid(), task.index(), task.attempt());
            if (allocation == null) {
                allocation = addDiscoveredTask(machine, task, nowMicros);
            } else if (!allocation.hasEnded()) {
                commandEffects |= allocation.isUnconfirmed() ? COMMAND_CONFIRMED : 0;
                allocation.updateStage(task.stage(), nowMicros);
                if (allocation.hasEnded()) {
                    handleEnd(machine, allocation, task.cause(), nowMicros);
                }
            } else if (isPeriodic
                    && allocation.acknowledgementSequence() > 0
                    && allocation.acknowledgementSequence() < heartbeat.sequence()) {
                commandEffects |= COMMAND_IGNORED;
            }
            shown.add(allocation);
        }
        return commandEffects;
    }

    /** Removes the allocations whose tasks are gone or were never started, and returns the command flags. */
    private int removeMissingTasks(Machine machine, Heartbeat heartbeat, boolean isPeriodic, Set<Allocation> shown) {
        int commandEffects = 0;
        for (Allocation allocation : List.copyOf(machine.allocations())) {
            boolean neverStarted =
                    allocation.isUnconfirmed() && isPeriodic && allocation.launchSequence() < heartbeat.sequence();
            if (!shown.contains(allocation) && (neverStarted || !allocation.isUnconfirmed())) {
                commandEffects |= neverStarted ? COMMAND_IGNORED : COMMAND_CONFIRMED;
                removeAllocation(machine, allocation);
            }
        }
        return commandEffects;
    }

    /** Adds a task that an earlier leader launched, and stops it if it is allocated on another machine too. */
    private Allocation addDiscoveredTask(Machine machine, TaskStatus task, long nowMicros) {
        ActiveJob job = cluster.job(task.uid());
        if (job != null && (task.index() < 0 || task.index() >= job.spec().tasks())) {
            job = null;
        }
        boolean isAllocatedElsewhere = job != null && job.isAllocated(task.index());
        Allocation allocation = Allocation.discovered(job, task.uid(), task.index(), task.attempt(), task.stage());
        machine.add(allocation);
        if (allocation.hasEnded()) {
            handleEnd(machine, allocation, task.cause(), nowMicros);
        } else if (isAllocatedElsewhere) {
            LOG.error(
                    "task {}/{} is on machine {} and on another machine, stopping it here",
                    task.uid(),
                    task.index(),
                    machine.name());
            allocation.stop(0);
        }
        return allocation;
    }

    private void handleEnd(Machine machine, Allocation allocation, String cause, long nowMicros) {
        operations.requestScheduling();
        if (allocation.job() != null) {
            endHandler.handleEnd(machine, allocation, cause, nowMicros);
        }
    }

    private void removeAllocation(Machine machine, Allocation allocation) {
        machine.remove(allocation);
        allocation.release();
        operations.requestScheduling();
    }

    /** Removes all allocations of a machine on which no task can be live, so that the tasks are requeued. */
    public void clearTasks(Machine machine) {
        machine.clearAllocations().forEach(Allocation::release);
        operations.requestScheduling();
    }
}
