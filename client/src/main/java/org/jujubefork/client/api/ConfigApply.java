package org.jujubefork.client.api;

import java.util.Map;

/**
 * Request body of {@code PUT /v1/admin/config}.
 *
 * @param ifVersion version on which the texts are based; the change is rejected as a conflict if
 *     another version is in force
 * @param base content of the base file
 * @param overlays contents of the overlay files by site
 */
public record ConfigApply(long ifVersion, String base, Map<String, String> overlays) {
    /**
     * Rejects a missing base text and copies the overlays; missing overlays become an empty map.
     */
    public ConfigApply {
        MessageChecks.requirePresent("base", base);
        overlays = overlays == null ? Map.of() : Map.copyOf(overlays);
    }
}
