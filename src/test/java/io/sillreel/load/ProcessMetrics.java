package io.sillreel.load;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;

/** What the system tells of a running process. */
final class ProcessMetrics {
    private ProcessMetrics() {}

    static long residentMb(Process process) throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
            if (line.startsWith("VmRSS:")) {
                return Long.parseLong(line.replaceAll("[^0-9]", "")) / 1024;
            }
        }
        return 0;
    }

    static int openSockets(Process process) throws IOException {
        int open = 0;
        try (DirectoryStream<Path> files = Files.newDirectoryStream(Path.of("/proc/" + process.pid() + "/fd"))) {
            for (Path file : files) {
                open += Files.isSymbolicLink(file)
                                && Files.readSymbolicLink(file).toString().startsWith("socket:")
                        ? 1
                        : 0;
            }
        }
        return open;
    }
}
