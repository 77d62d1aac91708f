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

    private static final int MAX_BATCH_REQUESTS = 16;
    private static final long MAX_BATCH_MICROS = 20_000;
    /** Below the two seconds after which users' clients time out. */
    private static final long LIFO_THRESHOLD_MICROS = 1_000_000;

    private record QueuedRequest(long queuedAtMicros, int bytes, BooleanSupplier isClientWaiting, Runnable task) {}

    private final EventLoop eventLoop;
    private final long maxBytes;
    private final Deque<QueuedRequest> userRequests = new ArrayDeque<>();
    private final Deque<QueuedRequest> workerRequests = new ArrayDeque<>();
    private boolean workersNext;
    private boolean batchScheduled;
    private long abandonedCount;
    private long queuedBytes;

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
     * @param isClientWaiting false once the client has given up; the work is then not done
     * @return false if the request was refused because too much waits already
     */
    public boolean enqueue(RequestClass requestClass, int bytes, BooleanSupplier isClientWaiting, Runnable task) {
        if (requestClass == RequestClass.IMMEDIATE) {
            task.run();
            return true;
        }
        synchronized (this) {
            if (queuedBytes + bytes > maxBytes) {
                return false;
            }
            queuedBytes += bytes;
            (requestClass == RequestClass.USERS ? userRequests : workerRequests)
                    .add(new QueuedRequest(eventLoop.nowMicros(), bytes, isClientWaiting, task));
            if (batchScheduled) {
                return true;
            }
            batchScheduled = true;
        }
        eventLoop.schedule(0, this::runBatch);
        return true;
    }

    private void runBatch() {
        long startedMicros = eventLoop.nowMicros();
        for (int handled = 0;
                handled < MAX_BATCH_REQUESTS && eventLoop.nowMicros() - startedMicros < MAX_BATCH_MICROS;
                handled++) {
            QueuedRequest request = poll();
            if (request == null) {
                return;
            }
            request.task().run();
        }
        // A task with a delay of zero would run before the event loop processes the network again.
        eventLoop.schedule(1, this::runBatch);
    }

    /** Removes the next request to be handled, or returns null if none waits. */
    private synchronized QueuedRequest poll() {
        workersNext = !workersNext;
        QueuedRequest request = poll(workersNext ? workerRequests : userRequests);
        if (request == null) {
            request = poll(workersNext ? userRequests : workerRequests);
        }
        batchScheduled = request != null;
        return request;
    }

    private QueuedRequest poll(Deque<QueuedRequest> queue) {
        while (!queue.isEmpty()) {
            QueuedRequest oldest = queue.peekFirst();
            boolean isOldestOverdue = eventLoop.nowMicros() - oldest.queuedAtMicros() > LIFO_THRESHOLD_MICROS;
            boolean isOldestClientWaiting = oldest.isClientWaiting().getAsBoolean();
            QueuedRequest request = isOldestOverdue && isOldestClientWaiting ? queue.pollLast() : queue.pollFirst();
            queuedBytes -= request.bytes();
            if (isOldestClientWaiting && request.isClientWaiting().getAsBoolean()) {
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
        return userRequests.size() + workerRequests.size();
    }
}
