package org.jujubefork.standins.fleet;

import java.util.List;
import java.util.Map;
import org.jujubefork.client.worker.EndedTask;
import org.jujubefork.core.model.TaskId;
import org.jujubefork.standins.history.EventType;

/**
 * Result of a command.
 *
 * @param notes events for the history
 * @param ended tasks that ended
 * @param lost tasks that a restart lost
 */
record WorkerStep(
        WorkerState state,
        WorkerOutcome outcome,
        List<Note> notes,
        List<EndedTask> ended,
        List<TaskId> lost) {
    /** One event for the history. */
    record Note(EventType type, Map<String, Object> fields) {}
}
