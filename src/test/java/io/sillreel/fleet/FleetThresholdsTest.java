package io.sillreel.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class FleetThresholdsTest {
    private final FleetThresholds thresholds = new FleetThresholds(500);

    @Test
    void smallFleetThresholdsAreProportionalToSize() {
        assertThat(thresholds.maxUnreconciled(1_000)).isEqualTo(250);
        assertThat(thresholds.maxUnreconciledForShortTimeout(1_000)).isEqualTo(10);
        assertThat(thresholds.maxLost(1_000)).isEqualTo(20);
        assertThat(thresholds.maxLost(10)).isEqualTo(2);
        assertThat(thresholds.maxUnresponsive(1_000)).isEqualTo(125);
    }

    /**
     * Guards large fleets: 40 unreconciled machines exceed the limit of the short timeout, and 1000 can't be replaced
     * at once.
     */
    @Test
    void largeFleetThresholdsAreCappedByMaximumsAndCloudRate() {
        assertThat(thresholds.maxUnreconciled(8_000)).isEqualTo(500);
        assertThat(thresholds.maxUnreconciledForShortTimeout(8_000)).isEqualTo(10);
        assertThat(thresholds.maxLost(8_000)).isEqualTo(24);
        assertThat(thresholds.maxUnresponsive(8_000)).isEqualTo(500);
    }
}
