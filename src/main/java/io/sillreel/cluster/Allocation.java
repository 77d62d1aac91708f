package io.sillreel.cluster;

import io.sillreel.agent.Heartbeat.TaskStage;
import io.sillreel.pipeline.ActiveJob;

/**
 * An attempt of a task that is, or may be, on a machine. While it is live it counts against the job's quota, and its
 * task is not launched elsewhere. Guarded by the lock of the {@link Cluster}.
 */
public final class Allocation {
    private final ActiveJob job;
    private final String uid;
    private final int taskIndex;
    private final long attempt;
    private final long launchSequence;
    private Machine machine;
    private TaskStage stage;
    private long runningSinceMicros = -1;
    private boolean isTaskAllocated;
    private boolean isStopping;
    private long gracePeriodMicros;
    private long acknowledgementSequence;

    private Allocation(ActiveJob job, String uid, int index, long attempt, long launchSequence, TaskStage stage) {
        this.job = job;
        this.uid = uid;
        this.taskIndex = index;
        this.attempt = attempt;
        this.launchSequence = launchSequence;
        this.stage = stage;
    }

    /**
     * Creates an allocation for a task that is being launched. It stays unconfirmed until a heartbeat shows the task.
     *
     * @param launchSequence sequence of the heartbeat whose response carries the launch command
     */
    public static Allocation launched(ActiveJob job, int index, long attempt, long launchSequence) {
        return new Allocation(job, job.uid(), index, attempt, launchSequence, null);
    }

    /**
     * Creates an allocation for a task that a heartbeat has shown, live or ended.
     *
     * @param job the job, or null if the leader no longer schedules it
     */
    public static Allocation discovered(ActiveJob job, String uid, int index, long attempt, TaskStage stage) {
        return new Allocation(job, uid, index, attempt, 0, stage);
    }

    /** Binds the allocation to its machine. From now on its task counts as allocated if it is live. */
    void bindTo(Machine newMachine) {
        machine = newMachine;
        if (job != null && !hasEnded()) {
            job.allocate(taskIndex);
            newMachine.allocationIndex().add(this);
            isTaskAllocated = true;
        }
    }

    /** Returns the machine, or null before the allocation is added to one. */
    public Machine machine() {
        return machine;
    }

    /**
     * Records that the task is certainly not live on its machine. Only an allocation that was live when it was bound
     * deallocates its task: one that was discovered as ended after a failover must not deallocate a task that already
     * runs elsewhere.
     */
    public void release() {
        if (isTaskAllocated) {
            job.deallocate(taskIndex);
            machine.allocationIndex().remove(this);
            isTaskAllocated = false;
        }
        machine.invalidateUsage();
    }

    /** Returns the job, or null if the leader no longer schedules it. */
    public ActiveJob job() {
        return job;
    }

    public String uid() {
        return uid;
    }

    public int taskIndex() {
        return taskIndex;
    }

    public long attempt() {
        return attempt;
    }

    /** Returns the sequence of the heartbeat whose response launched the task, 0 if a heartbeat showed it first. */
    public long launchSequence() {
        return launchSequence;
    }

    /** True until a heartbeat shows the task: the launch command may have been lost. */
    public boolean isUnconfirmed() {
        return stage == null;
    }

    /** Returns the stage that the last heartbeat showed, or null if the launch is unconfirmed. */
    public TaskStage stage() {
        return stage;
    }

    /** Records the stage in which a heartbeat shows the task. */
    public void updateStage(TaskStage newStage, long nowMicros) {
        if (newStage == TaskStage.RUNNING && runningSinceMicros < 0) {
            runningSinceMicros = nowMicros;
        }
        stage = newStage;
        if (hasEnded()) {
            machine.invalidateUsage();
        }
    }

    /** Returns when a heartbeat first showed the task running, in microseconds of the event loop, or -1. */
    public long runningSinceMicros() {
        return runningSinceMicros;
    }

    public boolean hasEnded() {
        return stage == TaskStage.ENDED;
    }

    /** True if the task is done, but its completion is not stored yet. */
    boolean hasUnstoredCompletion() {
        return job != null && !job.isCancelled() && job.isTaskDone(taskIndex) && !job.isTaskStored(taskIndex);
    }

    /**
     * Marks the task for stopping; the stop command is repeated until a heartbeat shows that the task has ended.
     *
     * @param gracePeriodMicros how long the task may take to save a checkpoint, in microseconds
     */
    public void stop(long gracePeriodMicros) {
        isStopping = true;
        this.gracePeriodMicros = gracePeriodMicros;
    }

    /** Records that the response to the heartbeat with the given sequence acknowledges the end of the task. */
    public void recordAcknowledgementSent(long sequence) {
        if (acknowledgementSequence == 0) {
            acknowledgementSequence = sequence;
        }
    }

    /** Returns the sequence of the first heartbeat whose response acknowledged the end of the task, or 0. */
    public long acknowledgementSequence() {
        return acknowledgementSequence;
    }

    /** True once the task is marked for stopping. */
    public boolean isStopping() {
        return isStopping;
    }

    /** Returns how long a task that is being stopped may take to save a checkpoint, in microseconds. */
    public long gracePeriodMicros() {
        return gracePeriodMicros;
    }
}
