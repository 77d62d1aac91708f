package io.sillreel.cluster;

import io.sillreel.agent.Heartbeat.TaskStage;
import io.sillreel.pipeline.ActiveJob;

/** A task that is, or may be, on a machine. */
public final class Allocation {
    private final ActiveJob job;
    private final String uid;
    private final int taskIndex;
    private final long attempt;
    private final long launchSequence;
    private Machine machine;
    private TaskStage stage;
    private long runningSinceMicros = -1;
    private boolean isTaskHeld;
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

    /** A launch that rides the response to the report with the given sequence. */
    public static Allocation launched(ActiveJob job, int index, long attempt, long launchSequence) {
        return new Allocation(job, job.uid(), index, attempt, launchSequence, null);
    }

    /** A task found in a report, alive or not. The job is null if it isn't driven any more. */
    public static Allocation discovered(ActiveJob job, String uid, int index, long attempt, TaskStage stage) {
        return new Allocation(job, uid, index, attempt, 0, stage);
    }

    /** The machine takes the allocation in: from now on a live one holds its task. */
    void bindTo(Machine on) {
        machine = on;
        if (job != null && !hasEnded()) {
            job.allocate(taskIndex);
            on.allocationIndex().add(this);
            isTaskHeld = true;
        }
    }

    public Machine machine() {
        return machine;
    }

    /**
     * It is certainly not alive. Only an allocation that held its task frees it: an ended one that is found after a
     * takeover must not free a task that by then runs elsewhere.
     */
    public void release() {
        if (isTaskHeld) {
            job.deallocate(taskIndex);
            machine.allocationIndex().remove(this);
            isTaskHeld = false;
        }
        machine.invalidateUsage();
    }

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

    public long launchSequence() {
        return launchSequence;
    }

    /** True as long as no report has shown the task: the launch may not have happened. */
    public boolean isUnconfirmed() {
        return stage == null;
    }

    public TaskStage stage() {
        return stage;
    }

    /** Takes note of the state in which a report shows the task. */
    public void updateStage(TaskStage newStage, long nowMicros) {
        if (newStage == TaskStage.RUNNING && runningSinceMicros < 0) {
            runningSinceMicros = nowMicros;
        }
        stage = newStage;
        if (hasEnded()) {
            machine.invalidateUsage();
        }
    }

    /** When the task was first seen running, or -1. */
    public long runningSinceMicros() {
        return runningSinceMicros;
    }

    public boolean hasEnded() {
        return stage == TaskStage.ENDED;
    }

    /** True if the task is done and that is known only here and to its machine, not yet to the store. */
    boolean hasUnstoredCompletion() {
        return job != null && !job.isCancelled() && job.isTaskDone(taskIndex) && !job.isTaskStored(taskIndex);
    }

    public void stop(long windDownMicros) {
        isStopping = true;
        gracePeriodMicros = windDownMicros;
    }

    /** The machine is told, in the answer to the report with the given sequence, to forget the ended task. */
    public void recordAcknowledgementSent(long sequence) {
        if (acknowledgementSequence == 0) {
            acknowledgementSequence = sequence;
        }
    }

    /** The report whose answer first said so, or 0. */
    public long acknowledgementSequence() {
        return acknowledgementSequence;
    }

    public boolean isStopping() {
        return isStopping;
    }

    public long gracePeriodMicros() {
        return gracePeriodMicros;
    }
}
