package org.jujubefork.client.api;

import java.util.Map;

/**
 * The body of {@code PUT /v1/admin/config}.
 *
 * @param ifVersion the version that the texts are based on; another one in force is a conflict
 * @param base the text of the base file
 * @param overlays the texts of the overlays by site
 */
public record ConfigApply(long ifVersion, String base, Map<String, String> overlays) {
    /** Copies the overlays. */
    public ConfigApply {
        MessageChecks.requirePresent("base", base);
        overlays = overlays == null ? Map.of() : Map.copyOf(overlays);
    }
}
