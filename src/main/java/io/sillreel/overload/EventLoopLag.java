package io.sillreel.overload;

import io.sillreel.http.EventLoop;

/**
 * How late this process does what is due: a share of the processor that is too small shows here before anything else.
 */
public final class EventLoopLag {
    private static final long EVERY_MICROS = 500_000;
    /** What was late fades by half in two to three looks, or seconds would pass before a calm process counts as one. */
    private static final int FADING = 4;

    private final EventLoop loop;
    private long dueMicros;
    private long micros;
    private long mostMicros;

    public EventLoopLag(EventLoop loop) {
        this.loop = loop;
    }

    public void start() {
        dueMicros = loop.nowMicros() + EVERY_MICROS;
        loop.after(EVERY_MICROS, this::look);
    }

    private void look() {
        synchronized (this) {
            long late = Math.max(0, loop.nowMicros() - dueMicros);
            micros = Math.max(late, micros - micros / FADING);
            mostMicros = Math.max(mostMicros, late);
        }
        start();
    }

    /** How late timers are now, or were a moment ago. */
    public synchronized long micros() {
        return micros;
    }

    /** The latest that any was since the start. */
    public synchronized long mostMicros() {
        return mostMicros;
    }
}
