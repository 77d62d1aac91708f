package io.sillreel.limits;

import io.sillreel.settings.Settings;

/**
 * The limits of one controller that follow from its heap and its sockets. Nothing that grows with the fleet or with the
 * number of jobs is limited by a constant; {@code docs/scale.md} lists each limit with the behaviour once it is
 * exceeded. Immutable.
 *
 * @param maxHeapBytes maximum heap size in bytes
 * @param maxSockets number of open sockets that the platform allows
 * @param otherControllers number of the other controllers of the deployment
 */
public record ProcessLimits(long maxHeapBytes, int maxSockets, int otherControllers) {
    /** Cached job statuses may use one eighth of the heap. */
    private static final int CACHED_STATUSES_HEAP_DIVISOR = 8;
    /** Size of a cached job status including its strings and its map entry. */
    private static final int CACHED_STATUS_BYTES = 600;

    private static final int MIN_CACHED_STATUSES = 4_000;
    /** Queued requests may use one twelfth of the heap. */
    private static final int QUEUED_REQUESTS_HEAP_DIVISOR = 12;

    private static final int MIN_QUEUED_REQUEST_BYTES = 1 << 20;
    /** Retained recent changes of the state service may use one 24th of the heap. */
    private static final int RECENT_CHANGES_HEAP_DIVISOR = 24;
    /** One response may use a twentieth of the heap; the JSON tree parsed from it takes ten times its size. */
    private static final int RESPONSE_HEAP_DIVISOR = 20;
    /** The largest page of the state service including its framing. */
    private static final int MIN_RESPONSE_BYTES = 1 << 20;

    /** Fraction of all sockets for incoming public connections; the rest is for outgoing requests. */
    private static final double PUBLIC_FRACTION = 0.75;
    /** Fraction of the public connections for workers; the rest is for users and health checks. */
    private static final double WORKERS_FRACTION = 0.9;

    private static final int MIN_INTERNAL_CONNECTIONS = 100;
    /**
     * Connections of another controller for heartbeat batches, hellos and cancellations, and as many again that it has
     * abandoned after a timeout.
     */
    private static final int CONNECTIONS_PER_CONTROLLER = 12;

    /** Returns the limits of a process with the given settings and maximum heap size. */
    public static ProcessLimits of(Settings settings, long heapBytes) {
        return new ProcessLimits(
                heapBytes, settings.resources().maxSockets(), settings.members().size());
    }

    /** The number of job statuses that a controller caches. */
    public int cachedJobStatuses() {
        return (int) Math.max(MIN_CACHED_STATUSES, maxHeapBytes / CACHED_STATUSES_HEAP_DIVISOR / CACHED_STATUS_BYTES);
    }

    /** The total size of all queued requests, in bytes. */
    public long queuedRequestBytes() {
        return Math.max(MIN_QUEUED_REQUEST_BYTES, maxHeapBytes / QUEUED_REQUESTS_HEAP_DIVISOR);
    }

    /** The total size of the recent state service changes that a controller retains, in bytes. */
    public long recentChangeBytes() {
        return maxHeapBytes / RECENT_CHANGES_HEAP_DIVISOR;
    }

    /** The size of the largest response that is accepted, in bytes. */
    public int maxResponseBytes() {
        return (int)
                Math.min(Integer.MAX_VALUE / 2, Math.max(MIN_RESPONSE_BYTES, maxHeapBytes / RESPONSE_HEAP_DIVISOR));
    }

    /** The number of connections of users, workers and health checks. */
    public int maxPublicConnections() {
        return (int) (maxSockets * PUBLIC_FRACTION);
    }

    /** The number of public connections that workers may have. */
    public int maxWorkerConnections() {
        return (int) (maxPublicConnections() * WORKERS_FRACTION);
    }

    /** The number of connections of other controllers and of operators. */
    public int maxInternalConnections() {
        return Math.max(MIN_INTERNAL_CONNECTIONS, CONNECTIONS_PER_CONTROLLER * otherControllers);
    }
}
