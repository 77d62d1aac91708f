package io.sillreel.overload;

import io.sillreel.http.EventLoop;

/**
 * Measures how late timers of the event loop run, which is the first sign of CPU starvation of this process.
 * Thread-safe; the lags are guarded by {@code this}.
 */
public final class EventLoopLag {
    private static final long SAMPLE_INTERVAL_MICROS = 500_000;
    /** The lag decays by a quarter with each sample, so that it falls within seconds once timers run on time again. */
    private static final int DECAY_DIVISOR = 4;

    private final EventLoop eventLoop;
    private long dueMicros;
    private long currentMicros;
    private long maxMicros;

    public EventLoopLag(EventLoop eventLoop) {
        this.eventLoop = eventLoop;
    }

    /** Starts sampling. */
    public void start() {
        dueMicros = eventLoop.nowMicros() + SAMPLE_INTERVAL_MICROS;
        eventLoop.schedule(SAMPLE_INTERVAL_MICROS, this::sample);
    }

    private void sample() {
        synchronized (this) {
            long lagMicros = Math.max(0, eventLoop.nowMicros() - dueMicros);
            currentMicros = Math.max(lagMicros, currentMicros - currentMicros / DECAY_DIVISOR);
            maxMicros = Math.max(maxMicros, lagMicros);
        }
        start();
    }

    /** Returns the decaying maximum of recent lags in microseconds. */
    public synchronized long currentMicros() {
        return currentMicros;
    }

    /** Returns the largest lag since the process started, in microseconds. */
    public synchronized long maxMicros() {
        return maxMicros;
    }
}
