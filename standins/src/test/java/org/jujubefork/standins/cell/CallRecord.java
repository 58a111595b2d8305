package org.jujubefork.standins.cell;

import org.jujubefork.core.model.Outcome;

/**
 * What a caller saw of one request.
 *
 * @param id the echo value and, in the workers' history, the idempotency key of the request
 * @param startedNanos monotonic time of the first attempt
 * @param endedNanos monotonic time at which the caller had the answer or gave up
 * @param outcome what the caller knows; not run only if every attempt was
 * @param attempts how often the request was sent
 * @param reason why it is not done, empty otherwise
 * @param wrongBody whether an answer was complete by HTTP, but not the one to this request
 */
public record CallRecord(
        String id,
        String queue,
        boolean command,
        long startedNanos,
        long endedNanos,
        Outcome outcome,
        int attempts,
        String reason,
        boolean wrongBody) {}
