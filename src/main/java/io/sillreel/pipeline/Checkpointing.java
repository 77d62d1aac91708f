package io.sillreel.pipeline;

/**
 * How a task saves its progress.
 *
 * @param intervalMicros time between two regular checkpoints; 0 if the task writes none
 * @param durationMicros time that a task takes to write a checkpoint when it is stopped
 */
public record Checkpointing(long intervalMicros, long durationMicros) {
    /** True if a task saves its progress when it is stopped with enough notice. */
    public boolean isSupported() {
        return intervalMicros > 0;
    }
}
