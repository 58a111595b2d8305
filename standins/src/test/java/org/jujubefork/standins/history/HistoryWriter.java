package org.jujubefork.standins.history;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.LinkedHashMap;
import java.util.Map;

/** Appends a history to a file; each line is flushed, so that a killed process loses none. */
public final class HistoryWriter implements HistorySink, AutoCloseable {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final BufferedWriter writer;
    private boolean closed;

    private HistoryWriter(BufferedWriter writer) {
        this.writer = writer;
    }

    public static HistoryWriter append(Path file) throws IOException {
        return new HistoryWriter(
                Files.newBufferedWriter(
                        file, StandardOpenOption.CREATE, StandardOpenOption.APPEND));
    }

    @Override
    public synchronized void record(EventType type, long nanos, Map<String, Object> fields) {
        if (closed) {
            return;
        }
        Map<String, Object> line = new LinkedHashMap<>();
        line.put("type", type.name());
        line.put("nanos", nanos);
        line.put("millis", System.currentTimeMillis());
        line.putAll(fields);
        try {
            writer.write(MAPPER.writeValueAsString(line));
            writer.write('\n');
            writer.flush();
        } catch (IOException e) {
            throw new UncheckedIOException("history not writable", e);
        }
    }

    @Override
    public synchronized void close() throws IOException {
        closed = true;
        writer.close();
    }
}
