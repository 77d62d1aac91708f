package io.sillreel.placement;

import java.util.ArrayDeque;
import java.util.Deque;

/** How much work users have brought lately: processors that would be busy for good if it went on like this. */
public final class DemandEstimator {
    private static final long WINDOW_MICROS = 150_000_000;
    private static final long MIN_WINDOW_MICROS = 100_000_000;

    private record Arrival(long wallMicros, double cpuMicros) {}

    private final Deque<Arrival> arrivals = new ArrayDeque<>();
    private double sum;
    private long firstMicros = -1;

    /** True if what was admitted then is not yet forgotten. */
    public static boolean isWithinWindow(long admittedWallMicros, long wallMicros) {
        return admittedWallMicros >= wallMicros - WINDOW_MICROS;
    }

    /** Work that was admitted at the time, in processor-microseconds. */
    public void recordArrival(long wallMicros, double cpuMicros) {
        arrivals.add(new Arrival(wallMicros, cpuMicros));
        sum += cpuMicros;
        if (firstMicros < 0 || wallMicros < firstMicros) {
            firstMicros = wallMicros;
        }
    }

    /** Returns the processors that work arriving at the recent rate keeps busy. */
    public double cpus(long wallMicros) {
        while (!arrivals.isEmpty() && !isWithinWindow(arrivals.peek().wallMicros(), wallMicros)) {
            sum -= arrivals.poll().cpuMicros();
        }
        if (arrivals.isEmpty()) {
            return 0;
        }
        long window = Math.max(MIN_WINDOW_MICROS, Math.min(WINDOW_MICROS, wallMicros - firstMicros));
        return Math.max(0, sum) / window;
    }
}
