package org.jujubefork.client.api;

import java.util.List;

/**
 * The answer to {@code GET /v1/admin/tasks}.
 *
 * @param tasks requests and tasks of all shards whose owners answered
 * @param missing shards whose owners did not answer in time
 */
public record TasksView(List<TaskView> tasks, List<MissingShardsView> missing) {
    /** Copies the lists. */
    public TasksView {
        tasks = MessageChecks.copyOrEmpty(tasks);
        missing = MessageChecks.copyOrEmpty(missing);
    }
}
