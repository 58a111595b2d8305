package org.jujubefork.config.cell;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.jujubefork.config.source.Finding;
import org.jujubefork.config.source.Severity;
import org.jujubefork.core.configuration.Configuration;
import org.jujubefork.core.configuration.KindPolicy;
import org.jujubefork.core.configuration.Tuning;
import org.jujubefork.core.model.QueueId;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.TeamId;
import org.jujubefork.core.model.WorkKind;
import org.testng.annotations.Test;

/** Guards against wrong merges and against invalid configurations that pass validation. */
public final class CellReaderTest {
    private static final String HASH = "a".repeat(64);
    private static final String OTHER_HASH = "b".repeat(64);
    private static final String BASE =
            """
            {
              "cell": {"name": "plots", "expectedEntries": 3}, // three entries
              "sites": ["accra", "kumasi"],
              "teams": [
                {"name": "web", "weight": 2, "limit": {"cpuMillis": 4000, "memoryMb": 8000}}
              ],
              "keys": [{"id": "k1", "team": "web", "sha256": "%s"}],
              "operators": [{"id": "o1", "sha256": "%s"}],
              "queues": [
                {"name": "q", "team": "web", "kind": "lookup",
                 "size": {"cpuMillis": 100, "memoryMb": 64}}
              ],
              "policies": {"batch": {"order": "fifo"}},
              "tuning": {"reservedSlots": 3, "requestReserve": {"cpuMillis": 7}}
            }
            """
                    .formatted(HASH, OTHER_HASH);
    private static final String OVERLAY =
            """
            {"site": "accra",
             "policies": {"batch": {"placement": "spread"}},
             "tuning": {"requestReserve": {"memoryMb": 9}, "maxAttempts": 4}}
            """;

    private static CellReadResult read(String base, String... overlays) {
        List<NamedText> overlayTexts =
                java.util.stream.IntStream.range(0, overlays.length)
                        .mapToObj(i -> NamedText.of("o" + i + ".jsonc", overlays[i]))
                        .toList();
        return CellReader.of(PolicyNames.BUILT_IN)
                .read(7, NamedText.of("base.jsonc", base), overlayTexts);
    }

    private static void assertFinding(CellReadResult result, String start) {
        assertTrue(
                result.findings().stream().anyMatch(f -> f.toString().startsWith(start)),
                "no finding starts with " + start + " in " + result.findings());
    }

    @Test
    public void overlayReplacesOnlyGivenValuesOfItsSite() {
        CellReadResult result = read(BASE, OVERLAY);
        assertEquals(result.findings(), List.of());
        Configuration accra = result.configuration("accra").orElseThrow();
        Configuration kumasi = result.configuration("kumasi").orElseThrow();
        assertEquals(accra.policies().get(WorkKind.BATCH), new KindPolicy("fifo", "spread"));
        assertEquals(kumasi.policies().get(WorkKind.BATCH), new KindPolicy("fifo", "best-fit"));
        assertEquals(accra.tuning().requestReserve(), Resources.of(7, 9, 0));
        assertEquals(accra.tuning().maxAttempts(), 4);
        assertEquals(accra.tuning().reservedSlots(), 3);
        assertEquals(kumasi.tuning().maxAttempts(), Tuning.DEFAULT.maxAttempts());
        assertEquals(kumasi.version(), 7);
        assertEquals(kumasi.team(TeamId.of("web")).orElseThrow().weight(), 2.0);
        assertEquals(kumasi.queue(QueueId.of("q")).orElseThrow().timeoutMillis(), 10_000);
        assertTrue(kumasi.key(OTHER_HASH).orElseThrow().isOperator());
        assertEquals(kumasi.key(HASH).orElseThrow().team(), Optional.of(TeamId.of("web")));
    }

    @Test
    public void omittedTuningValuesHaveSchedulerDefaults() {
        String base = BASE.replaceAll(",\\s*\"policies\"[\\s\\S]*", "}");
        assertEquals(read(base).configuration("accra").orElseThrow().tuning(), Tuning.DEFAULT);
    }

