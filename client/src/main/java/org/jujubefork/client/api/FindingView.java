package org.jujubefork.client.api;

/**
 * Something that is wrong in a configuration text.
 *
 * @param severity error or warning
 * @param file the name of the text
 * @param line the line, from 1
 * @param column the column, from 1
 * @param path the JSON path of the value
 * @param message what is wrong
 */
public record FindingView(
        String severity, String file, int line, int column, String path, String message) {
    @Override
    public String toString() {
        return file + ":" + line + ":" + column + ": " + severity + ": " + path + ": " + message;
    }
}
