package io.sillreel.sim;

import java.util.Comparator;

/** Test steps that control running tasks. */
public final class TaskSteps {
    private static final long SECOND = 1_000_000;

    private TaskSteps() {}

    /**
     * Waits until the given number of tasks have started and only those on the machine with the most tasks still run.
     * Returns the name of that machine.
     */
    public static String leaveTasksOnOneMachine(SimCluster cluster, int started) {
        cluster.runUntilStarted(started, 8 * SECOND);
        SimWorker busiestWorker = cluster.cloud().machines().values().stream()
                .max(Comparator.comparingInt(worker -> worker.runningTasks().size()))
                .orElseThrow();
        busiestWorker.extendRunningTasks(300 * SECOND);
        cluster.runUntil(
                () -> cluster.runningTaskCount() <= busiestWorker.runningTasks().size());
        cluster.cloud().machines().values().forEach(worker -> worker.setRunMicros(3 * SECOND));
        cluster.runSeconds(1.5);
        return busiestWorker.name();
    }
}
