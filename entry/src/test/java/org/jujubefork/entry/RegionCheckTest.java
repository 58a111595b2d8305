package org.jujubefork.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.jujubefork.config.cell.ConfigurationDocument;
import org.jujubefork.config.cell.ConfigurationDocumentCodec;
import org.testng.annotations.Test;

/** Guards against a misspelled region that is noticed only when the entry gets no work. */
public final class RegionCheckTest {
    private static String storedConfiguration() throws IOException {
        String base = Files.readString(Path.of("..", "examples", "plotshare", "base.jsonc"));
        return ConfigurationDocumentCodec.encode(ConfigurationDocument.of(1, base, Map.of()));
    }

    @Test
    public void unknownRegionFailsAndKnownRegionsAreListed() throws IOException {
        RegionCheck.Result result = RegionCheck.of("acra", storedConfiguration());
        assertFalse(result.passed());
        assertTrue(result.text().contains("accra") && result.text().contains("tamale"));
        assertEquals(
                RegionCheck.of("accra", storedConfiguration()),
                new RegionCheck.Result(true, "region \"accra\" is a site of the cell"));
    }

    @Test
    public void unreadableConfigurationPassesWithWarning() {
        RegionCheck.Result result = RegionCheck.of("accra", "{");
        assertTrue(result.passed());
        assertTrue(result.text().startsWith("warning: the region was not checked"), result.text());
    }
}
