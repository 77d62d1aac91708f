package io.sillreel.pipeline;

import io.sillreel.settings.ValueLimits;
import io.sillreel.statestore.PendingWrite;
import java.util.List;

/**
 * In-memory state of an unfinished job on the leader: which tasks are done, which are allocated to a machine, the
 * effective urgency of the job, and how much of this has been stored. No task is launched before the release is stored,
 * and no worker is instructed to drop a completed task before its completion is stored.
 *
 * <p>Tasks, urgency and retry state are changed under the cluster lock. The write queue drives the write of the record
 * on the event loop.
 */
public final class ActiveJob {
    /** Receives the results of writing the job's record; called on the event loop. */
    public interface Listener {
        /** Called when the record is stored; {@link #isCompletionStored} is true if that completed the job. */
        void recordStored(ActiveJob job);

        /** Called when the record can't be stored because the job is cancelled. */
        void cancellationFound(ActiveJob job);

        /** Called when the stored record marks the job as done, although it is not done in this term. */
        void completionFound(ActiveJob job);

        /** Queues writes, which include the job's own record if it has to be written again. */
        void enqueueWrites(List<? extends PendingWrite> writes);
    }

    private final JobSpec spec;
    private final long planRevision;
    private final long admittedWallMicros;
    private final Listener listener;
    private final StoredCompletionBitmap completionBitmap;
    private final RunRecordWrite recordWrite;
    private final TaskOccupancy occupancy;
    private final TaskRuntimes runtimes = new TaskRuntimes();
    private final EffectiveUrgency urgency;
    private final JobFailures failures = new JobFailures();
    private RetryState retry = RetryState.NONE;
    private boolean hasCompletedTask;
    private boolean isReady;
    private long readyWallMicros;
    private boolean isInherited;
    private boolean isCancelled;
    private long planningSuspendedUntilMicros;

    /**
     * Creates a job that has not been released; {@link #inherit} restores the stored progress of one that has.
     *
     * @param planRevision the revision of the stored plan
     * @param admittedWallMicros wall-clock time of the job's admission
     * @param limits the value sizes that decide whether the completion bitmap is stored in chunks
     */
    public ActiveJob(JobSpec spec, long planRevision, long admittedWallMicros, ValueLimits limits, Listener listener) {
        this.spec = spec;
        this.planRevision = planRevision;
        this.admittedWallMicros = admittedWallMicros;
        this.listener = listener;
        this.completionBitmap = new StoredCompletionBitmap(spec.uid(), spec.tasks(), limits, this::enqueueRecordWrite);
        this.recordWrite = new RunRecordWrite(this, completionBitmap, listener);
        this.occupancy = new TaskOccupancy(spec.tasks());
        this.urgency = new EffectiveUrgency(spec.urgency(), admittedWallMicros);
        this.isReady = spec.dependencies().isEmpty();
        this.readyWallMicros = admittedWallMicros;
    }

    private void enqueueRecordWrite() {
        listener.enqueueWrites(List.of(recordWrite));
    }

    /** Restores the progress that an earlier leader stored. Any inherited machine may be running tasks of the job. */
    public void inherit(long revision, RunRecord record, StoredChunks storedChunks) {
        recordWrite.inherit(revision, record);
        isInherited = true;
        isReady = true;
        if (record.readyWallMicros() > 0) {
            readyWallMicros = record.readyWallMicros();
        }
        retry = record.retry();
        completionBitmap.inherit(record.bitmap(), storedChunks);
        occupancy.inherit(completionBitmap);
        hasCompletedTask = completionBitmap.count() > 0;
    }

    public JobSpec spec() {
        return spec;
    }

    public String uid() {
        return spec.uid();
    }

    /** The revision of the stored plan; jobs of equal urgency are scheduled in this order. */
    public long planRevision() {
        return planRevision;
    }

    /** The wall-clock time of the job's admission. */
    public long admittedWallMicros() {
        return admittedWallMicros;
    }

    /** The wall-clock time at which the last dependency was done, or of the admission without dependencies. */
    public long readyWallMicros() {
        return readyWallMicros;
    }

    /** The highest priority class of the job and its transitive dependents; it decides queue order and preemption. */
    public PriorityClass effectivePriority() {
        return urgency.priorityClass();
    }

    /** The earliest wall-clock deadline inherited from dependents; {@link Long#MAX_VALUE} without one. */
    public long inheritedDeadlineMicros() {
        return urgency.inheritedDeadlineMicros();
    }

    /** The earlier of the job's own and its inherited wall-clock deadline. */
    public long effectiveDeadlineMicros() {
        return urgency.deadlineWallMicros();
    }

