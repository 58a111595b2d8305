package org.jujubefork.standins.history;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Reads history files back. */
public final class HistoryReader {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Set<String> COMMON = Set.of("type", "nanos", "millis");

    private HistoryReader() {}

    /**
     * Reads files and orders their events by monotonic time, which processes of one machine share;
     * events with the same time keep their order. A last line that a killed process cut off is left
     * out.
     *
     * @throws IOException if a file cannot be read or another line is malformed
     */
    public static List<HistoryEvent> read(Path... files) throws IOException {
        List<HistoryEvent> events = new ArrayList<>();
        for (Path file : files) {
            String text = Files.readString(file);
            int end = text.lastIndexOf('\n');
            if (end >= 0) {
                int number = 0;
                for (String line : text.substring(0, end).split("\n", -1)) {
                    number++;
                    events.add(parse(line, file + ":" + number));
                }
            }
        }
        events.sort(Comparator.comparingLong(HistoryEvent::nanos));
        return List.copyOf(events);
    }

    private static HistoryEvent parse(String line, String where) throws IOException {
        try {
            JsonNode node = MAPPER.readTree(line);
            Map<String, Object> fields = new LinkedHashMap<>();
            node.properties()
                    .forEach(
                            p -> {
                                if (!COMMON.contains(p.getKey())) {
                                    fields.put(p.getKey(), value(p.getValue()));
                                }
                            });
            return new HistoryEvent(
                    EventType.valueOf(node.path("type").asText()),
                    node.required("nanos").longValue(),
                    node.required("millis").longValue(),
                    fields);
        } catch (JsonProcessingException | IllegalArgumentException e) {
            throw new IOException("malformed history line at " + where, e);
        }
    }

    private static Object value(JsonNode node) {
        return node.isIntegralNumber() ? (Object) node.longValue() : node.asText();
    }
}
