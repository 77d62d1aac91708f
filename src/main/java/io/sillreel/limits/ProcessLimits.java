package io.sillreel.limits;

import io.sillreel.settings.Settings;

/**
 * The bounds of one controller that follow from its memory and its sockets. Nothing that grows with the fleet or with
 * the number of jobs is bounded by a constant: what there is to hold decides, and {@code docs/scale.md} lists each
 * bound with what happens beyond it.
 *
 * @param maxHeapBytes size that the heap may grow to, in bytes
 * @param maxSockets open sockets that the platform allows
 * @param otherControllers number of the other controllers of the deployment
 */
public record ProcessLimits(long maxHeapBytes, int maxSockets, int otherControllers) {
    /** The part of the heap that remembered jobs may take. */
    private static final int REMEMBERED_PART = 8;
    /** A remembered job with its texts and its place in the map. */
    private static final int REMEMBERED_JOB_BYTES = 600;

    private static final int MIN_REMEMBERED_JOBS = 4_000;
    /** The part of the heap that requests may take which wait for their turn. */
    private static final int WAITING_PART = 12;

    private static final int MIN_WAITING_BYTES = 1 << 20;
    /** The part of the heap that recent changes may take. */
    private static final int RECENT_CHANGES_PART = 24;
    /** The part of the heap that one answer may take; the tree that is read from it takes ten times as much. */
    private static final int ANSWER_PART = 20;

    /** The largest page of the state service and its frame. */
    private static final int MIN_ANSWER_BYTES = 1 << 20;

    /** Of all sockets: the rest is for what this controller asks others. */
    private static final double PUBLIC_PART = 0.75;
    /** Of the public ones: the rest is for users and health checks. */
    private static final double WORKERS_PART = 0.9;

    private static final int MIN_INTERNAL_CONNECTIONS = 100;
    /** Batches, greetings and cancellations of one other controller, and as many that it has given up. */
    private static final int CONNECTIONS_PER_PEER = 12;

    /** The limits of a process with that heap under those settings. */
    public static ProcessLimits of(Settings settings, long heapBytes) {
        return new ProcessLimits(
                heapBytes, settings.resources().maxSockets(), settings.members().size());
    }

    /** How many jobs a controller remembers as it last saw them. */
    public int cachedJobStatuses() {
        return (int) Math.max(MIN_REMEMBERED_JOBS, maxHeapBytes / REMEMBERED_PART / REMEMBERED_JOB_BYTES);
    }

    /** What the requests that wait for their turn may hold in all. */
    public long queuedRequestBytes() {
        return Math.max(MIN_WAITING_BYTES, maxHeapBytes / WAITING_PART);
    }

    /** What the last changes of the state service may take that a controller remembers. */
    public long recentChangeBytes() {
        return maxHeapBytes / RECENT_CHANGES_PART;
    }

    /** The largest answer that is taken in. */
    public int maxResponseBytes() {
        return (int) Math.min(Integer.MAX_VALUE / 2, Math.max(MIN_ANSWER_BYTES, maxHeapBytes / ANSWER_PART));
    }

    /** Connections of users, workers and health checks. */
    public int maxPublicConnections() {
        return (int) (maxSockets * PUBLIC_PART);
    }

    /** Of the public connections those that workers may have. */
    public int maxWorkerConnections() {
        return (int) (maxPublicConnections() * WORKERS_PART);
    }

    /** Connections of other controllers and of operators. */
    public int maxInternalConnections() {
        return Math.max(MIN_INTERNAL_CONNECTIONS, CONNECTIONS_PER_PEER * otherControllers);
    }
}