    /**
     * Inherits the urgency of a dependent job.
     *
     * @param deadlineWallMicros the wall-clock time by which the dependent needs this job
     * @return true if this job became more urgent
     */
    public boolean inheritUrgency(PriorityClass dependentPriority, long deadlineWallMicros) {
        return urgency.inherit(dependentPriority, deadlineWallMicros);
    }

    /** Resets the urgency to that of the job's own submission. */
    public void resetInheritedUrgency() {
        urgency.reset();
    }

    /** Marks all dependencies as done. */
    public void markReady(long wallMicros) {
        if (!isReady) {
            isReady = true;
            readyWallMicros = wallMicros;
        }
    }

    /** True while a dependency is not done; such a job requests no machine and uses no quota or guarantee. */
    public boolean hasUnmetDependencies() {
        return !isReady;
    }

    /** True once the release is stored; tasks may be launched only then. */
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

    /** True if all tasks are done, whether or not their completion is stored. */
    public boolean isComplete() {
        return completionBitmap.isComplete();
    }

    /** True once the completion of the job is stored, so that it may be reported to users. */
    public boolean isCompletionStored() {
        return recordWrite.isCompletionStored();
    }

    public int doneCount() {
        return completionBitmap.count();
    }

    public boolean isTaskDone(int task) {
        return completionBitmap.contains(task);
    }

    /** True once the completion of the task is stored. */
    public boolean isTaskStored(int task) {
        return completionBitmap.isStored(task);
    }

    /** Marks the task as done and resets the retry state; returns false if the task was already done. */
    public boolean markTaskDone(int task) {
        if (!completionBitmap.add(task)) {
            return false;
        }
        occupancy.markDone(task);
        hasCompletedTask = true;
        failures.clear();
        retry = RetryState.NONE;
        return true;
    }

    /** Marks all tasks as done, as the stored record does. */
    public void markAllTasksDone() {
        for (int task = 0; task < spec.tasks(); task++) {
            markTaskDone(task);
        }
    }

    /** Adds an allocation of the task; normally a task has only one. */
    public void allocate(int task) {
        occupancy.allocate(task);
    }

    /** Removes an allocation of the task; the task waits again once none is left. */
    public void deallocate(int task) {
        occupancy.deallocate(task, completionBitmap.contains(task));
    }

    public boolean isAllocated(int task) {
        return occupancy.isAllocated(task);
    }

    /** The number of tasks with an allocation. */
    public int allocatedCount() {
        return occupancy.allocatedCount();
    }

    /** The lowest index of a task that is neither done nor allocated, or -1. */
    public int nextWaitingTask() {
        return occupancy.nextWaitingTask();
    }

    /** The number of tasks that are neither done nor allocated. */
    public int waitingCount() {
        return occupancy.waitingCount();
    }

    /** The run times of the job's tasks that ended in this term. */
    public TaskRuntimes runtimes() {
        return runtimes;
    }

    /** The failed attempts since the last task completion. */
    RetryState retry() {
        return retry;
    }

    /** The wall-clock time before which no task is launched. */
    public long nextAttemptWallMicros() {
        return retry.nextAttemptWallMicros();
    }

    /** The reason of the last failed attempt as reported to users, or null without one. */
    public String reason() {
        return retry.reason();
    }

    /** True once a task of the job is done; later failures are then not attributed to the job's specification. */
    public boolean hasCompletedTask() {
        return hasCompletedTask;
    }

    /** The machines on which tasks failed since a task was last done. */
    public JobFailures failures() {
        return failures;
    }

    /** The number of failed attempts that were attributed to the job since a task was last done. */
    public int failedAttempts() {
        return retry.failedAttempts();
    }

    /** Records an attempt whose failure is attributed to the job, and schedules the next attempt or parks the job. */
    public void recordFailedAttempt(RetrySchedule schedule, long wallMicros, String cause) {
        retry = retry.afterFailure(schedule, wallMicros, cause);
    }

    /** Leaves the job out of all plans until the given wall-clock time, because an unexpected error occurred for it. */
    public void suspendPlanning(long untilWallMicros) {
        planningSuspendedUntilMicros = untilWallMicros;
    }

    /** True if the job is left out of plans after an unexpected error. */
    public boolean isPlanningSuspended(long wallMicros) {
        return wallMicros < planningSuspendedUntilMicros;
    }

    /** The write of the job's record; the same object every time, to be queued after each change. */
    public RunRecordWrite recordWrite() {
        return recordWrite;
    }

    /** Writes that remove all chunks of the completion bitmap once the job has ended. */
    public List<PendingWrite> removalsOfChunks() {
        return completionBitmap.removalsOfChunks();
    }
}
