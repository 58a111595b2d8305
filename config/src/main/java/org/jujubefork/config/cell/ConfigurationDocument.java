package org.jujubefork.config.cell;

import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The configuration texts of all sites, stored as one value under one key.
 *
 * @param version incremented by one with each accepted change; 0 if none was accepted yet
 * @param base the text of the base file
 * @param overlays the texts of the overlays by site; empty if null
 */
public record ConfigurationDocument(long version, String base, SortedMap<String, String> overlays) {
    /** Checks version and base, and copies the overlays. */
    public ConfigurationDocument {
        if (version < 0) {
            throw new IllegalArgumentException("version must not be negative: " + version);
        }
        if (base == null) {
            throw new IllegalArgumentException("base must not be null");
        }
        overlays =
                overlays == null
                        ? Collections.emptySortedMap()
                        : Collections.unmodifiableSortedMap(new TreeMap<>(overlays));
    }

    /** Returns a document with a sorted copy of {@code overlays}. */
    public static ConfigurationDocument of(
            long version, String base, Map<String, String> overlays) {
        return new ConfigurationDocument(version, base, new TreeMap<>(overlays));
    }

    /** Returns this document with {@code newVersion} as its version. */
    public ConfigurationDocument withVersion(long newVersion) {
        return new ConfigurationDocument(newVersion, base, overlays);
    }

    /** Returns this document with {@code newBase} as its base text. */
    public ConfigurationDocument withBase(String newBase) {
        return new ConfigurationDocument(version, newBase, overlays);
    }
}
