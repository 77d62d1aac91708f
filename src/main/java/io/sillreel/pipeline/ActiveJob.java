package io.sillreel.pipeline;

import io.sillreel.settings.ValueLimits;
import io.sillreel.statestore.PendingWrite;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * An unfinished job as the leader drives it: which tasks are done, which have an allocation on a machine, how urgent
 * the job is, and what of that is stored. No task is launched before the release is stored, and no worker is told to
 * drop a completed task before its completion is stored.
 *
 * <p>Tasks, urgency and retry state are changed under the lock of the cluster. The write of the record is driven by the
 * write queue in the event loop.
 */
public final class ActiveJob {
    /** Told in the event loop what became of the job's record. */
    public interface Listener {
        /** The record is stored; {@link #isCompletionStored} tells whether the job is over. */
        void recordStored(ActiveJob job);

        /** The record can't be stored, since the job is cancelled. */
        void cancellationFound(ActiveJob job);

        /** Writes to be queued, among them the job's own record if it has to be written again. */
        void enqueueWrites(List<? extends PendingWrite> writes);
    }

    private final JobSpec spec;
    private final long planRevision;
    private final long admittedWallMicros;
    private final Listener listener;
    private final StoredCompletionBitmap completed;
    private final RunRecordWrite recordWrite;
    private final TaskOccupancy occupancy;
    private final TaskRuntimes runtimes = new TaskRuntimes();
    private final EffectiveUrgency urgency;
    private final Set<String> failedMachines = new HashSet<>();
    private RetryState retry = RetryState.NONE;
    private boolean hasCompletedTask;
    private boolean isReady;
    private long readyWallMicros;
    private boolean isInherited;
    private boolean isCancelled;

    /**
     * Creates a job that has not been released; {@link #inherit} adds what is stored of it.
     *
     * @param planRevision the revision of the stored plan
     * @param admittedWallMicros when the job was admitted; time of day
     * @param limits decide in which form the completion bitmap is stored
     */
    public ActiveJob(JobSpec spec, long planRevision, long admittedWallMicros, ValueLimits limits, Listener listener) {
        this.spec = spec;
        this.planRevision = planRevision;
        this.admittedWallMicros = admittedWallMicros;
        this.listener = listener;
        this.completed = new StoredCompletionBitmap(spec.uid(), spec.tasks(), limits, this::enqueueRecordWrite);
        this.recordWrite = new RunRecordWrite(this, completed, listener);
        this.occupancy = new TaskOccupancy(spec.tasks());
        this.urgency = new EffectiveUrgency(spec.urgency(), admittedWallMicros);
        this.isReady = spec.dependencies().isEmpty();
        this.readyWallMicros = admittedWallMicros;
    }

    private void enqueueRecordWrite() {
        listener.enqueueWrites(List.of(recordWrite));
    }

    /** Takes over what an earlier leader stored: any inherited machine may run tasks of the job. */
    public void inherit(long revision, RunRecord record, StoredChunks storedChunks) {
        recordWrite.inherit(revision, record);
        isInherited = true;
        isReady = true;
        if (record.readyWallMicros() > 0) {
            readyWallMicros = record.readyWallMicros();
        }
        retry = record.retry();
        completed.inherit(record.bitmap(), storedChunks);
        occupancy.inherit(completed);
        hasCompletedTask = completed.count() > 0;
    }

    public JobSpec spec() {
        return spec;
    }

    public String uid() {
        return spec.uid();
    }

    /** The revision of the stored plan; jobs of equal urgency are served in this order. */
    public long planRevision() {
        return planRevision;
    }

    /** When the job was admitted; time of day. */
    public long admittedWallMicros() {
        return admittedWallMicros;
    }

    /** When the last dependency was done, or the job was admitted if it has none; time of day. */
    public long readyWallMicros() {
        return readyWallMicros;
    }

    /** The highest priority class of the job and of all that depend on it; it decides order and preemption. */
    public PriorityClass effectivePriority() {
        return urgency.priorityClass();
    }

    /** By when its dependents need the job, time of day; {@link Long#MAX_VALUE} without a deadline. */
    public long inheritedDeadlineMicros() {
        return urgency.inheritedDeadlineMicros();
    }

