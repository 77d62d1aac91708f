package io.sillreel.pipeline;

/**
 * The checkpointing behaviour of a task.
 *
 * @param intervalMicros interval between periodic checkpoints; 0 if the task writes none
 * @param durationMicros time that a task takes to write a checkpoint when it is stopped
 */
public record Checkpointing(long intervalMicros, long durationMicros) {
    /** A task that takes longer to write a checkpoint is stopped without one. */
    private static final long MAX_DURATION_MICROS = 300_000_000;

    /** True if a task that is stopped with enough notice writes a checkpoint. */
    public boolean isSupported() {
        return intervalMicros > 0 && durationMicros <= MAX_DURATION_MICROS;
    }

    /** Returns how long a task may take to write a checkpoint when it is stopped; 0 if it writes none. */
    public long gracePeriodMicros() {
        return isSupported() ? durationMicros : 0;
    }
}
