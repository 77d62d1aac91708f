package io.sillreel.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class FleetThresholdsTest {
    private final FleetThresholds slowCloud = new FleetThresholds(500);

    @Test
    void limitsOfASmallFleetAreProportionalToItsSize() {
        assertThat(slowCloud.maxUnreconciled(1_000)).isEqualTo(250);
        assertThat(slowCloud.fewUnreconciled(1_000)).isEqualTo(10);
        assertThat(slowCloud.maxLost(1_000)).isEqualTo(20);
        assertThat(slowCloud.maxLost(10)).isEqualTo(2);
        assertThat(slowCloud.maxUnresponsive(1_000)).isEqualTo(125);
    }

    /** Guards large fleets: forty machines are not the last few, and a thousand cannot be replaced at once. */
    @Test
    void limitsOfALargeFleetAreBoundedByMaximumsAndByTheRateOfTheCloud() {
        assertThat(slowCloud.maxUnreconciled(8_000)).isEqualTo(500);
        assertThat(slowCloud.fewUnreconciled(8_000)).isEqualTo(10);
        assertThat(slowCloud.maxLost(8_000)).isEqualTo(24);
        assertThat(slowCloud.maxUnresponsive(8_000)).isEqualTo(500);
    }
}
