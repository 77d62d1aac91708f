package io.sillreel.pipeline;

import com.fasterxml.jackson.databind.JsonNode;
import io.sillreel.settings.ValueLimits;
import io.sillreel.statestore.WriteQueue;
import java.util.BitSet;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.agrona.collections.Int2IntCounterMap;

/**
 * A pipeline as its lease leader drives it: which tasks are done, which have an allocation on a machine, and what of
 * that is stored. Nothing is launched before the release is stored, nothing is reaped before the settlement is.
 */
public final class ActiveJob implements WriteQueue.PendingWrite {
    /** Told in the loop about what happened to the record. */
    public interface Listener {
        void recordStored(ActiveJob job);

        void foundCancelled(ActiveJob job);

        /** These are to be written as well, or the job again if it is among them. */
        void toWrite(List<? extends WriteQueue.PendingWrite> items);
    }

    private final JobSpec spec;
    private final long planStamp;
    private final long admittedWallMicros;
    private final Listener watcher;
    private final StoredCompletionBitmap done;
    private final BitSet allocated = new BitSet();
    /** Tasks that are done or have an allocation; kept with the counts, since reports ask for them all the time. */
    private final BitSet taken = new BitSet();

    private final Int2IntCounterMap allocations = new Int2IntCounterMap(0);
    private final Set<String> failedOn = new HashSet<>();

    private int allocatedCount;
    private int takenCount;
    private int ranCount;
    private long ranMicros;
    private long longestMicros;
    private long runStamp;
    private PriorityClass rank;
    private long neededByMicros;
    private boolean ready;
    private long readyWallMicros;
    private boolean released;
    private boolean inherited;
    private boolean doneSent;
    private boolean doneStored;
    private boolean cancelled;
    private int attempts;
    private int attemptsSent;
    private long nextWallMicros;
    private String reason;
    private boolean succeededOnce;

    /**
     * Creates a job that has not been released; {@link #inherit} adds what is stored of it.
     *
     * @param limits decides in which form the done set is stored
     */
    public ActiveJob(JobSpec spec, long planStamp, long admittedWallMicros, ValueLimits limits, Listener watcher) {
        this.spec = spec;
        this.planStamp = planStamp;
        this.admittedWallMicros = admittedWallMicros;
        this.watcher = watcher;
        this.done = new StoredCompletionBitmap(spec.uid(), spec.tasks(), limits, () -> watcher.toWrite(List.of(this)));
        neededByNobody();
        this.ready = spec.awaits().isEmpty();
        this.readyWallMicros = admittedWallMicros;
    }

    /** Takes over what an earlier leader stored: the job may have tasks anywhere in the stored fleet. */
    public void inherit(long revision, RunRecord.Head head, RunRecord.StoredChunks storedParts) {
        runStamp = revision;
        released = true;
        inherited = true;
        ready = true;
        if (head.readyMicros() > 0) {
            readyWallMicros = head.readyMicros();
        }
        attempts = head.attempts();
        attemptsSent = attempts;
        nextWallMicros = head.nextMicros();
        reason = head.reason();
        done.inherit(head, storedParts);
        done.addTo(taken);
        takenCount = done.count();
        succeededOnce = done.count() > 0;
    }

    public JobSpec spec() {
        return spec;
    }

    public String uid() {
        return spec.uid();
    }

    /** Plans are served in the order of these stamps. */
    public long planStamp() {
        return planStamp;
    }

    public long admittedWallMicros() {
        return admittedWallMicros;
    }

    /** When the last job that it awaits was done; when it was admitted if it awaits none. */
    public long readyWallMicros() {
        return readyWallMicros;
    }

    /** The highest rank of the job and of all that need it: it decides the order, and who may be stopped for whom. */
    public PriorityClass rank() {
        return rank;
    }

    /** By when whoever needs the job needs it, or the largest value there is; time of day. */
    public long neededByMicros() {
        return neededByMicros;
    }

    /** When the job has to be done: by its own deadline, counted from its submission, and for those that need it. */
    public long endByMicros() {
        return Math.min(neededByMicros, spec.dueMicros() < 0 ? Long.MAX_VALUE : admittedWallMicros + spec.dueMicros());
    }

    /** A job of that rank needs this one by then; true if that is more urgent than all before. */
    public boolean neededBy(PriorityClass byRank, long byMicros) {
        boolean more = byRank.above(rank) || byMicros < neededByMicros;
        rank = byRank.above(rank) ? byRank : rank;
        neededByMicros = Math.min(neededByMicros, byMicros);
        return more;
    }

    /** Forgets what others have made of its urgency. */
    public void neededByNobody() {
        rank = spec.rank();
        neededByMicros = Long.MAX_VALUE;
    }

    /** All that it awaits is done. */
    public void ready(long wallMicros) {
        if (!ready) {
            ready = true;
            readyWallMicros = wallMicros;
        }
    }

    /** True while it awaits other jobs: it asks for nothing, and takes nothing of any limit or guarantee. */
    public boolean awaitsOthers() {
        return !ready;
    }

