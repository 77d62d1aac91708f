package io.sillreel.overload;

import static org.assertj.core.api.Assertions.assertThat;

import io.sillreel.sim.SimTime;
import org.junit.jupiter.api.Test;

class RateLimiterTest {
    private final SimTime time = new SimTime();
    private final SimTime.Process process = time.new Process();

    @Test
    void grantsNoMoreTokensThanRateAllows() {
        RateLimiter limiter = new RateLimiter(process, 10, 10);
        int granted = 0;
        for (int i = 0; i < 200; i++) {
            granted += limiter.tryAcquire(1) ? 1 : 0;
            time.runFor(10_000);
        }
        assertThat(granted).isBetween(28, 30);
    }
}
