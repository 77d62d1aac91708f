package io.sillreel.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Properties;
import org.junit.jupiter.api.Test;

class OperatorPropertiesTest {
    private final Properties properties = new Properties();

    @Test
    void convertsMillisecondsToMicroseconds() {
        properties.setProperty("leader.lease.ms", "5000");
        assertThat(OperatorProperties.of(properties).leaderLeaseMicros()).isEqualTo(5_000_000);
    }

    @Test
    void usesDefaultsForAbsentProperties() {
        assertThat(OperatorProperties.of(properties))
                .isEqualTo(new OperatorProperties(
                        3_000_000,
                        20_000_000,
                        2_000_000,
                        30_000_000,
                        60_000_000,
                        64,
                        new OperatorProperties.RecoveryProperties(false, 250_000)));
    }

    @Test
    void rejectsNonNumericValueNamingItsKey() {
        properties.setProperty("leader.lease.ms", "soon");
        assertThatThrownBy(() -> OperatorProperties.of(properties)).hasMessageContaining("leader.lease.ms");
    }

    @Test
    void rejectsOutOfRangeValueNamingKeyAndBounds() {
        properties.setProperty("leader.lease.ms", "999");
        assertThatThrownBy(() -> OperatorProperties.of(properties))
                .hasMessage("leader.lease.ms: must be a whole number from 1000 to 60000");
    }

    @Test
    void rejectsUnknownKeyListingKnownKeys() {
        properties.setProperty("leader.lease.ms", "5000");
        properties.setProperty("leader.leese.ms", "5000");
        assertThatThrownBy(() -> OperatorProperties.of(properties))
                .hasMessage("leader.leese.ms: is not a known property; known are [fleet.idle.ms, leader.lease.ms, "
                        + "overload.max.requests, recovery.enabled, recovery.follow.ms, retry.initial.ms, "
                        + "retry.maximum.ms, retry.parked.ms]");
    }
}
