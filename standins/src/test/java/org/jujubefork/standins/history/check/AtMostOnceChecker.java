package org.jujubefork.standins.history.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jujubefork.standins.history.EventType;
import org.jujubefork.standins.history.HistoryEvent;

/** P7: a non-idempotent request, known by team and idempotency key, starts at most once. */
public final class AtMostOnceChecker implements HistoryChecker {
    @Override
    public List<Violation> check(List<HistoryEvent> events) {
        List<Violation> violations = new ArrayList<>();
        Map<String, HistoryEvent> first = new HashMap<>();
        for (HistoryEvent event : events) {
            if (event.type() != EventType.START || event.text("idempotencyKey").isEmpty()) {
                continue;
            }
            String key = event.text("team") + " " + event.text("idempotencyKey");
            HistoryEvent other = first.putIfAbsent(key, event);
            if (other != null) {
                violations.add(
                        new Violation(
                                "P7",
                                event.nanos(),
                                key
                                        + " started as "
                                        + other.text("task")
                                        + " and as "
                                        + event.text("task")));
            }
        }
        return List.copyOf(violations);
    }
}
