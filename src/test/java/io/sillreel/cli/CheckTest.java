package io.sillreel.cli;

import static org.assertj.core.api.Assertions.assertThat;

import io.sillreel.sim.SimCluster;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class CheckTest {
    @TempDir
    private Path folder;

    private String printed;

    private int check(String... more) throws IOException {
        Path file = Files.writeString(folder.resolve("settings.toml"), new SimCluster(1).settingsFile(0));
        String[] args = new String[more.length + 3];
        args[0] = "--config";
        args[1] = file.toString();
        args[2] = "--check";
        System.arraycopy(more, 0, args, 3, more.length);
        CommandRun run = CommandRun.of(args);
        printed = run.printed();
        return run.status();
    }

    @Test
    void aFleetThatFitsIsGoodAndOneThatDoesNotIsRefusedWithTheNumbers() throws IOException {
        assertThat(check()).isZero();
        assertThat(printed).contains("settings are good", "674 machines", "max_sockets 500");
        assertThat(check("--machines", "674")).isZero();
        assertThat(check("--machines", "675")).isEqualTo(2);
        assertThat(printed)
                .contains("carry no fleet of 675 machines", "674 by sockets")
                .hasLineCount(1);
    }
}
