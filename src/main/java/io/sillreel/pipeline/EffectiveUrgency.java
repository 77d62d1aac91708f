package io.sillreel.pipeline;

/**
 * How urgent a job is by itself and for the jobs that depend on it (priority inheritance). Guarded by the lock of the
 * cluster.
 */
final class EffectiveUrgency {
    private final Urgency own;
    private final long ownDeadlineWallMicros;
    private PriorityClass priorityClass;
    private long inheritedDeadlineMicros;

    /** @param admittedWallMicros when the job was admitted: its own deadline counts from then */
    EffectiveUrgency(Urgency own, long admittedWallMicros) {
        this.own = own;
        this.ownDeadlineWallMicros =
                own.deadlineMicros() < 0 ? Long.MAX_VALUE : admittedWallMicros + own.deadlineMicros();
        reset();
    }

    /** Forgets what was inherited. */
    void reset() {
        priorityClass = own.priorityClass();
        inheritedDeadlineMicros = Long.MAX_VALUE;
    }

    /** Inherits from a dependent job; true if that makes this job more urgent than before. */
    boolean inherit(PriorityClass dependentPriority, long deadlineWallMicros) {
        boolean isMoreUrgent = dependentPriority.isAbove(priorityClass) || deadlineWallMicros < inheritedDeadlineMicros;
        priorityClass = dependentPriority.isAbove(priorityClass) ? dependentPriority : priorityClass;
        inheritedDeadlineMicros = Math.min(inheritedDeadlineMicros, deadlineWallMicros);
        return isMoreUrgent;
    }

    PriorityClass priorityClass() {
        return priorityClass;
    }

    /** The earliest deadline that was inherited, time of day; {@link Long#MAX_VALUE} without one. */
    long inheritedDeadlineMicros() {
        return inheritedDeadlineMicros;
    }

    /** The earlier of the job's own and the inherited deadline, time of day. */
    long deadlineWallMicros() {
        return Math.min(inheritedDeadlineMicros, ownDeadlineWallMicros);
    }
}
