package io.sillreel.settings;

import static io.sillreel.golden.GoldenSamples.values;

import io.sillreel.golden.GoldenSamples;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Properties;
import org.junit.jupiter.api.Test;

/** Compares the operators' properties and the platform's settings, as read or rejected, with golden samples. */
class SettingsSamplesTest {
    private static final List<String> KEYS = List.of(
            "leader.lease.ms",
            "fleet.idle.ms",
            "retry.initial.ms",
            "retry.maximum.ms",
            "retry.parked.ms",
            "overload.max.requests",
            "recovery.enabled",
            "recovery.follow.ms",
            "nothing");

    @Test
    void readsOrRejectsEachProperty() {
        StringBuilder lines = new StringBuilder(values(OperatorProperties.of(new Properties())) + "\n");
        for (String key : KEYS) {
            for (String value : List.of("1", "1234", "12345678901", "x")) {
                lines.append(key + "=" + value + ": " + readProperty(key, value) + "\n");
            }
        }
        GoldenSamples.assertMatches("operator-properties.txt", lines.toString());
    }

    private static String readProperty(String key, String value) {
        Properties properties = new Properties();
        properties.setProperty(key, value);
        try {
            return values(OperatorProperties.of(properties));
        } catch (SettingsException e) {
            return e.getMessage();
        }
    }

    @Test
    void readsSettingsWithEachLineRemovedInTurn() {
        String toml = GoldenSamples.read("settings.toml");
        List<String> lines = List.of(toml.split("\n"));
        StringBuilder read = new StringBuilder("all: " + readSettings(toml) + "\n");
        for (int index = 0; index < lines.size(); index++) {
            if (!lines.get(index).isBlank()) {
                List<String> rest = new ArrayList<>(lines);
                rest.remove(index);
                read.append("without " + lines.get(index) + ": " + readSettings(String.join("\n", rest)) + "\n");
            }
        }
        GoldenSamples.assertMatches("settings-read.txt", read.toString());
    }

    private static String readSettings(String toml) {
        try {
            return values(fields(SettingsReader.parse(toml)));
        } catch (SettingsException e) {
            return e.getMessage();
        }
    }

    private static List<Object> fields(Settings settings) {
        return Arrays.asList(
                settings.nodeName(),
                settings.localController().area(),
                settings.localController().publicAddress(),
                settings.localController().internalAddress(),
                settings.members(),
                settings.services().cloudAddress(),
                settings.services().stateAddress(),
                settings.clockSkewMicros(),
                settings.teams().values(),
                settings.objectives(),
                settings.workers(),
                settings.state().requestsPerSecond(),
                settings.state().writesPerSecond(),
                settings.state().values(),
                settings.state().maxTransactionChanges(),
                settings.cloud(),
                settings.resources(),
                settings.controllerCount());
    }
}
