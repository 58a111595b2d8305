package org.jujubefork.core.event;

import org.jujubefork.core.model.RequestId;
import org.jujubefork.core.requests.ClaimRecord;

/** Answers of the store about the claim of a non-idempotent request. */
public sealed interface ClaimEvent extends Event {
    /** Returns the request. */
    RequestId request();

    /**
     * The claim is written for this request.
     *
     * @param atMillis when
     * @param request the request
     * @param revision the claim's revision in the store
     */
    record ClaimCreated(long atMillis, RequestId request, long revision) implements ClaimEvent {}

    /**
     * Another request holds the claim.
     *
     * @param atMillis when
     * @param request the request
     * @param existing the claim in the store
     */
    record ClaimExists(long atMillis, RequestId request, ClaimRecord existing)
            implements ClaimEvent {}

    /**
     * No claim exists under the key that was read.
     *
     * @param atMillis when
     * @param request the request
     */
    record ClaimGone(long atMillis, RequestId request) implements ClaimEvent {}

    /**
     * The store could not be reached, so that the claim is not known to be written.
     *
     * @param atMillis when
     * @param request the request
     * @param maybeWritten whether the write may have taken effect
     */
    record ClaimFailed(long atMillis, RequestId request, boolean maybeWritten)
            implements ClaimEvent {}

    /**
     * The attempt to record an outcome in the claim, or to release it, ended.
     *
     * @param atMillis when
     * @param request the request
     * @param durable whether the store confirmed it
     */
    record ClaimSettled(long atMillis, RequestId request, boolean durable) implements ClaimEvent {}
}
