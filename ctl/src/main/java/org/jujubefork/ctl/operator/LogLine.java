package org.jujubefork.ctl.operator;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A log event, parsed from a line of an entry's log.
 *
 * @param at when it was logged, in Unix milliseconds of the VM's clock
 * @param source the entry that logged it, or the file name if the line names no entry
 * @param event the name of the event
 * @param subject what the event concerns, such as a job, task or worker; empty if not given
 * @param detail the other key-value pairs of the line
 */
record LogLine(long at, String source, String event, String subject, Map<String, String> detail) {
    private static final Pattern KEY_VALUE_PAIR =
            Pattern.compile("([a-z_]+)=(\"(?:[^\"\\\\]|\\\\.)*\"|\\S+)");

    /** The start of a log event. The last word before it, if any, is the name of the entry. */
    private static final Pattern EVENT_START = Pattern.compile("ts=\\d{10,} event=");

    /** Copies {@code detail}. */
    LogLine {
        detail = Map.copyOf(detail);
    }

    /**
     * Parses a line of a log file.
     *
     * @param file the source if the line itself does not name an entry
     * @return the log event, or empty if the line contains none
     */
    static Optional<LogLine> parse(String file, String text) {
        Matcher start = EVENT_START.matcher(text);
        if (!start.find()) {
            return Optional.empty();
        }
        String[] prefixWords = text.substring(0, start.start()).strip().split("\\s+");
        String entry = prefixWords[prefixWords.length - 1];
        Map<String, String> pairs = new LinkedHashMap<>();
        Matcher pair = KEY_VALUE_PAIR.matcher(text.substring(start.start()));
        while (pair.find()) {
            pairs.put(pair.group(1), unquote(pair.group(2)));
        }
        long at = Long.parseLong(pairs.remove("ts"));
        String event = pairs.remove("event");
        String subject = pairs.remove("subject");
        return Optional.of(
                new LogLine(
                        at,
                        entry.isEmpty() ? file : entry,
                        event,
                        subject == null ? "" : subject,
                        pairs));
    }

    private static String unquote(String value) {
        if (!value.startsWith("\"")) {
            return value;
        }
        return value.substring(1, value.length() - 1).replaceAll("\\\\(.)", "$1");
    }

    /** Returns the value of {@code key}, or an empty string if the line does not have the key. */
    String value(String key) {
        return detail.getOrDefault(key, "");
    }

    /** Returns the value of {@code key} as an integer, or 0 if it is absent or not an integer. */
    long numericValue(String key) {
        String value = value(key);
        return value.matches("-?\\d{1,18}") ? Long.parseLong(value) : 0;
    }

    /** Returns whether the subject is the job {@code id}, one of its tasks or a call for it. */
    boolean isAbout(String id) {
        return subject.equals(id) || subject.startsWith(id + ".") || subject.endsWith("/" + id);
    }
}
