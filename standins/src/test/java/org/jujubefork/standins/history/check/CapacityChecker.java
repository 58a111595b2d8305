package org.jujubefork.standins.history.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jujubefork.core.model.Resources;
import org.jujubefork.standins.history.EventType;
import org.jujubefork.standins.history.HistoryEvent;

/** P1: the declared sizes of the tasks on a worker never exceed the worker's capacity. */
public final class CapacityChecker implements HistoryChecker {
    @Override
    public List<Violation> check(List<HistoryEvent> events) {
        List<Violation> violations = new ArrayList<>();
        Map<String, Resources> capacities = new HashMap<>();
        for (HistoryEvent event : events) {
            if (event.type() == EventType.WORKER) {
                capacities.put(event.text("worker"), event.resources());
            }
        }
        RunningTasks.replay(
                events,
                (tasks, start) -> {
                    String worker = start.text("worker");
                    Resources used = start.resources();
                    for (HistoryEvent other : tasks.on(worker)) {
                        used = used.plus(other.resources());
                    }
                    Resources capacity = capacities.get(worker);
                    if (capacity == null) {
                        violations.add(violation(start, "start on unknown worker " + worker));
                    } else if (!used.fitsIn(capacity)) {
                        violations.add(
                                violation(start, worker + " holds " + used + " of " + capacity));
                    }
                },
                (start, end) -> {});
        return List.copyOf(violations);
    }

    private static Violation violation(HistoryEvent event, String message) {
        return new Violation("P1", event.nanos(), message + " at task " + event.text("task"));
    }
}
