package org.jujubefork.client.api;

import java.util.Optional;

/**
 * Request body of {@code POST /v1/jobs}.
 *
 * @param queue name of a queue of kind batch, service or gang
 * @param name display name, need not be unique
 * @param tasks number of tasks or replicas, at least 1
 * @param size resources of one task; if empty, the queue's size applies
 * @param payload input passed to each task
 * @param idempotencyKey key by which a retry is recognized: a second submission by the same team
 *     with the same key returns the job of the first
 */
public record JobRequest(
        String queue,
        String name,
        int tasks,
        Optional<ResourcesView> size,
        String payload,
        Optional<String> idempotencyKey) {
    /** Rejects a missing queue and fewer than one task; a missing name or payload becomes empty. */
    public JobRequest {
        MessageChecks.requirePresent("queue", queue);
        if (tasks < 1) {
            throw new IllegalArgumentException("tasks must be at least 1: " + tasks);
        }
        name = name == null ? "" : name;
        payload = payload == null ? "" : payload;
    }
}
