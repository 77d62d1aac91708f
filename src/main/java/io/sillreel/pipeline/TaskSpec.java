package io.sillreel.pipeline;

/**
 * What one task of a job array needs; all tasks of a job need the same.
 *
 * @param cpus processors that the task occupies
 * @param gpus accelerators that the task occupies
 * @param ramGb memory that the task occupies, in gigabytes
 * @param image name of the container image
 * @param imageGb size of the image in gigabytes
 * @param estimatedMicros the user's estimate of the run time of one task
 */
public record TaskSpec(
        double cpus,
        double gpus,
        double ramGb,
        String image,
        double imageGb,
        long estimatedMicros,
        Checkpointing checkpointing) {}
