package io.sillreel.pipeline;

import io.sillreel.settings.ValueLimits;
import io.sillreel.statestore.KeyChange;
import io.sillreel.statestore.PendingWrite;
import io.sillreel.statestore.WriteUrgency;
import java.util.BitSet;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.agrona.collections.Int2IntCounterMap;

/**
 * A pipeline as its lease leader drives it: which tasks are done, which have an allocation on a machine, and what of
 * that is stored. Nothing is launched before the release is stored, nothing is reaped before the settlement is.
 */
public final class ActiveJob implements PendingWrite {
    /** Told in the loop about what happened to the record. */
    public interface Listener {
        void recordStored(ActiveJob job);

        void cancellationFound(ActiveJob job);

        /** These are to be written as well, or the job again if it is among them. */
        void enqueueWrites(List<? extends PendingWrite> items);
    }

    private final JobSpec spec;
    private final long planRevision;
    private final long admittedWallMicros;
    private final Listener listener;
    private final StoredCompletionBitmap done;
    private final BitSet allocated = new BitSet();
    /** Tasks that are done or have an allocation; kept with the counts, since reports ask for them all the time. */
    private final BitSet occupied = new BitSet();

    private final Int2IntCounterMap allocations = new Int2IntCounterMap(0);
    private final Set<String> failedMachines = new HashSet<>();

    private int allocatedCount;
    private int occupiedCount;
    private int measuredTaskCount;
    private long measuredMicros;
    private long longestTaskMicros;
    private long runRevision;
    private PriorityClass effectivePriority;
    private long inheritedDeadlineMicros;
    private boolean markReady;
    private long readyWallMicros;
    private boolean isReleased;
    private boolean isInherited;
    private boolean doneSent;
    private boolean isCompletionStored;
    private boolean isCancelled;
    private RetryState retry = RetryState.NONE;
    private int sentFailedAttempts;
    private boolean hasSucceededOnce;

    /**
     * Creates a job that has not been released; {@link #inherit} adds what is stored of it.
     *
     * @param limits decides in which form the done set is stored
     */
    public ActiveJob(JobSpec spec, long planRevision, long admittedWallMicros, ValueLimits limits, Listener watcher) {
        this.spec = spec;
        this.planRevision = planRevision;
        this.admittedWallMicros = admittedWallMicros;
        this.listener = watcher;
        this.done = new StoredCompletionBitmap(
                spec.uid(), spec.tasks(), limits, () -> watcher.enqueueWrites(List.of(this)));
        resetInheritedUrgency();
        this.markReady = spec.dependencies().isEmpty();
        this.readyWallMicros = admittedWallMicros;
    }

    /** Takes over what an earlier leader stored: the job may have tasks anywhere in the stored fleet. */
    public void inherit(long revision, RunRecord record, StoredChunks storedChunks) {
        runRevision = revision;
        isReleased = true;
        isInherited = true;
        markReady = true;
        if (record.readyWallMicros() > 0) {
            readyWallMicros = record.readyWallMicros();
        }
        retry = record.retry();
        sentFailedAttempts = retry.failedAttempts();
        done.inherit(record.bitmap(), storedChunks);
        done.copyInto(occupied);
        occupiedCount = done.count();
        hasSucceededOnce = done.count() > 0;
    }

    public JobSpec spec() {
        return spec;
    }

    public String uid() {
        return spec.uid();
    }

    /** Plans are served in the order of these stamps. */
    public long planRevision() {
        return planRevision;
    }

    public long admittedWallMicros() {
        return admittedWallMicros;
    }

    /** When the last job that it awaits was done; when it was admitted if it awaits none. */
    public long readyWallMicros() {
        return readyWallMicros;
    }

    /** The highest rank of the job and of all that need it: it decides the order, and who may be stopped for whom. */
    public PriorityClass effectivePriority() {
        return effectivePriority;
    }

    /** By when whoever needs the job needs it, or the largest value there is; time of day. */
    public long inheritedDeadlineMicros() {
        return inheritedDeadlineMicros;
    }

    /** When the job has to be done: by its own deadline, counted from its submission, and for those that need it. */
    public long effectiveDeadlineMicros() {
        return Math.min(
                inheritedDeadlineMicros,
                spec.deadlineMicros() < 0 ? Long.MAX_VALUE : admittedWallMicros + spec.deadlineMicros());
    }

    /** A job of that rank needs this one by then; true if that is more urgent than all before. */
    public boolean inheritUrgency(PriorityClass byRank, long byMicros) {
        boolean more = byRank.isAbove(effectivePriority) || byMicros < inheritedDeadlineMicros;
        effectivePriority = byRank.isAbove(effectivePriority) ? byRank : effectivePriority;
        inheritedDeadlineMicros = Math.min(inheritedDeadlineMicros, byMicros);
        return more;
    }

    /** Forgets what others have made of its urgency. */
    public void resetInheritedUrgency() {
        effectivePriority = spec.priorityClass();
        inheritedDeadlineMicros = Long.MAX_VALUE;
    }

    /** All that it awaits is done. */
    public void markReady(long wallMicros) {
        if (!markReady) {
            markReady = true;
            readyWallMicros = wallMicros;
        }
    }

    /** True while it awaits other jobs: it asks for nothing, and takes nothing of any limit or guarantee. */
    public boolean hasUnmetDependencies() {
        return !markReady;
    }

    /** True once the release is stored: only then may tasks be launched. */
    public boolean isReleased() {
        return isReleased;
    }

