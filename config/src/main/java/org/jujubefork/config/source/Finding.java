package org.jujubefork.config.source;

import java.util.Collection;
import java.util.Comparator;
import java.util.Locale;

/**
 * An error or warning about a settings file, with its position.
 *
 * @param severity whether the settings can still be used
 * @param file the name of the settings file
 * @param line the line, from 1
 * @param column the column in characters, from 1
 * @param path the JSON path of the value, such as {@code $.teams[2].weight}
 * @param message what is wrong and what was expected
 */
public record Finding(
        Severity severity, String file, int line, int column, String path, String message) {
    /** Orders findings of one file by line and column. */
    public static final Comparator<Finding> BY_POSITION =
            Comparator.comparingInt(Finding::line).thenComparingInt(Finding::column);

    /** Returns an error at {@code position}. */
    public static Finding error(SourcePosition position, String path, String message) {
        return new Finding(
                Severity.ERROR, position.file(), position.line(), position.column(), path, message);
    }

    /** Returns a warning at {@code position}. */
    public static Finding warning(SourcePosition position, String path, String message) {
        return new Finding(
                Severity.WARNING,
                position.file(),
                position.line(),
                position.column(),
                path,
                message);
    }

    /** Returns whether {@code findings} contains an error, as opposed to warnings only. */
    public static boolean anyError(Collection<Finding> findings) {
        return findings.stream().anyMatch(finding -> finding.severity() == Severity.ERROR);
    }

    @Override
    public String toString() {
        return file
                + ":"
                + line
                + ":"
                + column
                + ": "
                + severity.name().toLowerCase(Locale.ROOT)
                + ": "
                + path
                + ": "
                + message;
    }
}