    @Test
    public void allErrorsOfTheBaseFileAreReportedTogether() {
        String base =
                """
                {
                  "cell": {"name": "plots", "expectedEntries": 0},
                  "sites": ["accra", "accra"],
                  "teams": [
                    {"name": "web", "weight": 0, "limit": {"cpuMillis": 50, "memoryMb": 8000}},
                    {"name": "idle", "weight": 1.5, "limit": {"cpuMillis": 50, "memoryMb": -1}},
                    {"name": "web", "weight": "x"}
                  ],
                  "keys": [
                    {"id": "k1", "team": "wep", "sha256": "HASH"},
                    {"id": "k1", "team": "web", "sha256": "HASH"}
                  ],
                  "queues": [
                    {"name": "q", "team": "web", "kind": "lookups", "prio": 1,
                     "size": {"cpuMillis": 100, "memoryMb": 0}}
                  ],
                  "policies": {"batch": {"order": "fifoo"}},
                  "tunning": {}
                }
                """
                        .replace("HASH", HASH);
        CellReadResult result = read(base);
        assertFalse(result.isValid());
        assertTrue(result.configurations().isEmpty());
        assertFinding(result, "base.jsonc:2:48: error: $.cell.expectedEntries: 0 is not between 1");
        assertFinding(
                result,
                "base.jsonc:3:22: error: $.sites[1]: the site \"accra\" is used twice; first at"
                        + " base.jsonc:3:13");
        assertFinding(result, "base.jsonc:5:31: error: $.teams[0].weight: 0 is not above 0.0");
        assertFinding(
                result, "base.jsonc:6:14: warning: $.teams[1].name: the team \"idle\" has no");
        assertFinding(result, "base.jsonc:6:76: error: $.teams[1].limit.memoryMb: -1 is not");
        assertFinding(result, "base.jsonc:7:14: error: $.teams[2].name: the team \"web\" is used");
        assertFinding(result, "base.jsonc:7:31: error: $.teams[2].weight: expected a number");
        assertFinding(result, "base.jsonc:7:5: error: $.teams[2]: the field \"limit\" is missing");
        assertFinding(
                result,
                "base.jsonc:10:26: error: $.keys[0].team: the team \"wep\" is not declared; the"
                        + " nearest is \"web\"");
        assertFinding(result, "base.jsonc:11:12: error: $.keys[1].id: the key id \"k1\" is used");
        assertFinding(result, "base.jsonc:11:43: error: $.keys[1].sha256: the key hash ");
        assertFinding(
                result, "base.jsonc:14:42: error: $.queues[0].kind: \"lookups\" is not one of");
        assertFinding(result, "base.jsonc:14:53: error: $.queues[0].prio: unknown field");
        assertFinding(
                result,
                "base.jsonc:15:28: error: $.queues[0].size.cpuMillis: cpuMillis of the queue (100)"
                        + " is above the limit of its team (50) at base.jsonc:5:57");
        assertFinding(result, "base.jsonc:15:45: error: $.queues[0].size.memoryMb: 0 is not");
        assertFinding(
                result,
                "base.jsonc:17:35: error: $.policies.batch.order: \"fifoo\" is not one of"
                        + " weighted-fair, fifo; the nearest is \"fifo\"");
        assertFinding(result, "base.jsonc:18:3: error: $.tunning: unknown field \"tunning\"; the");
        assertFinding(result, "base.jsonc:1:1: warning: $: no operator has a key");
    }

    @Test
    public void fleetWideSettingsInOverlaysAreRejected() {
        CellReadResult result =
                read(
                        BASE,
                        "{\"site\": \"kumassi\",\n \"teams\": [], \"tuning\": {\"maxAttempts\": 0}}",
                        "{\"site\": \"accra\"}",
                        "{\"site\": \"accra\"}",
                        "{\"site\": \"kumasi\", ");
        assertFinding(result, "o0.jsonc:1:10: error: $.site: the base does not list the site");
        assertFinding(result, "o0.jsonc:2:2: error: $.teams: \"teams\" is fleet-wide");
        assertFinding(result, "o0.jsonc:2:41: error: $.tuning.maxAttempts: 0 is not between");
        assertFinding(result, "o2.jsonc:1:10: error: $.site: the site \"accra\" has two overlays");
        assertFinding(result, "o3.jsonc:1:20: error: $: the text ends inside the object");
        assertEquals(result.findings().size(), 5, result.findings().toString());
    }

