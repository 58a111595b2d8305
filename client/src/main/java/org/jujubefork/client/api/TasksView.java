package org.jujubefork.client.api;

import java.util.List;

/**
 * Response to {@code GET /v1/admin/tasks}.
 *
 * @param tasks requests and tasks of all shards whose owners responded
 * @param missing shards whose owners did not respond in time
 */
public record TasksView(List<TaskView> tasks, List<MissingShardsView> missing) {
    /** Copies the lists; a missing list becomes empty. */
    public TasksView {
        tasks = MessageChecks.copyOrEmpty(tasks);
        missing = MessageChecks.copyOrEmpty(missing);
    }
}
