package io.sillreel.http;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.BooleanSupplier;

/**
 * Requests wait here for their turn on the loop, users and the crowd in lines of their own that take turns. Between two
 * looks at the network and at the timers only a slice of them is taken up: with hundreds of workers at the door and a
 * twentieth of a core, one round over all of them would last longer than the lease that is to be renewed meanwhile.
 *
 * <p>Whoever has given up is passed over. Once the line is so long that whoever has waited longest is about to give up,
 * the newest go first: else everybody would be served a moment too late.
 */
public final class RequestQueue {
    /** Where a request waits; what is asked to see whether this process is alive does not wait. */
    public enum RequestClass {
        IMMEDIATE,
        USERS,
        WORKERS
    }

    private static final int MAX_REQUESTS_PER_SLICE = 16;
    private static final long MAX_SLICE_MICROS = 20_000;
    /** Users wait two seconds for an answer to a question, workers four. */
    private static final long NEWEST_FIRST_AFTER_MICROS = 1_000_000;

    private record WaitingRequest(long sinceMicros, int bytes, BooleanSupplier wanted, Runnable work) {}

    private final EventLoop eventLoop;
    private final long maxBytes;
    private final Deque<WaitingRequest> users = new ArrayDeque<>();
    private final Deque<WaitingRequest> workers = new ArrayDeque<>();
    private boolean workersNext;
    private boolean sliceScheduled;
    private long abandonedCount;
    private long bytesWaiting;

    /**
     * @param maxBytes what the waiting requests may hold in all; beyond that they are refused, or hundreds of large
     *     ones would fill the heap
     */
    public RequestQueue(EventLoop eventLoop, long maxBytes) {
        this.eventLoop = eventLoop;
        this.maxBytes = maxBytes;
    }

    /**
     * Does the work when its turn comes, unless nobody wants it any more by then.
     *
     * @param bytes what the request holds until then
     * @return false if too much waits already: the work is not done
     */
    public boolean enqueue(RequestClass requestClass, int bytes, BooleanSupplier wanted, Runnable work) {
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
                    .add(new WaitingRequest(eventLoop.nowMicros(), bytes, wanted, work));
            if (sliceScheduled) {
                return true;
            }
            sliceScheduled = true;
        }
        eventLoop.schedule(0, this::runSlice);
        return true;
    }

    private void runSlice() {
        long begun = eventLoop.nowMicros();
        for (int done = 0; done < MAX_REQUESTS_PER_SLICE && eventLoop.nowMicros() - begun < MAX_SLICE_MICROS; done++) {
            WaitingRequest request = next();
            if (request == null) {
                return;
            }
            request.work().run();
        }
        // Not at once: a timer, however short, lets the network be looked at first.
        eventLoop.schedule(1, this::runSlice);
    }

    private synchronized WaitingRequest next() {
        workersNext = !workersNext;
        WaitingRequest request = next(workersNext ? workers : users);
        if (request == null) {
            request = next(workersNext ? users : workers);
        }
        sliceScheduled = request != null;
        return request;
    }

    private WaitingRequest next(Deque<WaitingRequest> line) {
        while (!line.isEmpty()) {
            boolean behind = eventLoop.nowMicros() - line.peekFirst().sinceMicros() > NEWEST_FIRST_AFTER_MICROS;
            boolean gone = !line.peekFirst().wanted().getAsBoolean();
            WaitingRequest request = behind && !gone ? line.pollLast() : line.pollFirst();
            bytesWaiting -= request.bytes();
            if (!gone && request.wanted().getAsBoolean()) {
                return request;
            }
            abandonedCount++;
        }
        return null;
    }

    /** Requests whose askers gave up before their turn came. */
    public synchronized long abandonedCount() {
        return abandonedCount;
    }

    public synchronized int waitingCount() {
        return users.size() + workers.size();
    }
}
