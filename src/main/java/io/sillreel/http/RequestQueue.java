package io.sillreel.http;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.BooleanSupplier;

/**
 * Holds requests until the event loop handles them. Requests of users and of worker agents wait in separate queues that
 * are served alternately. Requests are handled in batches, between which the event loop processes I/O and timers: with
 * hundreds of workers and 5% of a core, handling all requests at once would take longer than the leader's lease, which
 * has to be renewed in the meantime.
 *
 * <p>A request whose client has closed the connection is dropped. Once the oldest request of a queue has waited so long
 * that its client is about to time out, the queue is served in LIFO order, since in FIFO order every response would be
 * slightly too late. Thread-safe; all state is guarded by {@code this}.
 */
public final class RequestQueue {
    /** The queue in which a request waits. */
    public enum RequestClass {
        /** Requests that are not queued, such as health checks. */
        IMMEDIATE,
        /** Requests of users, whose clients time out two seconds after a status query. */
        USERS,
        /** Messages of worker agents, which time out after four seconds. */
        WORKERS
    }

    private static final int MAX_BATCH_REQUESTS = 16;
    private static final long MAX_BATCH_MICROS = 20_000;
    /**
     * Age of the oldest request from which on a queue is served in LIFO order; below the two seconds of users' clients.
     */
    private static final long LIFO_THRESHOLD_MICROS = 1_000_000;

    /** Even with many requests waiting, a queue that is served takes several of them in this time. */
    private static final long STALLED_AFTER_MICROS = 3_000_000;

    private record QueuedRequest(long queuedAtMicros, int bytes, BooleanSupplier isClientWaiting, Runnable task) {}

    private final EventLoop eventLoop;
    private final long maxBytes;
    private final Deque<QueuedRequest> userRequests = new ArrayDeque<>();
    private final Deque<QueuedRequest> workerRequests = new ArrayDeque<>();
    private boolean workersNext;
    private boolean batchScheduled;
    /** When a request was last taken from the queue, or queued while no other was waiting. */
    private long lastProgressMicros;

    private long abandonedCount;
    private long queuedBytes;

    /**
     * @param maxBytes the maximum total size of the queued requests; further requests are refused, so that hundreds of
     *     large ones cannot exhaust the heap
     */
    public RequestQueue(EventLoop eventLoop, long maxBytes) {
        this.eventLoop = eventLoop;
        this.maxBytes = maxBytes;
    }

    /**
     * Queues a request, or handles it at once if its class is {@link RequestClass#IMMEDIATE}.
     *
     * @param bytes memory that the request holds while it waits
     * @param isClientWaiting false once the client has given up; the request is then dropped
     * @param task handles the request
     * @return false if the request was refused because the queue is full
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
            if (waitingCount() == 0) {
                lastProgressMicros = eventLoop.nowMicros();
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

    /** Handles a batch and schedules the next one, whatever happens to a request of this one. */
    private void runBatch() {
        boolean isQueueEmpty = false;
        try {
            isQueueEmpty = handleBatch();
        } finally {
            if (!isQueueEmpty) {
                // A task with a delay of zero would run before the event loop processes I/O again.
                eventLoop.schedule(1, this::runBatch);
            }
        }
    }

    /** Handles requests until the batch is full; returns true if none was left in the queue before. */
    private boolean handleBatch() {
        long startedMicros = eventLoop.nowMicros();
        for (int handled = 0;
                handled < MAX_BATCH_REQUESTS && eventLoop.nowMicros() - startedMicros < MAX_BATCH_MICROS;
                handled++) {
            QueuedRequest request = poll();
            if (request == null) {
                return true;
            }
            eventLoop.unexpectedErrors().runConfined("a queued request", request.task());
        }
        return false;
    }

    /** Removes and returns the next request to handle, or null if none is queued. */
    private synchronized QueuedRequest poll() {
        workersNext = !workersNext;
        QueuedRequest request = poll(workersNext ? workerRequests : userRequests);
        if (request == null) {
            request = poll(workersNext ? userRequests : workerRequests);
        }
        batchScheduled = request != null;
        lastProgressMicros = eventLoop.nowMicros();
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

    /** Returns true if requests are waiting and none has been taken from the queue for seconds. */
    public synchronized boolean isStalled() {
        return waitingCount() > 0 && eventLoop.nowMicros() - lastProgressMicros > STALLED_AFTER_MICROS;
    }

    /** Returns the number of requests dropped because their clients had given up. */
    public synchronized long abandonedCount() {
        return abandonedCount;
    }

    /** Returns the number of queued requests. */
    public synchronized int waitingCount() {
        return userRequests.size() + workerRequests.size();
    }
}
