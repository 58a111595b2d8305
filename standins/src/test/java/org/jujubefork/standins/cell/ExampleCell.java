package org.jujubefork.standins.cell;

import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.jujubefork.core.model.Resources;

/**
 * A deployment of the folder {@code examples} as a test cell, which runs on free ports.
 *
 * @param plan the plan of the cell
 * @param kindsByQueue the kind of work by queue name
 * @param weightsByTeam the fair-share weight by team name
 * @param recordedRequests the lines of recorded.jsonl in their order
 */
record ExampleCell(
        CellPlan plan,
        Map<String, String> kindsByQueue,
        Map<String, Double> weightsByTeam,
        List<JsonNode> recordedRequests) {
    private static final JsonMapper MAPPER =
            JsonMapper.builder().enable(JsonReadFeature.ALLOW_JAVA_COMMENTS).build();

    static ExampleCell read(Path folder) throws IOException {
        JsonNode keys = read(folder, "keys.json");
        Map<String, String> teamKeys = new HashMap<>();
        keys.path("keys")
                .forEach(k -> teamKeys.put(k.path("team").asText(), k.path("key").asText()));
        Map<String, String> overlays = new LinkedHashMap<>();
        for (Path file : sortedFiles(folder.resolve("overlays"))) {
            overlays.put(
                    MAPPER.readTree(file.toFile()).path("site").asText(), Files.readString(file));
        }
        List<CellPlan.Entry> entries = new ArrayList<>();
        for (Path file : sortedFiles(folder.resolve("entries"))) {
            JsonNode entry = MAPPER.readTree(file.toFile());
            entries.add(
                    new CellPlan.Entry(
                            entry.path("name").asText(),
                            entry.path("region").asText(),
                            entry.path("zone").asText()));
        }
        List<CellPlan.Worker> workers = new ArrayList<>();
        read(folder, "fleet.json").path("workers").forEach(w -> workers.add(worker(w)));
        List<JsonNode> recordedRequests = new ArrayList<>();
        for (String line : Files.readAllLines(folder.resolve("recorded.jsonl"))) {
            recordedRequests.add(MAPPER.readTree(line));
        }
        CellPlan plan =
                new CellPlan(
                        entries,
                        workers,
                        Files.readString(folder.resolve("base.jsonc")),
                        overlays,
                        keys.path("operators").path(0).path("key").asText(),
                        teamKeys,
                        false,
                        List.of(),
                        Map.of());
        JsonNode base = read(folder, "base.jsonc");
        Map<String, String> kindsByQueue = new HashMap<>();
        base.path("queues")
                .forEach(q -> kindsByQueue.put(q.path("name").asText(), q.path("kind").asText()));
        Map<String, Double> weightsByTeam = new LinkedHashMap<>();
        base.path("teams")
                .forEach(
                        t ->
                                weightsByTeam.put(
                                        t.path("name").asText(), t.path("weight").asDouble()));
        return new ExampleCell(plan, kindsByQueue, weightsByTeam, recordedRequests);
    }

    private static JsonNode read(Path folder, String file) throws IOException {
        return MAPPER.readTree(folder.resolve(file).toFile());
    }

    private static List<Path> sortedFiles(Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.sorted().toList();
        }
    }

    private static CellPlan.Worker worker(JsonNode node) {
        return new CellPlan.Worker(
                node.path("id").asText(),
                node.path("region").asText(),
                node.path("zone").asText(),
                node.path("rack").asText(),
                Resources.of(
                        node.path("cpuMillis").asLong(),
                        node.path("memoryMb").asLong(),
                        node.path("accelerators").asLong()),
                node.path("slots").asInt());
    }
}
