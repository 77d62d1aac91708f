package io.sillreel.cli;

import static org.assertj.core.api.Assertions.assertThat;

import io.sillreel.sim.SimCluster;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class CheckOptionTest {
    @TempDir
    private Path directory;

    private String output;

    private int check(String... options) throws IOException {
        Path file = Files.writeString(directory.resolve("settings.toml"), new SimCluster(1).settingsFile(0));
        String[] args = new String[options.length + 3];
        args[0] = "--config";
        args[1] = file.toString();
        args[2] = "--check";
        System.arraycopy(options, 0, args, 3, options.length);
        CommandResult result = CommandResult.run(args);
        output = result.output();
        return result.exitStatus();
    }

    @Test
    void acceptsFleetWithinCapacityAndRefusesLargerOneNamingTheLimit() throws IOException {
        assertThat(check()).isZero();
        assertThat(output).contains("settings are good", "674 machines", "max_sockets 500");
        assertThat(check("--machines", "674")).isZero();
        assertThat(check("--machines", "675")).isEqualTo(2);
        assertThat(output)
                .contains("carry no fleet of 675 machines", "674 by sockets")
                .hasLineCount(1);
    }
}
