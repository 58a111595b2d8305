package org.jujubefork.entry.telemetry;

/** Formats the {@code key=value} fields of log lines. */
public final class LogFields {
    private LogFields() {}

    /**
     * Appends {@code key=value}, separated by a space from what precedes it. A value with white
     * space, quotes, backslashes or {@code =} is quoted and escaped. Appends nothing if the value
     * is empty.
     */
    public static void append(StringBuilder line, String key, String value) {
        if (value.isEmpty()) {
            return;
        }
        if (!line.isEmpty()) {
            line.append(' ');
        }
        line.append(key).append('=');
        if (needsQuotes(value)) {
            line.append('"')
                    .append(
                            value.replace("\\", "\\\\")
                                    .replace("\"", "\\\"")
                                    .replace("\n", "\\n")
                                    .replace("\r", "\\r"))
                    .append('"');
        } else {
            line.append(value);
        }
    }

    private static boolean needsQuotes(String value) {
        return value.chars().anyMatch(c -> c <= ' ' || c == '"' || c == '=' || c == '\\');
    }
}
