package org.jujubefork.config.source;

/**
 * A position in a settings file.
 *
 * @param file the file name for findings
 * @param line the line, from 1
 * @param column the column in characters, from 1
 * @param offset the index of the character in the text, from 0
 */
public record SourcePosition(String file, int line, int column, int offset) {
    @Override
    public String toString() {
        return file + ":" + line + ":" + column;
    }
}
