package io.sillreel.pipeline;

/**
 * The urgency of a job by its own submission and that inherited from its dependents (priority inheritance). Guarded by
 * the cluster lock.
 */
final class EffectiveUrgency {
    private final Urgency own;
    private final long ownDeadlineWallMicros;
    private PriorityClass priorityClass;
    private long inheritedDeadlineMicros;

    /** @param admittedWallMicros wall-clock time of the admission, to which the job's own deadline is relative */
    EffectiveUrgency(Urgency own, long admittedWallMicros) {
        this.own = own;
        this.ownDeadlineWallMicros =
                own.deadlineMicros() < 0 ? Long.MAX_VALUE : admittedWallMicros + own.deadlineMicros();
        reset();
    }

    /** Discards the inherited urgency. */
    void reset() {
        priorityClass = own.priorityClass();
        inheritedDeadlineMicros = Long.MAX_VALUE;
    }

    /** Inherits the urgency of a dependent job; returns true if this job became more urgent. */
    boolean inherit(PriorityClass dependentPriority, long deadlineWallMicros) {
        boolean isMoreUrgent = dependentPriority.isAbove(priorityClass) || deadlineWallMicros < inheritedDeadlineMicros;
        priorityClass = dependentPriority.isAbove(priorityClass) ? dependentPriority : priorityClass;
        inheritedDeadlineMicros = Math.min(inheritedDeadlineMicros, deadlineWallMicros);
        return isMoreUrgent;
    }

    PriorityClass priorityClass() {
        return priorityClass;
    }

    /** The earliest inherited wall-clock deadline; {@link Long#MAX_VALUE} without one. */
    long inheritedDeadlineMicros() {
        return inheritedDeadlineMicros;
    }

    /** The earlier of the job's own and its inherited wall-clock deadline. */
    long deadlineWallMicros() {
        return Math.min(inheritedDeadlineMicros, ownDeadlineWallMicros);
    }
}