    /** True once the release is stored: only then may tasks be launched. */
    public boolean released() {
        return released;
    }

    /** True if an earlier leader may have launched tasks of this job. */
    public boolean inherited() {
        return inherited;
    }

    public boolean cancelled() {
        return cancelled;
    }

    public void cancel() {
        cancelled = true;
    }

    public boolean complete() {
        return done.complete();
    }

    /** True once every user may be told that the job is done. */
    public boolean doneStored() {
        return doneStored;
    }

    public int doneCount() {
        return done.count();
    }

    public boolean isDone(int task) {
        return done.contains(task);
    }

    public boolean isStored(int task) {
        return done.isStored(task);
    }

    /** Marks the task as completed; true if that is news. */
    public boolean settle(int task) {
        if (!done.add(task)) {
            return false;
        }
        if (!taken.get(task)) {
            taken.set(task);
            takenCount++;
        }
        succeededOnce = true;
        failedOn.clear();
        attempts = 0;
        nextWallMicros = 0;
        reason = null;
        return true;
    }

    /** One more allocation of the task; normally the only one. */
    public void allocate(int task) {
        allocations.incrementAndGet(task);
        if (!allocated.get(task)) {
            allocated.set(task);
            allocatedCount++;
            if (!taken.get(task)) {
                taken.set(task);
                takenCount++;
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
                    taken.clear(task);
                    takenCount--;
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
    public int nextWaiting() {
        int task = taken.nextClearBit(0);
        return task < spec.tasks() ? task : -1;
    }

    public int waitingCount() {
        return spec.tasks() - takenCount;
    }

    /** One of the job's tasks has ended after it ran for so long. */
    public void ran(long micros) {
        ranCount++;
        ranMicros += micros;
        longestMicros = Math.max(longestMicros, micros);
    }

    /** How many of its tasks have been seen to run and end in this term. */
    public int ranCount() {
        return ranCount;
    }

    /** How long they ran in all. */
    public long ranMicros() {
        return ranMicros;
    }

    public long longestMicros() {
        return longestMicros;
    }

    public long nextWallMicros() {
        return nextWallMicros;
    }

    public String reason() {
        return reason;
    }

    /** True once a task of it has completed: its description can't be the mistake. */
    public boolean succeededOnce() {
        return succeededOnce;
    }

    public Set<String> failedOn() {
        return failedOn;
    }

    /** An attempt that the job itself failed: the next one is scheduled, or the job is parked. */
    public void failAttempt(RetrySchedule schedule, long wallMicros, String why) {
        attempts++;
        nextWallMicros = schedule.nextAttemptMicros(attempts, wallMicros);
        reason = schedule.exhausted(attempts)
                ? "parked after " + attempts + " failed attempts: " + why
                : "attempt " + attempts + " failed: " + why;
    }

    /** What is stored beside the head, once nobody needs it any more. */
    public List<WriteQueue.PendingWrite> leftovers() {
        return done.leftovers();
    }

    @Override
    public String key() {
        return RunRecord.key(spec.uid());
    }

    @Override
    public long revision() {
        return runStamp;
    }

    @Override
    public WriteQueue.WriteUrgency urgency() {
        if (complete()) {
            return WriteQueue.WriteUrgency.JOB_END;
        }
        return released && attempts == attemptsSent
                ? WriteQueue.WriteUrgency.PROGRESS
                : WriteQueue.WriteUrgency.JOB_START;
    }

    @Override
    public String requiredAbsentKey() {
        return CancellationRecord.key(spec.uid());
    }

    @Override
    public List<WriteQueue.PendingWrite> prerequisites() {
        return done.first();
    }

    @Override
    public Map<String, JsonNode> changes() {
        attemptsSent = attempts;
        doneSent = complete();
        StoredCompletionBitmap.InHead inHead = done.write();
        int running = allocatedCount;
        String stage = doneSent ? RunRecord.DONE : running > 0 ? "running" : "queued";
        return Map.of(
                key(),
                new RunRecord.Head(
                                spec.tasks(),
                                done.count(),
                                running,
                                attempts,
                                nextWallMicros,
                                stage,
                                reason,
                                inHead.bits(),
                                spec.awaits().isEmpty() ? 0 : readyWallMicros,
                                inHead.per(),
                                inHead.generations())
                        .json());
    }

    @Override
    public void onStored(long revision) {
        runStamp = revision;
        released = true;
        doneStored |= doneSent;
        List<WriteQueue.PendingWrite> unneeded = done.headStored(doneStored);
        if (!unneeded.isEmpty()) {
            watcher.toWrite(unneeded);
        }
        watcher.recordStored(this);
    }

    @Override
    public void onTooLarge() {
        if (done.moveToParts()) {
            watcher.toWrite(List.of(this));
        }
    }

    @Override
    public void onConflict(long revision) {
        runStamp = revision;
    }

    @Override
    public void onPreconditionFailed() {
        watcher.foundCancelled(this);
    }
}
