package org.jujubefork.standins.cell;

import org.jujubefork.core.model.Outcome;

/**
 * The result of one request as its caller saw it.
 *
 * @param id text that the worker echoes and that the workers' history holds as the idempotency key
 * @param queue name of the queue
 * @param command whether the request is a command, which must run at most once
 * @param startedNanos monotonic time of the first attempt
 * @param endedNanos monotonic time at which the caller received the final answer or gave up
 * @param outcome what the caller knows about the execution; {@link Outcome#NOT_RUN} only if every
 *     attempt had that outcome
 * @param attempts number of times that the request was sent
 * @param reason why the request failed or its answer was wrong; empty after a correct answer
 * @param wrongBody whether any attempt got a complete HTTP response whose body was not the answer
 *     to this request
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
