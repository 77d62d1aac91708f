import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of one run: what was sent, answered and run, with the seconds since the start. */
final class Journal {
    private static final long START = System.nanoTime();
    private static PrintWriter out;

    private Journal() {}

    static void open(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    static double seconds() {
        return (System.nanoTime() - START) / 1e9;
    }

    static synchronized void note(String format, Object... values) {
        String line = String.format("%8.3f  ", seconds()) + String.format(format, values);
        System.out.println(line);
        if (out != null) {
            out.println(line);
        }
    }
}
