package io.sillreel.sim;

import java.util.Comparator;

/** What tests bring about with tasks that run. */
public final class TaskSteps {
    private static final long SECOND = 1_000_000;

    private TaskSteps() {}

    /** Waits until so many tasks have started and all but those of the fullest machine, which run on, have ended. */
    public static String leaveTasksOnOneMachine(SimCluster cluster, int started) {
        cluster.runUntilStarted(started, 8 * SECOND);
        SimWorker chosen = cluster.cloud().machines().values().stream()
                .max(Comparator.comparingInt(worker -> worker.runningTasks().size()))
                .orElseThrow();
        chosen.extendRunningTasks(300 * SECOND);
        cluster.runUntil(
                () -> cluster.runningTaskCount() <= chosen.runningTasks().size());
        cluster.cloud().machines().values().forEach(worker -> worker.setRunMicros(3 * SECOND));
        cluster.runSeconds(1.5);
        return chosen.name();
    }
}
