package io.sillreel.overload;

import io.sillreel.http.EventLoop;

/**
 * How late this process does what is due: a share of the processor that is too small shows here before anything else.
 */
public final class EventLoopLag {
    private static final long SAMPLE_INTERVAL_MICROS = 500_000;
    /** What was late fades by half in two to three looks, or seconds would pass before a calm process counts as one. */
    private static final int DECAY_DIVISOR = 4;

    private final EventLoop eventLoop;
    private long dueMicros;
    private long currentMicros;
    private long maxMicros;

    public EventLoopLag(EventLoop eventLoop) {
        this.eventLoop = eventLoop;
    }

    public void start() {
        dueMicros = eventLoop.nowMicros() + SAMPLE_INTERVAL_MICROS;
        eventLoop.schedule(SAMPLE_INTERVAL_MICROS, this::sample);
    }

    private void sample() {
        synchronized (this) {
            long late = Math.max(0, eventLoop.nowMicros() - dueMicros);
            currentMicros = Math.max(late, currentMicros - currentMicros / DECAY_DIVISOR);
            maxMicros = Math.max(maxMicros, late);
        }
        start();
    }

    /** How late timers are now, or were a moment ago. */
    public synchronized long currentMicros() {
        return currentMicros;
    }

    /** The latest that any was since the start. */
    public synchronized long maxMicros() {
        return maxMicros;
    }
}
