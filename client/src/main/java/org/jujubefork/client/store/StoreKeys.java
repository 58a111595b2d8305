package org.jujubefork.client.store;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;

/** Validates store keys and encodes them for URIs. */
final class StoreKeys {
    /** Maximum length of a key, in characters. */
    static final int MAX_KEY_LENGTH = 512;

    private StoreKeys() {}

    /**
     * Returns {@code key} percent-encoded except for its slashes, with a leading slash.
     *
     * @throws IllegalArgumentException if the key is empty or too long, or has an empty, {@code .}
     *     or {@code ..} segment, which HTTP clients, servers and proxies may remove
     */
    static String encodePath(String key) {
        if (key.isEmpty() || key.length() > MAX_KEY_LENGTH) {
            throw new IllegalArgumentException(
                    "key must have 1 to " + MAX_KEY_LENGTH + " characters: '" + key + "'");
        }
        StringBuilder encoded = new StringBuilder(key.length() + 16);
        for (String segment : key.split("/", -1)) {
            if (segment.isEmpty() || segment.equals(".") || segment.equals("..")) {
                throw new IllegalArgumentException(
                        "invalid key segment '" + segment + "' in key " + key);
            }
            encoded.append('/').append(encode(segment));
        }
        return encoded.toString();
    }

    /** Returns {@code text} percent-encoded for a query or a path segment. */
    static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
    }
}
