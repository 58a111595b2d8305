package org.jujubefork.client.api;

import java.util.List;

/**
 * The answer to {@code GET /v1/admin/tasks}.
 *
 * @param tasks requests and tasks of the shards that the answering entry owns
 */
public record TasksView(List<TaskView> tasks) {
    /** Copies the list. */
    public TasksView {
        tasks = Views.copyOf(tasks);
    }
}
