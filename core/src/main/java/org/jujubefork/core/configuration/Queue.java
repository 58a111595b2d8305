package org.jujubefork.core.configuration;

import org.jujubefork.core.model.QueueId;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.TeamId;
import org.jujubefork.core.model.WorkKind;

/**
 * A queue, through which work of one kind enters for one team.
 *
 * @param id the queue
 * @param team the team that is charged
 * @param open whether callers need no key
 * @param kind the kind of work
 * @param size the size of one request, or the default size of one task
 * @param urgent whether requests may use the reserved part of each worker and go ahead of other
 *     work
 * @param timeoutMillis how long a request may take from arrival to its answer, in milliseconds
 * @param maxQueued how many requests or tasks may wait in one shard
 */
public record Queue(
        QueueId id,
        TeamId team,
        boolean open,
        WorkKind kind,
        Resources size,
        boolean urgent,
        long timeoutMillis,
        int maxQueued) {
    /** Checks the bounds. */
    public Queue {
        if (size.isNegative() || size.isZero()) {
            throw new IllegalArgumentException(
                    "size of queue " + id + " must be above zero: " + size);
        }
        if (timeoutMillis < 1) {
            throw new IllegalArgumentException(
                    "timeout of queue " + id + " must be at least 1 ms: " + timeoutMillis);
        }
        if (maxQueued < 1) {
            throw new IllegalArgumentException(
                    "maxQueued of queue " + id + " must be at least 1: " + maxQueued);
        }
    }
}
