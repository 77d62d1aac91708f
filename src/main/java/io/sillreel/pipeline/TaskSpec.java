package io.sillreel.pipeline;

/**
 * The resource requirements of one task of a job array; they are the same for all tasks of a job.
 *
 * @param cpus CPUs required by the task
 * @param gpus GPUs required by the task
 * @param ramGb memory required by the task, in gigabytes
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
