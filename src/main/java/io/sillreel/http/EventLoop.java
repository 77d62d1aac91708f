package io.sillreel.http;

/** Time and turns: the injected clock and timer of everything that decides. Tasks of one loop never overlap. */
public interface EventLoop {
    /** Steady time, whole microseconds since an arbitrary start. */
    long nowMicros();

    /** Time of day, whole microseconds since 1970; off by at most the skew given in the settings. */
    long wallMicros();

    Timer schedule(long delayMicros, Runnable task);

    default void execute(Runnable task) {
        schedule(0, task);
    }

    /** A task that has been scheduled and may still be taken back. */
    interface Timer {
        void cancel();
    }
}
