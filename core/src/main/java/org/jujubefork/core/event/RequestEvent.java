package org.jujubefork.core.event;

import java.util.Optional;
import org.jujubefork.core.model.AttemptResult;
import org.jujubefork.core.model.EntryId;
import org.jujubefork.core.model.QueueId;
import org.jujubefork.core.model.RequestId;
import org.jujubefork.core.requests.ForwardedRequest;

/**
 * Steps in processing a lookup or command, at the entry that received it from the caller and at the
 * owner of the shard in which it runs.
 */
public sealed interface RequestEvent extends Event {
    /** Returns the identifier of the request. */
    RequestId request();

    /**
     * A caller sent a request to this entry.
     *
     * @param atMillis when the complete request had been received
     * @param request identifier assigned to the request
     * @param queue the queue named by the caller
     * @param keyHash SHA-256 hash of the caller's access key; empty if the request carried none
     * @param idempotencyKey the idempotency key; empty if the request carried none
     * @param random random number for choosing between equally good shards
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
     * Another entry forwarded a request to this entry, the owner of a shard.
     *
     * @param atMillis when the request arrived
     * @param request identifier of the request
     * @param from the entry that received the request from the caller
     * @param forwarded the attributes of the request that are needed to run it
     */
    record RequestForwarded(
            long atMillis, RequestId request, EntryId from, ForwardedRequest forwarded)
            implements RequestEvent {}

    /**
     * The owner of a shard sent the result of a request that this entry had forwarded.
     *
     * @param atMillis when the result arrived
     * @param request identifier of the request
     * @param owner the owner of the shard
     * @param result the result of the attempt
     */
    record ForwardAnswered(long atMillis, RequestId request, EntryId owner, AttemptResult result)
            implements RequestEvent {}

    /**
     * A request could not be forwarded, or the connection broke before the answer arrived.
     *
     * @param atMillis when the failure was detected
     * @param request identifier of the request
     * @param owner the owner of the shard
     * @param maybeSent whether any byte of the request may have reached the owner
     */
    record ForwardFailed(long atMillis, RequestId request, EntryId owner, boolean maybeSent)
            implements RequestEvent {}

    /**
     * The caller, or the entry that forwarded the request, cancelled it.
     *
     * @param atMillis when the cancellation arrived
     * @param request identifier of the request
     */
    record RequestCancelled(long atMillis, RequestId request) implements RequestEvent {}
}
