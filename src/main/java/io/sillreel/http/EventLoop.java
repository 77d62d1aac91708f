package io.sillreel.http;

/**
 * The clock and the timers of a controller, injected so that tests can run in simulated time. Tasks of one event loop
 * never run at the same time; tasks may be scheduled from any thread.
 */
public interface EventLoop {
    /** Monotonic time in microseconds since an arbitrary start; not comparable between processes. */
    long nowMicros();

    /** Time of day in microseconds since 1970 UTC; its error is at most the clock skew given in the settings. */
    long wallMicros();

    /** Runs the task after the delay; an exception it throws is logged and ends only this task. */
    Timer schedule(long delayMicros, Runnable task);

    /** Runs the task as soon as possible, after the tasks that are due already. */
    default void execute(Runnable task) {
        schedule(0, task);
    }

    /** A scheduled task. */
    interface Timer {
        /** Keeps the task from running; without effect if it has run or been cancelled. */
        void cancel();
    }
}
