package org.jujubefork.entry.platform;

import java.nio.charset.StandardCharsets;

/** Converts between values in the store and text, in UTF-8. */
final class StoreText {
    private StoreText() {}

    static String decode(byte[] value) {
        return new String(value, StandardCharsets.UTF_8);
    }

    static byte[] encode(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
