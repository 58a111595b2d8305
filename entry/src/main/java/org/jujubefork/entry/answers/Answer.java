package org.jujubefork.entry.answers;

import java.util.Optional;
import org.jujubefork.core.model.AttemptResult;

/**
 * What is sent to a caller before any body: the headers of a body that follows, or a complete
 * answer without a body.
 */
public sealed interface Answer {
    /**
     * A body follows.
     *
     * @param contentType the media type of the body
     * @param length the length of the body in bytes, empty if the body is not complete yet
     * @param replayed whether the body was stored by an earlier request with the same idempotency
     *     key
     */
    record Body(String contentType, Optional<Long> length, boolean replayed) implements Answer {}

    /**
     * The request was not executed, or its outcome is unknown.
     *
     * @param result the outcome and the reason
     */
    record Refused(AttemptResult result) implements Answer {}

    /**
     * An earlier request with the same idempotency key has finished, but its answer was too large
     * to store.
     */
    record BodyNotStored() implements Answer {}

    /**
     * The submitted job was accepted.
     *
     * @param job the job's id
     */
    record JobAccepted(String job) implements Answer {}
}
