package io.sillreel.pipeline;

import java.util.BitSet;
import org.agrona.collections.Int2IntCounterMap;

/**
 * Which tasks of a job need no machine, since they are done or have an allocation. The counts are kept up to date with
 * the sets, since each heartbeat and each planning cycle asks for them. Guarded by the lock of the cluster.
 */
final class TaskOccupancy {
    private final int tasks;
    /** Allocations by task; a task may have two for a short time after a failover. */
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

    /** Takes over the tasks that are done according to the stored record. */
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
     * @param isDone true if the task is done: it stays occupied without an allocation
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

    /** The first task that is neither done nor allocated, or -1. */
    int nextWaitingTask() {
        int task = occupied.nextClearBit(0);
        return task < tasks ? task : -1;
    }

    int waitingCount() {
        return tasks - occupiedCount;
    }
}
