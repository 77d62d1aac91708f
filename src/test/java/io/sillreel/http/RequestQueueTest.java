package io.sillreel.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.sillreel.http.RequestQueue.RequestClass;
import io.sillreel.sim.SimTime;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class RequestQueueTest {
    private static final long HANDLING_MICROS = 20_000;

    private final SimTime time = new SimTime();
    private final SimTime.Process process = time.new Process();
    private final RequestQueue requestQueue = new RequestQueue(process, 4 * 1024 * 1024);
    private final List<String> served = new ArrayList<>();

    private void enqueue(RequestClass requestClass, String client, long clientTimeoutMicros) {
        long clientDeadlineMicros = time.nowMicros() + clientTimeoutMicros;
        requestQueue.enqueue(requestClass, 1_000, () -> time.nowMicros() < clientDeadlineMicros, () -> {
            process.occupy(HANDLING_MICROS);
            served.add(client);
        });
    }

    private void enqueueWorkers(int count) {
        for (int i = 0; i < count; i++) {
            enqueue(RequestClass.WORKERS, "worker", 4_000_000);
        }
    }

    /** Guards lease renewal: handling the requests of all workers at once after a crash took longer than the lease. */
    @Test
    void runsTimersOnTimeWhileManyRequestsAreQueued() {
        enqueueWorkers(300);
        long dueMicros = time.nowMicros() + 100_000;
        long[] ranAtMicros = new long[1];
        process.schedule(100_000, () -> ranAtMicros[0] = time.nowMicros());
        time.runFor(10_000_000);
        assertThat(ranAtMicros[0] - dueMicros).isBetween(0L, 700_000L);
    }

    @Test
    void alternatesBetweenUserAndWorkerRequests() {
        enqueueWorkers(20);
        enqueue(RequestClass.USERS, "user", 2_000_000);
        enqueue(RequestClass.USERS, "user", 2_000_000);
        time.runFor(300_000);
        assertThat(served.subList(0, 4)).containsExactlyInAnyOrder("worker", "user", "worker", "user");
    }

    /** Guards against wasting time on clients that have timed out, which are most frequent under load. */
    @Test
    void dropsRequestsWhoseClientsHaveTimedOut() {
        process.pause(5_000_000);
        enqueueWorkers(50);
        time.runFor(5_000_000);
        enqueue(RequestClass.WORKERS, "late", 4_000_000);
        time.runFor(1_000_000);
        assertThat(served).containsExactly("late");
        assertThat(requestQueue.abandonedCount()).isEqualTo(50);
        assertThat(requestQueue.waitingCount()).isZero();
    }

    /** Guards against responding to every client slightly too late: the oldest request is the next to time out. */
    @Test
    void servesNewestFirstOnceOldestIsOverdue() {
        process.pause(2_000_000);
        enqueue(RequestClass.WORKERS, "old", 4_000_000);
        enqueue(RequestClass.WORKERS, "older than new", 4_000_000);
        time.runFor(1_900_000);
        enqueue(RequestClass.WORKERS, "new", 4_000_000);
        time.runFor(1_000_000);
        assertThat(served).containsExactly("new", "older than new", "old");
    }

    /** Guards against hundreds of large requests exhausting the heap. */
    @Test
    void rejectsRequestsBeyondMemoryLimit() {
        int accepted = 0;
        while (accepted < 1_000
                && requestQueue.enqueue(RequestClass.USERS, 64 * 1024, () -> true, () -> served.add("user"))) {
            accepted++;
        }
        assertThat(accepted).isBetween(32, 64);
        time.runFor(100_000);
        assertThat(served).hasSize(accepted);
        assertThat(requestQueue.enqueue(RequestClass.USERS, 64 * 1024, () -> true, () -> {}))
                .isTrue();
    }

    @Test
    void handlesImmediateRequestsWithoutQueueing() {
        enqueueWorkers(100);
        enqueue(RequestClass.IMMEDIATE, "check", 1_000_000);
        assertThat(served).containsExactly("check");
    }

    /** Guards against one malformed request ending all service: no later request was taken from the queue. */
    @Test
    void servesLaterRequestsAfterAnErrorInOne() {
        time.tolerateUnexpectedErrors();
        requestQueue.enqueue(RequestClass.USERS, 1_000, () -> true, () -> {
            throw new StackOverflowError("nested too deep");
        });
        enqueue(RequestClass.USERS, "same batch", 2_000_000);
        time.runFor(100_000);
        enqueue(RequestClass.WORKERS, "next batch", 2_000_000);
        time.runFor(100_000);
        assertThat(served).containsExactly("same batch", "next batch");
        assertThat(requestQueue.waitingCount()).isZero();
    }
}
