package org.jujubefork.config.cell;

/**
 * The text of a configuration file with the file name for findings.
 *
 * @param name the file name
 * @param text the contents of the file
 */
public record NamedText(String name, String text) {
    /** Returns a text with its file name. */
    public static NamedText of(String name, String text) {
        return new NamedText(name, text);
    }
}
