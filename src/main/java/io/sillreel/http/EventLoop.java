package io.sillreel.http;

/**
 * Clock and timers of a controller, injected so that tests can run in simulated time. The tasks of an event loop never
 * run concurrently; they may be scheduled from any thread.
 */
public interface EventLoop {
    /** Monotonic time in microseconds since an arbitrary origin; not comparable between processes. */
    long nowMicros();

    /**
     * Wall-clock time in microseconds since the Unix epoch; its error is at most the clock skew given in the settings.
     */
    long wallMicros();

    /**
     * Runs the task after the delay; an error in it is reported to {@link #unexpectedErrors} and ends only this task.
     */
    Timer schedule(long delayMicros, Runnable task);

    /** Runs the task as soon as possible, after the tasks that are due already. */
    default void execute(Runnable task) {
        schedule(0, task);
    }

    /** Where the work of this event loop reports errors that it did not expect. */
    UnexpectedErrors unexpectedErrors();

    /** A scheduled task. */
    interface Timer {
        /** Cancels the task; has no effect if it has already run or been cancelled. */
        void cancel();
    }
}
