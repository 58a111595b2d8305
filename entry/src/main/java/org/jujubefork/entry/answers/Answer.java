package org.jujubefork.entry.answers;

import java.util.Optional;
import org.jujubefork.core.model.AttemptResult;

/** What a caller gets first: the start of a body, or a refusal. */
public sealed interface Answer {
    /**
     * A body follows.
     *
     * @param contentType its media type
     * @param length its length in bytes, if it is complete already
     * @param replayed whether it was recorded by an earlier request with the same idempotency key
     */
    record Body(String contentType, Optional<Long> length, boolean replayed) implements Answer {}

    /**
     * The request did not run, or its outcome is not known.
     *
     * @param result outcome and reason
     */
    record Refused(AttemptResult result) implements Answer {}

    /** An earlier request with the same idempotency key is done, but its body was not kept. */
    record BodyNotStored() implements Answer {}

    /**
     * The job is accepted.
     *
     * @param job the job's id
     */
    record JobAccepted(String job) implements Answer {}
}
