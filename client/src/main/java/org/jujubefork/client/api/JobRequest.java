package org.jujubefork.client.api;

import java.util.Optional;

/**
 * The body of {@code POST /v1/jobs}.
 *
 * @param queue the queue, of kind batch, service or gang
 * @param name a name for people, need not be unique
 * @param tasks the number of tasks or replicas, at least 1
 * @param size the size of one task; the queue's size if empty
 * @param payload the input of each task
 * @param idempotencyKey a retry with the same key of the same team returns the job of the first one
 */
public record JobRequest(
        String queue,
        String name,
        int tasks,
        Optional<ResourcesView> size,
        String payload,
        Optional<String> idempotencyKey) {
    /** Checks the number of tasks. */
    public JobRequest {
        MessageChecks.requirePresent("queue", queue);
        if (tasks < 1) {
            throw new IllegalArgumentException("tasks must be at least 1: " + tasks);
        }
        name = name == null ? "" : name;
        payload = payload == null ? "" : payload;
    }
}
