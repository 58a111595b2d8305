package rig;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a run: what was sent, answered and run, with the time since the start. */
public final class Record implements AutoCloseable {
    private final PrintWriter out;
    private final long startNanos = System.nanoTime();

    public Record(Path file) throws IOException {
        this.out = new PrintWriter(Files.newBufferedWriter(file));
    }

    /** Returns the time since the start in milliseconds. */
    public long millis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    /** Writes a line. */
    public synchronized void line(String format, Object... arguments) {
        out.printf("%7d ms  %s%n", millis(), arguments.length == 0 ? format : format.formatted(arguments));
        out.flush();
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
