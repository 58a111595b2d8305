package org.jujubefork.standins.history;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jujubefork.core.model.Resources;

/**
 * One recorded event.
 *
 * @param nanos monotonic time of the recording process in nanoseconds
 * @param millis wall-clock time in milliseconds since 1970
 * @param fields further fields, of which the values are texts and integers
 */
public record HistoryEvent(EventType type, long nanos, long millis, Map<String, Object> fields) {
    public HistoryEvent {
        fields = Collections.unmodifiableMap(new LinkedHashMap<>(fields));
    }

    /** Returns a field as text, empty if there is none. */
    public String text(String name) {
        Object value = fields.get(name);
        return value == null ? "" : value.toString();
    }

    public boolean has(String name) {
        return fields.containsKey(name);
    }

    /**
     * Returns an integer field.
     *
     * @throws IllegalStateException if there is none
     */
    public long number(String name) {
        if (fields.get(name) instanceof Number number) {
            return number.longValue();
        }
        throw new IllegalStateException("no integer field " + name + " in " + this);
    }

    /** Returns the size or capacity that the event carries. */
    public Resources resources() {
        return Resources.of(number("cpuMillis"), number("memoryMb"), number("accelerators"));
    }
}
