package org.jujubefork.entry.telemetry;

/** Formats fields of log lines. */
public final class LogFields {
    private LogFields() {}

    /**
     * Appends {@code key=value}; a value with spaces, quotes or {@code =} is quoted. Empty values
     * are left out.
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
