package io.sillreel.pipeline;

import java.util.List;

/** Creates job specifications for tests. */
public final class JobSpecs {
    private static final long SECOND = 1_000_000;

    private JobSpecs() {}

    /** Returns a job of the given tasks that may run anywhere. */
    public static JobSpec spec(String uid, PriorityClass priorityClass, int tasks, TaskSpec task) {
        return new JobSpec(
                uid,
                "class",
                "team",
                new Urgency(priorityClass, -1),
                tasks,
                task,
                new PlacementRequirements(null, null, false, false, true),
                List.of());
    }

    /** Returns a task with 1 GB of memory and an image of 1 GB, that saves no checkpoints. */
    public static TaskSpec task(double cpus, long estimatedSeconds) {
        return new TaskSpec(cpus, 0, 1, "image", 1, estimatedSeconds * SECOND, new Checkpointing(0, 0));
    }
}
