package io.sillreel.cli;

import static org.assertj.core.api.Assertions.assertThat;

import io.sillreel.sim.SimCluster;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards the default configuration: without {@code recovery.enabled}, no class of the recovery package is loaded. */
class RecoveryOffIT {
    private static final String PACKAGE = "io.sillreel.recovery.";
    /** The last step of a start is to look up the current leader. */
    private static final String STARTED = "io.sillreel.leadership.LeaderElection$$Lambda";

    @TempDir
    private Path directory;

    /** Starts the daemon, returns the classes it loads until it has started, and kills it. */
    private List<String> classesLoadedAtStart(String... properties) throws IOException {
        String settings =
                new SimCluster(1).settingsFile(0).replaceAll("(10\\.0\\.0\\.\\d|state|cloud):\\d+", "127.0.0.1:0");
        Path config = Files.writeString(directory.resolve("settings.toml"), settings);
        List<String> command = new ArrayList<>(
                List.of("java", "-Xlog:class+load:stdout", "-cp", "target/sillreel.jar", "io.sillreel.cli.Main"));
        if (properties.length > 0) {
            Path file = Files.writeString(directory.resolve("operator.properties"), String.join("\n", properties));
            command.addAll(List.of("--properties", file.toString()));
        }
        command.addAll(List.of("--config", config.toString()));
        Process process = new ProcessBuilder(command)
                .redirectError(ProcessBuilder.Redirect.DISCARD)
                .start();
        List<String> classes = new ArrayList<>();
        try (BufferedReader output = process.inputReader()) {
            boolean started = false;
            for (String line = output.readLine(); line != null && !started; line = output.readLine()) {
                classes.add(line);
                started = line.contains(STARTED);
            }
        } finally {
            process.destroyForcibly();
        }
        return classes;
    }

    @Test
    void loadsNoRecoveryClassUnlessRecoveryIsEnabled() throws IOException {
        assertThat(classesLoadedAtStart())
                .anyMatch(line -> line.contains(STARTED))
                .noneMatch(line -> line.contains(PACKAGE));
        assertThat(classesLoadedAtStart("recovery.enabled = 1")).anyMatch(line -> line.contains(PACKAGE + "Recovery "));
    }
}
