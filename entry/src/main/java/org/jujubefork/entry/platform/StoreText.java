package org.jujubefork.entry.platform;

import java.nio.charset.StandardCharsets;

/** Values of the store as text. */
final class StoreText {
    private StoreText() {}

    static String decode(byte[] value) {
        return new String(value, StandardCharsets.UTF_8);
    }

    static byte[] encode(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
