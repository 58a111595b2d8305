package org.jujubefork.core.event;

import org.jujubefork.core.model.RequestId;
import org.jujubefork.core.requests.ClaimRecord;

/** Results of store calls for the claim of a non-idempotent request. */
public sealed interface ClaimEvent extends Event {
    /** Returns the identifier of the request that the store call was made for. */
    RequestId request();

    /**
     * The claim was written for this request.
     *
     * @param atMillis when the result was received
     * @param request identifier of the request
     * @param revision the revision of the claim in the store
     */
    record ClaimCreated(long atMillis, RequestId request, long revision) implements ClaimEvent {}

    /**
     * The claim in the store belongs to another request.
     *
     * @param atMillis when the result was received
     * @param request identifier of the request
     * @param existing the claim in the store
     */
    record ClaimExists(long atMillis, RequestId request, ClaimRecord existing)
            implements ClaimEvent {}

    /**
     * The store has no claim under the key that was read.
     *
     * @param atMillis when the result was received
     * @param request identifier of the request
     */
    record ClaimGone(long atMillis, RequestId request) implements ClaimEvent {}

    /**
     * The store call failed or timed out.
     *
     * @param atMillis when the result was received
     * @param request identifier of the request
     * @param maybeWritten whether the write may have taken effect
     */
    record ClaimFailed(long atMillis, RequestId request, boolean maybeWritten)
            implements ClaimEvent {}

    /**
     * The call that records the outcome in the claim, or deletes the claim, succeeded or failed.
     *
     * @param atMillis when the result was received
     * @param request identifier of the request
     * @param durable whether the store confirmed the change
     */
    record ClaimSettled(long atMillis, RequestId request, boolean durable) implements ClaimEvent {}
}
