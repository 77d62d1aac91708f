package io.sillreel.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.sillreel.http.RequestQueue.RequestClass;
import io.sillreel.sim.SimTime;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class RequestQueueTest {
    private static final long WORK_MICROS = 20_000;

    private final SimTime time = new SimTime();
    private final SimTime.Process process = time.new Process();
    private final RequestQueue requestQueue = new RequestQueue(process, 4 * 1024 * 1024);
    private final List<String> served = new ArrayList<>();

    private void ask(RequestClass requestClass, String who, long givesUpAfterMicros) {
        long until = time.nowMicros() + givesUpAfterMicros;
        requestQueue.enqueue(requestClass, 1_000, () -> time.nowMicros() < until, () -> {
            process.works(WORK_MICROS);
            served.add(who);
        });
    }

    private void crowd(int size) {
        for (int i = 0; i < size; i++) {
            ask(RequestClass.WORKERS, "worker", 4_000_000);
        }
    }

    /** Guards a renewal against the crowd after a crash of all: one round over it lasted longer than the lease. */
    @Test
    void aCrowdDoesNotHoldUpWhatIsDue() {
        crowd(300);
        long due = time.nowMicros() + 100_000;
        long[] done = new long[1];
        process.schedule(100_000, () -> done[0] = time.nowMicros());
        time.runFor(10_000_000);
        assertThat(done[0] - due).isBetween(0L, 700_000L);
    }

    @Test
    void usersAndTheCrowdTakeTurns() {
        crowd(20);
        ask(RequestClass.USERS, "user", 2_000_000);
        ask(RequestClass.USERS, "user", 2_000_000);
        time.runFor(300_000);
        assertThat(served.subList(0, 4)).containsExactlyInAnyOrder("worker", "user", "worker", "user");
    }

    /** Guards against work for those who are gone, of which there is most when there is least time. */
    @Test
    void whoeverHasGivenUpIsPassedOver() {
        process.freeze(5_000_000);
        crowd(50);
        time.runFor(5_000_000);
        ask(RequestClass.WORKERS, "late", 4_000_000);
        time.runFor(1_000_000);
        assertThat(served).containsExactly("late");
        assertThat(requestQueue.abandonedCount()).isEqualTo(50);
        assertThat(requestQueue.waitingCount()).isZero();
    }

    /** Guards against serving everybody just too late: whoever has waited longest is the next to give up. */
    @Test
    void theNewestGoFirstOnceTheLineIsLong() {
        process.freeze(2_000_000);
        ask(RequestClass.WORKERS, "old", 4_000_000);
        ask(RequestClass.WORKERS, "older than new", 4_000_000);
        time.runFor(1_900_000);
        ask(RequestClass.WORKERS, "new", 4_000_000);
        time.runFor(1_000_000);
        assertThat(served).containsExactly("new", "older than new", "old");
    }

    /** Guards the heap: hundreds of the largest requests at once must not fill it. */
    @Test
    void whatIsTooMuchToKeepIsRefused() {
        int taken = 0;
        while (taken < 1_000
                && requestQueue.enqueue(RequestClass.USERS, 64 * 1024, () -> true, () -> served.add("user"))) {
            taken++;
        }
        assertThat(taken).isBetween(32, 64);
        time.runFor(100_000);
        assertThat(served).hasSize(taken);
        assertThat(requestQueue.enqueue(RequestClass.USERS, 64 * 1024, () -> true, () -> {}))
                .isTrue();
    }

    @Test
    void healthChecksDoNotWait() {
        crowd(100);
        ask(RequestClass.IMMEDIATE, "check", 1_000_000);
        assertThat(served).containsExactly("check");
    }
}
