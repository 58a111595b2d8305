package org.jujubefork.client.api;

/**
 * An error or warning about a configuration text.
 *
 * @param severity {@code error} or {@code warning}
 * @param file file name of the text
 * @param line line number, from 1
 * @param column column number, from 1
 * @param path JSON path of the value
 * @param message description of the problem
 */
public record FindingView(
        String severity, String file, int line, int column, String path, String message) {
    @Override
    public String toString() {
        return file + ":" + line + ":" + column + ": " + severity + ": " + path + ": " + message;
    }
}
