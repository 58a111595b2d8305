package org.jujubefork.core.effect;

import org.jujubefork.core.model.AttemptResult;
import org.jujubefork.core.model.EntryId;
import org.jujubefork.core.model.JobId;
import org.jujubefork.core.model.RequestId;
import org.jujubefork.core.requests.ForwardedRequest;

/** Answers to callers, and messages to other entries about requests. */
public sealed interface RequestEffect extends Effect {
    /** Returns the identifier of the request. */
    RequestId request();

    /**
     * Sends a request with its body to the owner of a shard.
     *
     * @param request identifier of the request
     * @param owner the owner of the shard
     * @param peerAddress host and port of the owner
     * @param forwarded the attributes of the request that the owner needs to run it
     */
    record Forward(RequestId request, EntryId owner, String peerAddress, ForwardedRequest forwarded)
            implements RequestEffect {}

    /**
     * Asks the owner of a shard to cancel a forwarded request.
     *
     * @param request identifier of the request
     * @param peerAddress host and port of the owner
     */
    record CancelForward(RequestId request, String peerAddress) implements RequestEffect {}

    /**
     * Sends the result of a forwarded request to the entry that forwarded it. If the request
     * completed, its answer body was sent before this result.
     *
     * @param request identifier of the request
     * @param to the entry that forwarded the request
     * @param result the result of the attempt
     */
    record AnswerForward(RequestId request, EntryId to, AttemptResult result)
            implements RequestEffect {}

    /**
     * Sends the caller the answer body that was received and buffered.
     *
     * @param request identifier of the request
     */
    record ReleaseAnswer(RequestId request) implements RequestEffect {}

    /**
     * Answers the caller that the request did not run, or that its outcome is unknown.
     *
     * @param request identifier of the request
     * @param result outcome, reason and retry-after time
     */
    record Refuse(RequestId request, AttemptResult result) implements RequestEffect {}

    /**
     * Discards the part of the answer received so far, because the request is retried.
     *
     * @param request identifier of the request
     */
    record ResetAnswer(RequestId request) implements RequestEffect {}

    /**
     * Answers the caller with the answer stored in the claim of an earlier request that had the
     * same idempotency key.
     *
     * @param request identifier of the request
     * @param claimKey the key of the claim in the store
     */
    record ReplayAnswer(RequestId request, String claimKey) implements RequestEffect {}

    /**
     * Answers the caller that a job is accepted.
     *
     * @param request identifier of the call that submitted the job
     * @param job identifier of the job
     */
    record AcceptJob(RequestId request, JobId job) implements RequestEffect {}
}