    /** True if an earlier leader may have launched tasks of this job. */
    public boolean isInherited() {
        return isInherited;
    }

    public boolean isCancelled() {
        return isCancelled;
    }

    public void cancel() {
        isCancelled = true;
    }

    public boolean isComplete() {
        return done.isComplete();
    }

    /** True once every user may be told that the job is done. */
    public boolean isCompletionStored() {
        return isCompletionStored;
    }

    public int doneCount() {
        return done.count();
    }

    public boolean isTaskDone(int task) {
        return done.contains(task);
    }

    public boolean isTaskStored(int task) {
        return done.isStored(task);
    }

    /** Marks the task as completed; true if that is news. */
    public boolean markTaskDone(int task) {
        if (!done.add(task)) {
            return false;
        }
        if (!occupied.get(task)) {
            occupied.set(task);
            occupiedCount++;
        }
        hasSucceededOnce = true;
        failedMachines.clear();
        retry = RetryState.NONE;
        return true;
    }

    /** One more allocation of the task; normally the only one. */
    public void allocate(int task) {
        allocations.incrementAndGet(task);
        if (!allocated.get(task)) {
            allocated.set(task);
            allocatedCount++;
            if (!occupied.get(task)) {
                occupied.set(task);
                occupiedCount++;
            }
        }
    }

    /**
     * One allocation less. A task waits again only once none is left: two may be known for a moment after a takeover.
     */
    public void deallocate(int task) {
        if (allocations.decrementAndGet(task) <= 0) {
            allocations.remove(task);
            if (allocated.get(task)) {
                allocated.clear(task);
                allocatedCount--;
                if (!done.contains(task)) {
                    occupied.clear(task);
                    occupiedCount--;
                }
            }
        }
    }

    public boolean isAllocated(int task) {
        return allocated.get(task);
    }

    public int allocatedCount() {
        return allocatedCount;
    }

    /** The next task that is neither done nor on a machine, or -1. */
    public int nextWaitingTask() {
        int task = occupied.nextClearBit(0);
        return task < spec.tasks() ? task : -1;
    }

    public int waitingCount() {
        return spec.tasks() - occupiedCount;
    }

    /** One of the job's tasks has ended after it ran for so long. */
    public void recordTaskRuntime(long micros) {
        measuredTaskCount++;
        measuredMicros += micros;
        longestTaskMicros = Math.max(longestTaskMicros, micros);
    }

    /** How many of its tasks have been seen to run and end in this term. */
    public int measuredTaskCount() {
        return measuredTaskCount;
    }

    /** How long they ran in all. */
    public long measuredMicros() {
        return measuredMicros;
    }

    public long longestTaskMicros() {
        return longestTaskMicros;
    }

    public long nextAttemptWallMicros() {
        return retry.nextAttemptWallMicros();
    }

    public String reason() {
        return retry.reason();
    }

    /** True once a task of it has completed: its description can't be the mistake. */
    public boolean hasSucceededOnce() {
        return hasSucceededOnce;
    }

    public Set<String> failedMachines() {
        return failedMachines;
    }

    /** An attempt that the job itself failed: the next one is scheduled, or the job is parked. */
    public void recordFailedAttempt(RetrySchedule schedule, long wallMicros, String why) {
        retry = retry.afterFailure(schedule, wallMicros, why);
    }

    /** What is stored beside the head, once nobody needs it any more. */
    public List<PendingWrite> removalsOfChunks() {
        return done.removalsOfChunks();
    }

    @Override
    public String key() {
        return RunRecord.key(spec.uid());
    }

    @Override
    public long revision() {
        return runRevision;
    }

    @Override
    public WriteUrgency urgency() {
        if (isComplete()) {
            return WriteUrgency.JOB_END;
        }
        return isReleased && retry.failedAttempts() == sentFailedAttempts
                ? WriteUrgency.PROGRESS
                : WriteUrgency.JOB_START;
    }

    @Override
    public Optional<String> requiredAbsentKey() {
        return Optional.of(CancellationRecord.key(spec.uid()));
    }

    @Override
    public List<PendingWrite> prerequisites() {
        return done.prerequisites();
    }

    @Override
    public KeyChange change() {
        sentFailedAttempts = retry.failedAttempts();
        doneSent = isComplete();
        BitmapReference bitmap = done.write();
        String stage = doneSent ? RunRecord.DONE : allocatedCount > 0 ? RunRecord.RUNNING : RunRecord.QUEUED;
        return KeyChange.put(RunRecordCodec.encode(new RunRecord(
                spec.tasks(),
                done.count(),
                allocatedCount,
                stage,
                retry,
                bitmap,
                spec.dependencies().isEmpty() ? 0 : readyWallMicros)));
    }

    @Override
    public void onStored(long revision) {
        runRevision = revision;
        isReleased = true;
        isCompletionStored |= doneSent;
        List<PendingWrite> unneeded = done.recordStored(isCompletionStored);
        if (!unneeded.isEmpty()) {
            listener.enqueueWrites(unneeded);
        }
        listener.recordStored(this);
    }

    @Override
    public void onTooLarge() {
        if (done.moveToChunks()) {
            listener.enqueueWrites(List.of(this));
        }
    }

    @Override
    public void onConflict(long revision) {
        runRevision = revision;
    }

    @Override
    public void onPreconditionFailed() {
        listener.cancellationFound(this);
    }
}
