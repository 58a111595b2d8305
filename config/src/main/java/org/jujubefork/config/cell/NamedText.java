package org.jujubefork.config.cell;

/**
 * A configuration text with the name by which findings refer to it.
 *
 * @param name a file name
 * @param text the text
 */
public record NamedText(String name, String text) {
    /** Returns {@code text} under {@code name}. */
    public static NamedText of(String name, String text) {
        return new NamedText(name, text);
    }
}
