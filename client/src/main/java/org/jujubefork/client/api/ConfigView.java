package org.jujubefork.client.api;

import java.util.Map;

/**
 * Configuration texts in force on the responding entry, returned by {@code GET /v1/admin/config}.
 *
 * @param version version of the configuration, 0 if there is none yet
 * @param base content of the base file
 * @param overlays contents of the overlay files by site
 */
public record ConfigView(long version, String base, Map<String, String> overlays) {
    /**
     * Rejects a missing base text and copies the overlays; missing overlays become an empty map.
     */
    public ConfigView {
        MessageChecks.requirePresent("base", base);
        overlays = overlays == null ? Map.of() : Map.copyOf(overlays);
    }
}
