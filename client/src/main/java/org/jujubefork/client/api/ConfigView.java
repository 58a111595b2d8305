package org.jujubefork.client.api;

import java.util.Map;

/**
 * The configuration texts that are in force on the entry, the answer to {@code GET
 * /v1/admin/config}.
 *
 * @param version the version, 0 if there is none yet
 * @param base the text of the base file
 * @param overlays the texts of the overlays by site
 */
public record ConfigView(long version, String base, Map<String, String> overlays) {
    /** Copies the overlays. */
    public ConfigView {
        MessageChecks.requirePresent("base", base);
        overlays = overlays == null ? Map.of() : Map.copyOf(overlays);
    }
}