    /**
     * Guards against accepting texts that exceed the size limit of the store, which would fail only
     * when they are written.
     */
    @Test
    public void textsTooLargeForTheStoreAreReported() {
        CellReadResult result = read(BASE + "// " + "x".repeat(1_000_000));
        assertFinding(result, "base.jsonc:1:1: error: $: base and overlays take 100");
    }

    /** Guards against accepting a text that an editor or a full disk truncated. */
    @Test
    public void everyTruncatedTextIsRejected() {
        for (int length = 0; length < BASE.stripTrailing().length(); length++) {
            CellReadResult result = read(BASE.substring(0, length));
            assertFalse(result.isValid(), "length " + length);
        }
    }

    /** Guards against exceptions on corrupted texts, which must give findings instead. */
    @Test
    public void corruptedTextsNeverThrow() {
        long seed = 4711;
        Random random = new Random(seed);
        for (int i = 0; i < 2_000; i++) {
            StringBuilder text = new StringBuilder(BASE);
            for (int j = 0; j < 3; j++) {
                int at = random.nextInt(text.length());
                text.setCharAt(at, "{}[]\",:0x/-9e\n".charAt(random.nextInt(14)));
            }
            CellReadResult result = read(text.toString(), OVERLAY);
            for (Finding finding : result.findings()) {
                assertTrue(finding.line() > 0 && finding.column() > 0, "seed " + seed);
            }
            assertEquals(
                    result.configurations().isEmpty(),
                    result.findings().stream().anyMatch(f -> f.severity() == Severity.ERROR),
                    "seed " + seed + " step " + i + "\n" + text);
        }
    }

    @Test
    public void decodingRestoresTheEncodedDocument() throws InvalidDocumentException {
        ConfigurationDocument document =
                ConfigurationDocument.of(3, BASE, Map.of("accra", OVERLAY, "kumasi", "é\u0000\n"));
        String json = ConfigurationDocumentCodec.encode(document);
        assertEquals(ConfigurationDocumentCodec.decode(json), document);
        for (String wrong : List.of("", "null", "[]", "{\"version\":1}", json + "x", "{\"a\":1}")) {
            expectThrows(
                    InvalidDocumentException.class, () -> ConfigurationDocumentCodec.decode(wrong));
        }
    }

    @Test
    public void storedOverlayMustNameTheSiteOfItsMapKey() {
        CellReadResult result =
                CellReader.of(PolicyNames.BUILT_IN)
                        .read(ConfigurationDocument.of(3, BASE, Map.of("kumasi", OVERLAY)));
        assertFinding(result, "kumasi.jsonc:1:10: error: $.site: the overlay of the site");
    }

    @Test
    public void diffIdentifiesListElementsByName() {
        ConfigurationDocument before = ConfigurationDocument.of(1, BASE, Map.of("accra", OVERLAY));
        ConfigurationDocument after =
                before.withBase(
                        BASE.replace("\"weight\": 2", "\"weight\": 5")
                                .replace("\"kumasi\"", "\"tamale\""));
        assertEquals(
                ConfigurationDiff.of(before, after).stream()
                        .map(ConfigurationChange::toString)
                        .toList(),
                List.of(
                        "- base sites[kumasi] = \"kumasi\"",
                        "+ base sites[tamale] = \"tamale\"",
                        "~ base teams[web].weight: 2 -> 5"));
        assertEquals(ConfigurationDiff.of(before, before.withVersion(2)), List.of());
        assertEquals(ConfigurationDiff.of(before, before.withBase(BASE + "// end")).size(), 1);
    }
}
