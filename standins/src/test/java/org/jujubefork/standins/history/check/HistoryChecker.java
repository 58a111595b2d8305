package org.jujubefork.standins.history.check;

import java.util.List;
import org.jujubefork.standins.history.HistoryEvent;

/** Judges a history that is ordered by time. */
@FunctionalInterface
public interface HistoryChecker {
    /** Returns all violations, none if the history keeps the promise. */
    List<Violation> check(List<HistoryEvent> events);
}
