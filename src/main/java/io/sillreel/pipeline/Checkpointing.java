package io.sillreel.pipeline;

/**
 * The checkpointing behaviour of a task.
 *
 * @param intervalMicros interval between periodic checkpoints; 0 if the task writes none
 * @param durationMicros time that a task takes to write a checkpoint when it is stopped
 */
public record Checkpointing(long intervalMicros, long durationMicros) {
    /** True if a task that is stopped with enough notice writes a checkpoint. */
    public boolean isSupported() {
        return intervalMicros > 0;
    }
}
