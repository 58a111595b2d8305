package org.jujubefork.config.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.util.List;
import org.jujubefork.config.source.Finding;
import org.testng.annotations.Test;

/** Guards against settings that are read wrongly and against findings with a wrong position. */
public final class DaemonSettingsReaderTest {
    private static final String MINIMAL =
            """
            // An entry.
            {
              "name": "e1", "region": "accra", "zone": "accra-1",
              "httpAddress": "127.0.0.1:7400", /* callers */
              "peerAddress": "[fd00::1]:7401",
              "storeAddress": "10.0.0.1:7500",
              "vmListAddress": "10.0.0.1:7501",
              "seeds": ["127.0.0.1:7401"]
            }
            """;

    @Test
    public void omittedSettingsHaveDefaults() throws InvalidSettingsException {
        DaemonSettings settings = DaemonSettingsReader.parse("e1.jsonc", MINIMAL);
        assertEquals(settings.httpAddress(), HostPort.of("127.0.0.1", 7400));
        assertEquals(settings.peerAddress().toString(), "[fd00::1]:7401");
        assertEquals(settings.seeds(), List.of(HostPort.of("127.0.0.1", 7401)));
        assertEquals(settings.deadAfterMillis(), 5_000);
        assertEquals(settings.eventQueueCapacity(), 20_000);
    }

    @Test
    public void allFindingsAreReportedTogetherWithPositions() {
        String text =
                """
                {
                  "name": "e 1", "region": "accra",
                  "httpAddress": "127.0.0.1:70000",
                  "peerAdress": "127.0.0.1:7401",
                  "storeAddress": "localhost:1", "vmListAddress": 5,
                  "seeds": ["127.0.0.1:7401", "x"],
                  "gossipIntervalMillis": 5, "maxAnswerBytes": 99999999999999999999,
                  "suspectAfterMillis": 6000
                }
                """;
        List<Finding> findings =
                expectThrows(
                                InvalidSettingsException.class,
                                () -> DaemonSettingsReader.parse("e.jsonc", text))
                        .findings();
        List<String> printed = findings.stream().map(Finding::toString).toList();
        assertContains(printed, "e.jsonc:2:11: error: $.name: expected a name");
        assertContains(printed, "e.jsonc:3:18: error: $.httpAddress: expected an IP address");
        assertContains(
                printed,
                "e.jsonc:4:3: error: $.peerAdress: unknown field \"peerAdress\"; the nearest known"
                        + " field is \"peerAddress\"");
        assertContains(printed, "e.jsonc:5:19: error: $.storeAddress: ");
        assertContains(
                printed, "e.jsonc:5:51: error: $.vmListAddress: expected a string, found a whole");
        assertContains(printed, "e.jsonc:6:31: error: $.seeds[1]: ");
        assertContains(
                printed,
                "e.jsonc:7:27: error: $.gossipIntervalMillis: 5 is not between 10 and 600000");
        assertContains(printed, "e.jsonc:7:48: error: $.maxAnswerBytes: 99999999999999999999");
        assertContains(printed, "e.jsonc:1:1: error: $: the field \"zone\" is missing");
        assertContains(printed, "e.jsonc:1:1: error: $: the field \"peerAddress\" is missing");
        assertContains(
                printed,
                "e.jsonc:8:25: error: $.deadAfterMillis: deadAfterMillis (5000) must be above");
        assertEquals(findings.size(), 11, printed.toString());
    }

    @Test
    public void findingForTruncatedFileNamesTheUnclosedObject() {
        String text = MINIMAL.substring(0, MINIMAL.indexOf("\"seeds\""));
        InvalidSettingsException failure =
                expectThrows(
                        InvalidSettingsException.class,
                        () -> DaemonSettingsReader.parse("e.jsonc", text));
        assertEquals(failure.findings().size(), 1);
        assertTrue(
                failure.getMessage().contains("starts at line 2, column 1"), failure.getMessage());
    }

    private static void assertContains(List<String> printed, String start) {
        assertTrue(
                printed.stream().anyMatch(line -> line.startsWith(start)),
                "no finding starts with " + start + " in " + String.join("\n", printed));
    }
}
