package org.jujubefork.standins.history.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jujubefork.standins.history.HistoryEvent;

/** P2: no task identifier and no (job, index) runs in two places at once. */
public final class SinglePlaceChecker implements HistoryChecker {
    @Override
    public List<Violation> check(List<HistoryEvent> events) {
        List<Violation> violations = new ArrayList<>();
        Map<String, HistoryEvent> running = new HashMap<>();
        RunningTasks.replay(
                events,
                (tasks, start) -> {
                    for (String key : keys(start)) {
                        HistoryEvent other = running.putIfAbsent(key, start);
                        if (other != null) {
                            violations.add(
                                    new Violation("P2", start.nanos(), message(key, other, start)));
                        }
                    }
                },
                // Removes only the entry of this start, so that a second run stays visible.
                (start, end) -> keys(start).forEach(key -> running.remove(key, start)));
        return List.copyOf(violations);
    }

    private static String message(String key, HistoryEvent first, HistoryEvent second) {
        return key
                + " runs on "
                + first.text("worker")
                + " and is started on "
                + second.text("worker");
    }

    private static List<String> keys(HistoryEvent start) {
        String task = "task " + start.text("task");
        return start.has("job")
                ? List.of(task, "job " + start.text("job") + " index " + start.number("index"))
                : List.of(task);
    }
}
