package io.sillreel.placement;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * How much work users have brought lately: processors that would be busy for good if it went on like this. It is averaged
 * over slices of the last minutes without the one that brought most: what was there all at once, at the start of a day or
 * as one large job, is a backlog and no rate.
 */
public final class Demand {
    private static final long SLICE_MICROS = 25_000_000;
    private static final int SLICES = 6;
    private static final int LEAST_SLICES = 4;

    private record Arrival(long wallMicros, double cpuMicros) {
    }

    private final Deque<Arrival> arrivals = new ArrayDeque<>();
    private long firstMicros = -1;

    /** Work that was admitted at the time, in processor-microseconds. */
    public void arrived(long wallMicros, double cpuMicros) {
        arrivals.add(new Arrival(wallMicros, cpuMicros));
        if (firstMicros < 0 || wallMicros < firstMicros) {
            firstMicros = wallMicros;
        }
    }

    public double cpus(long wallMicros) {
        while (!arrivals.isEmpty() && arrivals.peek().wallMicros() <= wallMicros - SLICES * SLICE_MICROS) {
            arrivals.poll();
        }
        double[] slices = new double[SLICES];
        double sum = 0;
        double most = 0;
        for (Arrival arrival : arrivals) {
            int slice = (int) Math.max(0, Math.min(SLICES - 1, (wallMicros - arrival.wallMicros()) / SLICE_MICROS));
            slices[slice] += arrival.cpuMicros();
            sum += arrival.cpuMicros();
            most = Math.max(most, slices[slice]);
        }
        long seen = Math.min(SLICES, 1 + (wallMicros - firstMicros) / SLICE_MICROS);
        // Too little is known at first: then a backlog is as good a guess as any of what will come.
        return seen < LEAST_SLICES ? sum / (SLICES * SLICE_MICROS) : (sum - most) / ((seen - 1) * SLICE_MICROS);
    }
}
