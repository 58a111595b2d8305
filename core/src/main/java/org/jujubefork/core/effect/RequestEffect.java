package org.jujubefork.core.effect;

import org.jujubefork.core.model.AttemptResult;
import org.jujubefork.core.model.EntryId;
import org.jujubefork.core.model.JobId;
import org.jujubefork.core.model.RequestId;
import org.jujubefork.core.requests.ForwardedRequest;

/** Answers to callers and messages to other entries about requests. */
public sealed interface RequestEffect extends Effect {
    /** Returns the request. */
    RequestId request();

    /**
     * Send the request with its body to the owner of a shard.
     *
     * @param request the request
     * @param owner the owner
     * @param peerAddress the owner's address
     * @param forwarded what is to run
     */
    record Forward(RequestId request, EntryId owner, String peerAddress, ForwardedRequest forwarded)
            implements RequestEffect {}

    /**
     * Tell the owner of a shard that the answer is no longer wanted.
     *
     * @param request the request
     * @param peerAddress the owner's address
     */
    record CancelForward(RequestId request, String peerAddress) implements RequestEffect {}

    /**
     * Tell the entry that forwarded a request what became of it. The answer body of a finished
     * request goes ahead.
     *
     * @param request the request
     * @param to the entry
     * @param result what became of the attempt
     */
    record AnswerForward(RequestId request, EntryId to, AttemptResult result)
            implements RequestEffect {}

    /**
     * Answer the caller with the body that was received.
     *
     * @param request the request
     */
    record ReleaseAnswer(RequestId request) implements RequestEffect {}

    /**
     * Answer the caller that the request did not run, or that its outcome is not known.
     *
     * @param request the request
     * @param result outcome, reason and the time to wait
     */
    record Refuse(RequestId request, AttemptResult result) implements RequestEffect {}

    /**
     * Discard what was received of the answer, because the request is tried again.
     *
     * @param request the request
     */
    record ResetAnswer(RequestId request) implements RequestEffect {}

    /**
     * Answer the caller with the answer that is kept in the claim of an earlier request.
     *
     * @param request the request
     * @param claimKey the key of the claim in the store
     */
    record ReplayAnswer(RequestId request, String claimKey) implements RequestEffect {}

    /**
     * Answer the caller that a job is accepted.
     *
     * @param request the call
     * @param job the job
     */
    record AcceptJob(RequestId request, JobId job) implements RequestEffect {}
}
