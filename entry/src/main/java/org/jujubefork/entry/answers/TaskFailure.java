package org.jujubefork.entry.answers;

import org.jujubefork.client.api.ApiCodec;
import org.jujubefork.client.api.ErrorCodes;
import org.jujubefork.client.api.ErrorView;
import org.jujubefork.core.model.Outcome;

/**
 * The answer to a request whose task ran and failed. It is an answer like any other, so that it is
 * relayed between entries and kept in claims; its media type tells it from the answer of a task.
 */
public final class TaskFailure {
    /** Media type of the answer between entries and in claims; callers receive plain JSON. */
    public static final String MEDIA_TYPE = "application/vnd.jujubefork.task-failed+json";

    private TaskFailure() {}

    /** Returns the body for a task that failed with {@code message}. */
    public static byte[] encodeBody(String message) {
        return ApiCodec.encode(ErrorView.of(ErrorCodes.WORKER_FAILED, message, Outcome.DONE));
    }
}
