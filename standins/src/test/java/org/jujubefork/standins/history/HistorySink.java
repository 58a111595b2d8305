package org.jujubefork.standins.history;

import java.util.Map;

/** Takes events in the order in which they happened in their component. */
@FunctionalInterface
public interface HistorySink {
    /** A sink that keeps nothing. */
    HistorySink NONE = (type, nanos, fields) -> {};

    void record(EventType type, long nanos, Map<String, Object> fields);
}
