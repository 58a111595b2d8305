package org.jujubefork.standins.history;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.Map;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against events that a checker does not see because the file lost or reordered them. */
public final class HistoryFileTest {
    private Path file;
    private Path other;

    @BeforeMethod
    public void create() throws IOException {
        file = Files.createTempFile("history", ".jsonl");
        other = Files.createTempFile("history", ".jsonl");
    }

    @AfterMethod(alwaysRun = true)
    public void delete() throws IOException {
        Files.deleteIfExists(file);
        Files.deleteIfExists(other);
    }

    @Test
    public void eventsComeBackInTheOrderOfTime() throws IOException {
        try (HistoryWriter writer = HistoryWriter.append(file);
                HistoryWriter second = HistoryWriter.append(other)) {
            writer.record(EventType.START, 10, Map.of("task", "a\n\"b", "cpuMillis", 5L));
            writer.record(EventType.END, 30, Map.of("task", "a\n\"b"));
            second.record(EventType.LEASE, 20, Map.of("worker", "w"));
        }
        List<HistoryEvent> events = HistoryReader.read(file, other);
        assertEquals(
                events.stream().map(HistoryEvent::type).toList(),
                List.of(EventType.START, EventType.LEASE, EventType.END));
        assertEquals(events.get(0).text("task"), "a\n\"b");
        assertEquals(events.get(0).number("cpuMillis"), 5);
    }

    @Test
    public void writerAppends() throws IOException {
        for (int i = 0; i < 2; i++) {
            try (HistoryWriter writer = HistoryWriter.append(file)) {
                writer.record(EventType.LEASE, i, Map.of());
            }
        }
        assertEquals(HistoryReader.read(file).size(), 2);
    }

    @Test
    public void lineThatAKillCutOffIsLeftOut() throws IOException {
        try (HistoryWriter writer = HistoryWriter.append(file)) {
            writer.record(EventType.LEASE, 1, Map.of());
        }
        Files.writeString(file, "{\"type\":\"STA", StandardOpenOption.APPEND);
        assertEquals(HistoryReader.read(file).size(), 1);
    }

    @Test
    public void malformedLineIsAnError() throws IOException {
        Files.writeString(file, "{\"type\":\"START\"}\n");
        assertThrows(IOException.class, () -> HistoryReader.read(file));
    }

    @Test
    public void emptyFileHasNoEvents() throws IOException {
        assertEquals(HistoryReader.read(file), List.of());
    }
}
