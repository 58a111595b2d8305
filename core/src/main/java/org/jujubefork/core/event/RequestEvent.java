package org.jujubefork.core.event;

import java.util.Optional;
import org.jujubefork.core.model.AttemptResult;
import org.jujubefork.core.model.EntryId;
import org.jujubefork.core.model.QueueId;
import org.jujubefork.core.model.RequestId;
import org.jujubefork.core.requests.ForwardedRequest;

/** The life of a short request, at the entry that received it and at the owner of a shard. */
public sealed interface RequestEvent extends Event {
    /** Returns the request. */
    RequestId request();

    /**
     * A caller sent a request to this entry.
     *
     * @param atMillis when it was received whole
     * @param request the id given to it
     * @param queue the queue named by the caller
     * @param keyHash hash of the caller's key, if one came with it
     * @param idempotencyKey the caller's idempotency key, if one came with it
     * @param random a random number for choices between equals
     */
    record RequestArrived(
            long atMillis,
            RequestId request,
            QueueId queue,
            Optional<String> keyHash,
            Optional<String> idempotencyKey,
            long random)
            implements RequestEvent {}

    /**
     * Another entry forwarded a request to the owner of a shard.
     *
     * @param atMillis when
     * @param request the request
     * @param from the entry that received it from the caller
     * @param forwarded what is to run
     */
    record RequestForwarded(
            long atMillis, RequestId request, EntryId from, ForwardedRequest forwarded)
            implements RequestEvent {}

    /**
     * The owner of a shard answered a forwarded request.
     *
     * @param atMillis when
     * @param request the request
     * @param owner the owner
     * @param result what became of the attempt
     */
    record ForwardAnswered(long atMillis, RequestId request, EntryId owner, AttemptResult result)
            implements RequestEvent {}

    /**
     * A request could not be forwarded, or the connection broke before the answer.
     *
     * @param atMillis when
     * @param request the request
     * @param owner the owner
     * @param maybeSent whether any byte of it can have reached the owner
     */
    record ForwardFailed(long atMillis, RequestId request, EntryId owner, boolean maybeSent)
            implements RequestEvent {}

    /**
     * The caller, or the entry that forwarded the request, no longer wants the answer.
     *
     * @param atMillis when
     * @param request the request
     */
    record RequestCancelled(long atMillis, RequestId request) implements RequestEvent {}
}
