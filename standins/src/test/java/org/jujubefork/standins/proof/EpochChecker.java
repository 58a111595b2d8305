package org.jujubefork.standins.proof;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jujubefork.standins.history.EventType;
import org.jujubefork.standins.history.HistoryEvent;
import org.jujubefork.standins.history.check.HistoryChecker;
import org.jujubefork.standins.history.check.Violation;

/** D1: after a worker took an epoch, it starts nothing under a lower one. */
final class EpochChecker implements HistoryChecker {
    @Override
    public List<Violation> check(List<HistoryEvent> events) {
        Map<String, Long> highest = new HashMap<>();
        List<Violation> violations = new ArrayList<>();
        for (HistoryEvent event : events) {
            if (event.type() == EventType.LEASE) {
                highest.merge(event.text("worker"), event.number("epoch"), Math::max);
            } else if (event.type() == EventType.START
                    && event.number("epoch") < highest.getOrDefault(event.text("worker"), 0L)) {
                violations.add(
                        new Violation(
                                "P2",
                                event.nanos(),
                                event.text("task")
                                        + " started under epoch "
                                        + event.number("epoch")
                                        + " after epoch "
                                        + highest.get(event.text("worker"))));
            }
        }
        return List.copyOf(violations);
    }
}
