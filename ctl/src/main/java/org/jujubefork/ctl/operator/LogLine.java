package org.jujubefork.ctl.operator;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A line of an entry's log that tells of a decision.
 *
 * @param at when it was written, in Unix milliseconds of the VM
 * @param source the entry or file that it comes from
 * @param event the kind of decision
 * @param subject what it is about
 * @param detail the other pairs in their order
 */
record LogLine(long at, String source, String event, String subject, Map<String, String> detail) {
    private static final Pattern KEY_VALUE_PAIR =
            Pattern.compile("([a-z_]+)=(\"(?:[^\"\\\\]|\\\\.)*\"|\\S+)");

    /** The start of a decision's line; what stands before it names the entry. */
    private static final Pattern EVENT_START = Pattern.compile("ts=\\d{10,} event=");

    /** Copies the pairs. */
    LogLine {
        detail = Map.copyOf(detail);
    }

    /**
     * Parses a line.
     *
     * @param file the source if the line itself does not name one
     * @return the line, or nothing if it tells of no decision
     */
    static Optional<LogLine> parse(String file, String text) {
        Matcher start = EVENT_START.matcher(text);
        if (!start.find()) {
            return Optional.empty();
        }
        String[] prefixWords = text.substring(0, start.start()).strip().split("\\s+");
        String name = prefixWords[prefixWords.length - 1];
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
                        name.isEmpty() ? file : name,
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

    /** Returns the value of {@code key}, empty if the line has none. */
    String value(String key) {
        return detail.getOrDefault(key, "");
    }

    /** Returns the number of {@code key}, 0 if the line has none. */
    long numericValue(String key) {
        String value = value(key);
        return value.matches("-?\\d{1,18}") ? Long.parseLong(value) : 0;
    }

    /** Returns whether the line is about the job {@code id}, one of its tasks or a call for it. */
    boolean isAbout(String id) {
        return subject.equals(id) || subject.startsWith(id + ".") || subject.endsWith("/" + id);
    }
}