    /** By when the job has to be done for itself and for its dependents, time of day. */
    public long effectiveDeadlineMicros() {
        return urgency.deadlineWallMicros();
    }

    /**
     * Inherits the urgency of a dependent job.
     *
     * @param deadlineWallMicros by when the dependent needs this job
     * @return true if this job is more urgent than before
     */
    public boolean inheritUrgency(PriorityClass dependentPriority, long deadlineWallMicros) {
        return urgency.inherit(dependentPriority, deadlineWallMicros);
    }

    /** Forgets the urgency that was inherited. */
    public void resetInheritedUrgency() {
        urgency.reset();
    }

    /** All dependencies are done. */
    public void markReady(long wallMicros) {
        if (!isReady) {
            isReady = true;
            readyWallMicros = wallMicros;
        }
    }

    /** True while a dependency is not done: the job demands no machine and uses no quota or guarantee. */
    public boolean hasUnmetDependencies() {
        return !isReady;
    }

    /** True once the release is stored: only then may tasks be launched. */
    public boolean isReleased() {
        return recordWrite.isReleased();
    }

    /** True if an earlier leader may have launched tasks of this job. */
    public boolean isInherited() {
        return isInherited;
    }

    public boolean isCancelled() {
        return isCancelled;
    }

    /** Marks the job as cancelled; its tasks are stopped, and none is launched any more. */
    public void cancel() {
        isCancelled = true;
    }

    /** True if all tasks are done, whether or not that is stored. */
    public boolean isComplete() {
        return completed.isComplete();
    }

    /** True once it is stored that the job is done, so that users may be told. */
    public boolean isCompletionStored() {
        return recordWrite.isCompletionStored();
    }

    public int doneCount() {
        return completed.count();
    }

    public boolean isTaskDone(int task) {
        return completed.contains(task);
    }

    /** True once it is stored that the task is done. */
    public boolean isTaskStored(int task) {
        return completed.isStored(task);
    }

    /** Marks the task as done and ends the series of failed attempts; false if it was done before. */
    public boolean markTaskDone(int task) {
        if (!completed.add(task)) {
            return false;
        }
        occupancy.markDone(task);
        hasCompletedTask = true;
        failedMachines.clear();
        retry = RetryState.NONE;
        return true;
    }

    /** Adds an allocation of the task; normally its only one. */
    public void allocate(int task) {
        occupancy.allocate(task);
    }

    /** Removes an allocation of the task; the task waits again once none is left. */
    public void deallocate(int task) {
        occupancy.deallocate(task, completed.contains(task));
    }

    public boolean isAllocated(int task) {
        return occupancy.isAllocated(task);
    }

    /** How many tasks have an allocation. */
    public int allocatedCount() {
        return occupancy.allocatedCount();
    }

    /** The first task that is neither done nor allocated, or -1. */
    public int nextWaitingTask() {
        return occupancy.nextWaitingTask();
    }

    /** How many tasks are neither done nor allocated. */
    public int waitingCount() {
        return occupancy.waitingCount();
    }

    /** The run times of the job's tasks that ended in this term. */
    public TaskRuntimes runtimes() {
        return runtimes;
    }

    /** The failed attempts since a task was last done. */
    RetryState retry() {
        return retry;
    }

    /** No task is launched before this time of day. */
    public long nextAttemptWallMicros() {
        return retry.nextAttemptWallMicros();
    }

    /** What users are told of the last failed attempt, or null without one. */
    public String reason() {
        return retry.reason();
    }

    /** True once a task of the job was done: later failures are not caused by its specification. */
    public boolean hasCompletedTask() {
        return hasCompletedTask;
    }

    /** Names of the machines on which tasks of the current attempt failed; callers add and remove them. */
    public Set<String> failedMachines() {
        return failedMachines;
    }

    /** An attempt failed through the job's own fault: the next one is scheduled, or the job is parked. */
    public void recordFailedAttempt(RetrySchedule schedule, long wallMicros, String cause) {
        retry = retry.afterFailure(schedule, wallMicros, cause);
    }

    /** The write of the job's record; always the same object, to be queued after each change. */
    public RunRecordWrite recordWrite() {
        return recordWrite;
    }

    /** Writes that remove all chunks of the completion bitmap, of a job that is over. */
    public List<PendingWrite> removalsOfChunks() {
        return completed.removalsOfChunks();
    }
}
