package io.sillreel.limits;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ProcessLimitsTest {
    private static final long MB = 1 << 20;

    @Test
    void limitsScaleWithHeapAndSockets() {
        ProcessLimits small = new ProcessLimits(50 * MB, 2_000, 2);
        ProcessLimits large = new ProcessLimits(500 * MB, 20_000, 20);
        assertThat(small.cachedJobStatuses()).isBetween(10_000, 12_000);
        assertThat(large.cachedJobStatuses()).isGreaterThan(9 * small.cachedJobStatuses());
        assertThat(small.queuedRequestBytes()).isBetween(4 * MB, 5 * MB);
        assertThat(large.queuedRequestBytes()).isGreaterThan(9 * small.queuedRequestBytes());
        assertThat(small.maxResponseBytes()).isBetween(2 * (int) MB, 3 * (int) MB);
        assertThat(small.maxPublicConnections()).isEqualTo(1_500);
        assertThat(small.maxWorkerConnections()).isEqualTo(1_350);
        assertThat(large.maxInternalConnections()).isGreaterThan(20 * 10);
    }

    /** Guards small processes: a page of the state service and a submission fit regardless of the heap size. */
    @Test
    void smallestHeapFitsLargestProtocolMessages() {
        ProcessLimits smallest = new ProcessLimits(8 * MB, 40, 0);
        assertThat(smallest.maxResponseBytes()).isGreaterThan(512 * 1024);
        assertThat(smallest.queuedRequestBytes()).isGreaterThan(64 * 1024);
        assertThat(smallest.cachedJobStatuses()).isEqualTo(4_000);
    }
}
