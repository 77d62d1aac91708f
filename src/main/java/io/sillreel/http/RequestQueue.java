package io.sillreel.http;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.BooleanSupplier;

/**
 * Holds requests until the event loop handles them. Requests of users and of workers wait in separate queues that are
 * served alternately. Only a slice of the requests is handled before the event loop processes the network and timers
 * again: with hundreds of workers and 5% of a core, handling all of them in one go would take longer than the leader's
 * lease lasts, which has to be renewed meanwhile.
 *
 * <p>A request whose client has closed the connection is dropped. Once the oldest request of a queue has waited so long
 * that its client is about to time out, the newest is served first, since in order of arrival every response would come
 * just too late. Thread-safe; all state is guarded by this.
 */
public final class RequestQueue {
    /** The queue in which a request waits. */
    public enum RequestClass {
        /** Does not wait, such as a health check. */
        IMMEDIATE,
        /** Requests of users; their clients wait two seconds for a status. */
        USERS,
        /** Messages of worker agents, which wait four seconds. */
        WORKERS
    }

    private static final int MAX_REQUESTS_PER_SLICE = 16;
    private static final long MAX_SLICE_MICROS = 20_000;
    /** Below the two seconds after which users' clients time out. */
    private static final long NEWEST_FIRST_AFTER_MICROS = 1_000_000;

    private record WaitingRequest(long queuedAtMicros, int bytes, BooleanSupplier isWanted, Runnable work) {}

    private final EventLoop eventLoop;
    private final long maxBytes;
    private final Deque<WaitingRequest> users = new ArrayDeque<>();
    private final Deque<WaitingRequest> workers = new ArrayDeque<>();
    private boolean workersNext;
    private boolean sliceScheduled;
    private long abandonedCount;
    private long bytesWaiting;

    /**
     * @param maxBytes the total size of the waiting requests beyond which more are refused, so that hundreds of large
     *     ones cannot fill the heap
     */
    public RequestQueue(EventLoop eventLoop, long maxBytes) {
        this.eventLoop = eventLoop;
        this.maxBytes = maxBytes;
    }

    /**
     * Queues the work of a request, or does it at once if the class is {@link RequestClass#IMMEDIATE}.
     *
     * @param bytes memory that the request holds while it waits
     * @param isWanted false once the client has given up; the work is then not done
     * @return false if the request was refused because too much waits already
     */
    public boolean enqueue(RequestClass requestClass, int bytes, BooleanSupplier isWanted, Runnable work) {
        if (requestClass == RequestClass.IMMEDIATE) {
            work.run();
            return true;
        }
        synchronized (this) {
            if (bytesWaiting + bytes > maxBytes) {
                return false;
            }
            bytesWaiting += bytes;
            (requestClass == RequestClass.USERS ? users : workers)
                    .add(new WaitingRequest(eventLoop.nowMicros(), bytes, isWanted, work));
            if (sliceScheduled) {
                return true;
            }
            sliceScheduled = true;
        }
        eventLoop.schedule(0, this::runSlice);
        return true;
    }

    private void runSlice() {
        long startedMicros = eventLoop.nowMicros();
        for (int handled = 0;
                handled < MAX_REQUESTS_PER_SLICE && eventLoop.nowMicros() - startedMicros < MAX_SLICE_MICROS;
                handled++) {
            WaitingRequest request = next();
            if (request == null) {
                return;
            }
            request.work().run();
        }
        // A task with a delay of zero would run before the event loop processes the network again.
        eventLoop.schedule(1, this::runSlice);
    }

    /** Removes the next request to be handled, or returns null if none waits. */
    private synchronized WaitingRequest next() {
        workersNext = !workersNext;
        WaitingRequest request = next(workersNext ? workers : users);
        if (request == null) {
            request = next(workersNext ? users : workers);
        }
        sliceScheduled = request != null;
        return request;
    }

    private WaitingRequest next(Deque<WaitingRequest> queue) {
        while (!queue.isEmpty()) {
            WaitingRequest oldest = queue.peekFirst();
            boolean isLate = eventLoop.nowMicros() - oldest.queuedAtMicros() > NEWEST_FIRST_AFTER_MICROS;
            boolean isOldestWanted = oldest.isWanted().getAsBoolean();
            WaitingRequest request = isLate && isOldestWanted ? queue.pollLast() : queue.pollFirst();
            bytesWaiting -= request.bytes();
            if (isOldestWanted && request.isWanted().getAsBoolean()) {
                return request;
            }
            abandonedCount++;
        }
        return null;
    }

    /** The number of requests dropped because their clients had given up. */
    public synchronized long abandonedCount() {
        return abandonedCount;
    }

    /** The number of requests that wait. */
    public synchronized int waitingCount() {
        return users.size() + workers.size();
    }
}
