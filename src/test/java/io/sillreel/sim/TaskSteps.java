package io.sillreel.sim;

import java.util.Comparator;

/** What tests bring about with tasks that run. */
public final class TaskSteps {
    private static final long SECOND = 1_000_000;

    private TaskSteps() {}

    /** Waits until so many tasks have started and all but those of the fullest machine, which run on, have ended. */
    public static String leaveTasksOnOneMachine(SimCluster world, int started) {
        world.untilStarted(started, 8 * SECOND);
        SimWorker chosen = world.cloud().machines().values().stream()
                .max(Comparator.comparingInt(worker -> worker.running().size()))
                .orElseThrow();
        chosen.prolong(300 * SECOND);
        world.until(() -> world.running() <= chosen.running().size());
        world.cloud().machines().values().forEach(worker -> worker.runMicros(3 * SECOND));
        world.seconds(1.5);
        return chosen.name();
    }
}
