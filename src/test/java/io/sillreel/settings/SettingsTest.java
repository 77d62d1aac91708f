package io.sillreel.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;

class SettingsTest {
    private static final String VALID_TOML = """
            node_name = "n0"
            area = "a"
            public_addr = "127.0.0.1:1"
            internal_addr = "127.0.0.1:2"
            something_new = 3
            [endpoints]
            cloud = "127.0.0.1:3"
            state = "127.0.0.1:4"
            [params]
            zones = ["a"]
            skew_ms = 25.0
            [[params.teams]]
            name = "t"
            cpus = 2.0
            cpus_max = 4.0
            [params.workers]
            report_s = 1.5
            lease_s = 14.0
            cancel_s = 34.0
            [params.state]
            rps = 200.0
            write_rps = 25.0
            value_kb = 8.0
            txn_ops = 20
            [params.cloud]
            rps = 1.5
            list_lag_s = 12.0
            [params.resources]
            cores = 0.17
            memory_mb = 176.0
            max_sockets = 900
            """;

    private static final String TOML_WITH_ANNOUNCED_LIMITS =
            VALID_TOML.replace("[params.cloud]", "[params.state.next]\nvalue_kb = 2.0\ntxn_ops = 30\n[params.cloud]");

    @Test
    void convertsDurationsToMicroseconds() {
        Settings settings = SettingsReader.parse(VALID_TOML);
        assertThat(settings.workers().heartbeatIntervalMicros()).isEqualTo(1_500_000);
    }

    @Test
    void readsLimitsTeamsAndMembers() {
        Settings settings = SettingsReader.parse(VALID_TOML);
        assertThat(settings.state().values().announcedBytes()).isEqualTo(8192);
        assertThat(settings.teams().get("t").maxCpus()).isEqualTo(4.0);
        assertThat(settings.controllerCount()).isEqualTo(1);
    }

    @Test
    void rejectsMissingFieldsByName() {
        assertThatThrownBy(() -> SettingsReader.parse(VALID_TOML.replace("lease_s = 14.0", "")))
                .hasMessage("params.workers.lease_s: is missing");
        assertThatThrownBy(() -> SettingsReader.parse(VALID_TOML.replace("zones = [\"a\"]", "")))
                .hasMessage("params.zones: is missing");
    }

    @Test
    void rejectsInvalidFieldsByName() {
        assertThatThrownBy(() -> SettingsReader.parse(VALID_TOML.replace("rps = 200.0", "rps = -1")))
                .hasMessageContaining("params.state.rps");
        assertThatThrownBy(() -> SettingsReader.parse(VALID_TOML.replace("127.0.0.1:4", "nowhere")))
                .hasMessage("endpoints.state: is not host:port");
        assertThatThrownBy(() -> SettingsReader.parse(VALID_TOML.replace("cancel_s = 34.0", "cancel_s = 3.0")))
                .hasMessageContaining("cancel_s");
    }

    @Test
    void rejectsMalformedToml() {
        assertThatThrownBy(() -> SettingsReader.parse("= =")).hasMessageContaining("not TOML");
    }

    @Test
    void rejectsValuesBelowMinimum() {
        assertThatThrownBy(() -> SettingsReader.parse(VALID_TOML.replace("max_sockets = 900", "max_sockets = 3")))
                .hasMessage("params.resources.max_sockets: is 3.0, and at least 40.0 is needed");
        assertThatThrownBy(() -> SettingsReader.parse(VALID_TOML.replace("cores = 0.17", "cores = nan")))
                .hasMessage("params.resources.cores: is NaN, and a number of at least 0 is needed");
        assertThatThrownBy(() -> SettingsReader.parse(VALID_TOML.replace("txn_ops = 20", "txn_ops = 1")))
                .hasMessage("params.state.txn_ops: is 1.0, and at least 2.0 is needed");
        assertThatThrownBy(() -> SettingsReader.parse(VALID_TOML.replace("memory_mb = 176.0", "memory_mb = 0")))
                .hasMessageContaining("params.resources.memory_mb: is 0");
    }

    @Test
    void acceptsSmallFractionOfCore() {
        assertThat(SettingsReader.parse(VALID_TOML.replace("cores = 0.17", "cores = 0.01"))
                        .resources()
                        .cores())
                .isEqualTo(0.01);
    }

    @Test
    void usesCurrentLimitsWhenNoneAreAnnounced() {
        assertThat(SettingsReader.parse(VALID_TOML).state().maxTransactionChanges())
                .isEqualTo(20);
    }

    @Test
    void usesSmallerOfCurrentAndAnnouncedLimits() {
        Settings.StateLimits limits =
                SettingsReader.parse(TOML_WITH_ANNOUNCED_LIMITS).state();
        assertThat(limits.values().announcedBytes()).isEqualTo(2_048);
        assertThat(limits.values().currentBytes()).isEqualTo(8_192);
        assertThat(limits.maxTransactionChanges()).isEqualTo(20);
        assertThat(limits.writesPerSecond()).isEqualTo(25.0);
    }

    @Test
    void rejectsAnnouncedLimitsBelowMinimum() {
        assertThatThrownBy(
                        () -> SettingsReader.parse(TOML_WITH_ANNOUNCED_LIMITS.replace("txn_ops = 30", "txn_ops = 1")))
                .hasMessage("params.state.next.txn_ops: is 1.0, and at least 2.0 is needed");
        assertThatThrownBy(() ->
                        SettingsReader.parse(TOML_WITH_ANNOUNCED_LIMITS.replace("value_kb = 2.0", "value_kb = 0.2")))
                .hasMessageContaining("params.state.next.value_kb");
        assertThatThrownBy(() ->
                        SettingsReader.parse(TOML_WITH_ANNOUNCED_LIMITS.replace("value_kb = 2.0", "write_rps = 0.5")))
                .hasMessageContaining("params.state.next.write_rps");
    }
}
