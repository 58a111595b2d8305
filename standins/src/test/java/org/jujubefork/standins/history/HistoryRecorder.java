package org.jujubefork.standins.history;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Keeps a history in memory. */
public final class HistoryRecorder implements HistorySink {
    private final List<HistoryEvent> events = new ArrayList<>();

    @Override
    public synchronized void record(EventType type, long nanos, Map<String, Object> fields) {
        events.add(new HistoryEvent(type, nanos, System.currentTimeMillis(), fields));
    }

    public synchronized List<HistoryEvent> events() {
        return List.copyOf(events);
    }
}
