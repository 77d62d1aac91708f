package io.sillreel.placement;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Estimates from the arrivals in a sliding window how many CPUs stay busy if work keeps arriving at the same rate.
 * Guarded by the cluster lock.
 */
public final class DemandEstimator {
    private static final long WINDOW_MICROS = 150_000_000;
    /** Arrivals are averaged over at least this time, so that an initial burst is not taken for lasting demand. */
    private static final long MIN_WINDOW_MICROS = 100_000_000;

    private record Arrival(long wallMicros, double cpuMicros) {}

    private final Deque<Arrival> arrivals = new ArrayDeque<>();
    private double totalCpuMicros;
    private long firstArrivalMicros = -1;

    /** Returns true if work admitted at {@code admittedWallMicros} still counts at {@code wallMicros}. */
    public static boolean isWithinWindow(long admittedWallMicros, long wallMicros) {
        return admittedWallMicros >= wallMicros - WINDOW_MICROS;
    }

    /**
     * Records the arrival of work.
     *
     * @param wallMicros time of day of the arrival
     * @param cpuMicros the work in CPU-microseconds
     */
    public void recordArrival(long wallMicros, double cpuMicros) {
        arrivals.add(new Arrival(wallMicros, cpuMicros));
        totalCpuMicros += cpuMicros;
        if (firstArrivalMicros < 0 || wallMicros < firstArrivalMicros) {
            firstArrivalMicros = wallMicros;
        }
    }

    /** Returns the CPUs that work arriving at the recent rate keeps busy; evicts arrivals that have left the window. */
    public double cpus(long wallMicros) {
        while (!arrivals.isEmpty() && !isWithinWindow(arrivals.peek().wallMicros(), wallMicros)) {
            totalCpuMicros -= arrivals.poll().cpuMicros();
        }
        if (arrivals.isEmpty()) {
            // Rounding errors of the sum must not be taken for demand.
            totalCpuMicros = 0;
            return 0;
        }
        long windowMicros = Math.max(MIN_WINDOW_MICROS, Math.min(WINDOW_MICROS, wallMicros - firstArrivalMicros));
        return Math.max(0, totalCpuMicros) / windowMicros;
    }
}
