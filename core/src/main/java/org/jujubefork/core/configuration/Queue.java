package org.jujubefork.core.configuration;

import org.jujubefork.core.model.QueueId;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.TeamId;
import org.jujubefork.core.model.WorkKind;

/**
 * A queue, through which callers submit work of one kind for one team.
 *
 * @param id identifier of the queue
 * @param team the team whose share and limit the work counts against
 * @param open whether callers may submit work without an access key
 * @param kind the kind of work
 * @param size resources of one request, or the default resources of one task
 * @param urgent whether requests may use the reserved part of each worker and are scheduled before
 *     other work
 * @param timeoutMillis maximum time from the arrival of a request to its answer, in milliseconds
 * @param maxQueued maximum number of requests or tasks of this queue that may wait in one shard
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
    /** Checks that the size is positive and that the other bounds are at least 1. */
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
