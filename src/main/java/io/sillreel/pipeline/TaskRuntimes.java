package io.sillreel.pipeline;

/** How long the tasks of a job ran that ended in this term. Guarded by the lock of the cluster. */
public final class TaskRuntimes {
    private int count;
    private long totalMicros;
    private long maxMicros;

    /** Adds the run time of a task that has ended. */
    public void add(long micros) {
        count++;
        totalMicros += micros;
        maxMicros = Math.max(maxMicros, micros);
    }

    /** How many tasks have been measured. */
    public int count() {
        return count;
    }

    /** The sum of all run times. */
    public long totalMicros() {
        return totalMicros;
    }

    /** The longest run time; 0 if none has been measured. */
    public long maxMicros() {
        return maxMicros;
    }
}
