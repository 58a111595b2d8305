package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** What was sent, answered and run, with the seconds since the start of the case. */
final class Record {
    private static final long START = System.nanoTime();
    private static PrintWriter writer;

    private Record() {}

    static synchronized void open(Path file) throws IOException {
        writer = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    static double seconds() {
        return (System.nanoTime() - START) / 1e9;
    }

    static synchronized void line(String text) {
        String line = String.format(Locale.ROOT, "%8.3f %s", seconds(), text);
        System.out.println(line);
        if (writer != null) {
            writer.println(line);
        }
    }
}
