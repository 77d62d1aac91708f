package io.sillreel.pipeline;

import java.util.BitSet;
import org.agrona.collections.Int2IntCounterMap;

/**
 * Tracks the occupied tasks of a job, that is, those that need no machine because they are done or have an allocation.
 * Counters are maintained along with the sets, since every heartbeat and every planning cycle reads them. Guarded by
 * the cluster lock.
 */
final class TaskOccupancy {
    private final int tasks;
    /** Number of allocations by task; a task may have two for a short time after a failover. */
    private final Int2IntCounterMap allocations = new Int2IntCounterMap(0);

    private final BitSet allocated = new BitSet();
    /** Tasks that are done or have an allocation. */
    private final BitSet occupied = new BitSet();

    private int allocatedCount;
    private int occupiedCount;

    /** @param tasks the number of tasks of the job */
    TaskOccupancy(int tasks) {
        this.tasks = tasks;
    }

    /** Restores the tasks that are done according to the stored record. */
    void inherit(StoredCompletionBitmap done) {
        done.addDoneTasksTo(occupied);
        occupiedCount = done.count();
    }

    void markDone(int task) {
        occupy(task);
    }

    /** Adds an allocation of the task. */
    void allocate(int task) {
        allocations.incrementAndGet(task);
        if (!allocated.get(task)) {
            allocated.set(task);
            allocatedCount++;
            occupy(task);
        }
    }

    private void occupy(int task) {
        if (!occupied.get(task)) {
            occupied.set(task);
            occupiedCount++;
        }
    }

    /**
     * Removes an allocation of the task.
     *
     * @param isDone true if the task is done, in which case it stays occupied
     */
    void deallocate(int task, boolean isDone) {
        if (allocations.decrementAndGet(task) > 0) {
            return;
        }
        allocations.remove(task);
        if (allocated.get(task)) {
            allocated.clear(task);
            allocatedCount--;
            if (!isDone) {
                occupied.clear(task);
                occupiedCount--;
            }
        }
    }

    boolean isAllocated(int task) {
        return allocated.get(task);
    }

    int allocatedCount() {
        return allocatedCount;
    }

    /** The lowest index of a task that is neither done nor allocated, or -1. */
    int nextWaitingTask() {
        int task = occupied.nextClearBit(0);
        return task < tasks ? task : -1;
    }

    int waitingCount() {
        return tasks - occupiedCount;
    }
}
