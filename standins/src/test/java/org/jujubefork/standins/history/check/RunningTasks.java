package org.jujubefork.standins.history.check;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import org.jujubefork.standins.history.EventType;
import org.jujubefork.standins.history.HistoryEvent;

/** Follows which tasks run on which worker. */
final class RunningTasks {
    private final Map<String, Map<String, HistoryEvent>> byWorker = new HashMap<>();

    /**
     * Replays events.
     *
     * @param started called with each START, before the task counts as running
     * @param ended called with the START of each task that ends and with the event that ends it,
     *     also when its worker begins a new incarnation or is killed
     */
    static void replay(
            List<HistoryEvent> events,
            BiConsumer<RunningTasks, HistoryEvent> started,
            BiConsumer<HistoryEvent, HistoryEvent> ended) {
        RunningTasks tasks = new RunningTasks();
        for (HistoryEvent event : events) {
            tasks.apply(event, started, ended);
        }
    }

    private void apply(
            HistoryEvent event,
            BiConsumer<RunningTasks, HistoryEvent> started,
            BiConsumer<HistoryEvent, HistoryEvent> ended) {
        Map<String, HistoryEvent> running =
                byWorker.computeIfAbsent(event.text("worker"), w -> new HashMap<>());
        if (event.type() == EventType.START) {
            started.accept(this, event);
            running.put(event.text("task"), event);
        } else if (event.type() == EventType.END) {
            HistoryEvent start = running.remove(event.text("task"));
            if (start != null) {
                ended.accept(start, event);
            }
        } else if (event.type() == EventType.WORKER || event.type() == EventType.WORKER_DOWN) {
            running.values().forEach(start -> ended.accept(start, event));
            running.clear();
        }
    }

    /** Returns the START events of the tasks that run on a worker. */
    Iterable<HistoryEvent> on(String worker) {
        return byWorker.getOrDefault(worker, Map.of()).values();
    }
}
