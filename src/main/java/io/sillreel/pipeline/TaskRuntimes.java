package io.sillreel.pipeline;

/** Run time statistics of the tasks of a job that ended in this term. Guarded by the cluster lock. */
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

    /** The number of run times added. */
    public int count() {
        return count;
    }

    /** The sum of all run times. */
    public long totalMicros() {
        return totalMicros;
    }

    /** The longest run time; 0 if none has been added. */
    public long maxMicros() {
        return maxMicros;
    }
}
