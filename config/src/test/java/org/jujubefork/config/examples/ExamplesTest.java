package org.jujubefork.config.examples;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.jujubefork.config.cell.CellReadResult;
import org.jujubefork.config.cell.CellReader;
import org.jujubefork.config.cell.NamedText;
import org.jujubefork.config.cell.PolicyNames;
import org.jujubefork.config.edit.AccessKeys;
import org.jujubefork.config.settings.DaemonSettings;
import org.jujubefork.config.settings.DaemonSettingsReader;
import org.jujubefork.config.settings.InvalidSettingsException;
import org.jujubefork.core.configuration.Configuration;
import org.jujubefork.core.configuration.Queue;
import org.jujubefork.core.model.QueueId;
import org.jujubefork.core.model.TeamId;
import org.jujubefork.core.model.WorkKind;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against example files that are no longer valid or that contradict each other. */
public final class ExamplesTest {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    @DataProvider
    public static Object[][] examples() {
        return RecordedRequests.SEEDS.keySet().stream()
                .sorted()
                .map(name -> new Object[] {Path.of("..", "examples", name)})
                .toArray(Object[][]::new);
    }

    private static List<Path> files(Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.sorted().toList();
        }
    }

    private static NamedText readNamedText(Path file) throws IOException {
        return NamedText.of(file.toString(), Files.readString(file));
    }

    private static CellReadResult read(Path folder) throws IOException {
        List<NamedText> overlays = new ArrayList<>();
        for (Path overlay : files(folder.resolve("overlays"))) {
            overlays.add(readNamedText(overlay));
        }
        return CellReader.of(PolicyNames.BUILT_IN)
                .read(1, readNamedText(folder.resolve("base.jsonc")), overlays);
    }

    private static Configuration configuration(Path folder) throws IOException {
        return read(folder).configurations().values().iterator().next();
    }

    @Test(dataProvider = "examples")
    public void theConfigurationHasNoFindings(Path folder) throws IOException {
        CellReadResult result = read(folder);
        assertEquals(result.findings(), List.of());
        assertEquals(result.configurations().size(), 3);
        assertEquals(result.document().overlays().keySet(), result.configurations().keySet());
        Configuration configuration = configuration(folder);
        assertEquals(configuration.teams().size(), 6);
        for (WorkKind kind : WorkKind.values()) {
            assertTrue(
                    configuration.queues().values().stream().anyMatch(q -> q.kind() == kind),
                    "no queue of kind " + kind);
        }
        assertTrue(configuration.queues().values().stream().anyMatch(Queue::open));
    }

    @Test(dataProvider = "examples")
    public void eachPublishedKeyIsGrantedToItsTeam(Path folder) throws IOException {
        Configuration configuration = configuration(folder);
        JsonNode keys = MAPPER.readTree(folder.resolve("keys.json").toFile());
        Set<String> hashes = new HashSet<>();
        for (JsonNode key : keys.get("keys")) {
            String hash = AccessKeys.hash(key.get("key").textValue());
            hashes.add(hash);
            Optional<TeamId> team = Optional.of(TeamId.of(key.get("team").textValue()));
            assertEquals(configuration.key(hash).orElseThrow().team(), team);
        }
        for (JsonNode key : keys.get("operators")) {
            String hash = AccessKeys.hash(key.get("key").textValue());
            hashes.add(hash);
            assertTrue(configuration.key(hash).orElseThrow().isOperator());
        }
        assertEquals(configuration.keys().keySet(), hashes);
    }

    @Test(dataProvider = "examples")
    public void entrySettingsMatchTheFleetFile(Path folder)
            throws IOException, InvalidSettingsException {
        JsonNode fleet = MAPPER.readTree(folder.resolve("fleet.json").toFile());
        Map<String, JsonNode> entries = new TreeMap<>();
        fleet.get("entries").forEach(entry -> entries.put(entry.get("id").textValue(), entry));
        Set<String> addresses = new HashSet<>();
        for (Path file : files(folder.resolve("entries"))) {
            DaemonSettings settings = DaemonSettingsReader.read(file);
            JsonNode entry = entries.remove(settings.name());
            assertEquals(entry.get("region").textValue(), settings.region());
            assertEquals(entry.get("zone").textValue(), settings.zone());
            assertEquals(entry.get("httpAddress").textValue(), settings.httpAddress().toString());
            assertEquals(entry.get("peerAddress").textValue(), settings.peerAddress().toString());
            assertTrue(settings.seeds().contains(settings.peerAddress()));
            assertTrue(addresses.add(settings.httpAddress().toString()));
            assertTrue(addresses.add(settings.peerAddress().toString()));
        }
        assertTrue(entries.isEmpty(), "entries without settings: " + entries.keySet());
        Map<String, Integer> racks = new TreeMap<>();
        for (JsonNode worker : fleet.get("workers")) {
            assertTrue(addresses.add(worker.get("address").textValue()), worker.toString());
            racks.merge(worker.get("rack").textValue(), 1, Integer::sum);
        }
        assertEquals(fleet.get("workers").size(), 30);
        assertTrue(racks.values().stream().allMatch(count -> count <= 8), racks.toString());
    }

    @Test(dataProvider = "examples")
    public void recordedRequestsMatchTheGeneratorAndTheQueues(Path folder) throws IOException {
        String committed = Files.readString(folder.resolve("recorded.jsonl"));
        assertEquals(committed, RecordedRequests.generate(folder), "run RecordedRequests again");
        Configuration configuration = configuration(folder);
        Set<WorkKind> kinds = new HashSet<>();
        int previousAtMillis = 0;
        for (String text : committed.lines().toList()) {
            JsonNode line = MAPPER.readTree(text);
            Queue queue =
                    configuration.queue(QueueId.of(line.get("queue").textValue())).orElseThrow();
            kinds.add(queue.kind());
            assertEquals(line.get("type").textValue().equals("request"), queue.kind().isRequest());
            String team = queue.open() ? "" : queue.team().value();
            assertEquals(line.get("team").textValue(), team);
            assertFalse(queue.kind() == WorkKind.COMMAND && !line.has("idempotencyKey"), text);
            assertTrue(line.get("atMillis").intValue() >= previousAtMillis, text);
            previousAtMillis = line.get("atMillis").intValue();
        }
        assertEquals(kinds, Set.of(WorkKind.values()));
    }
}
