package org.jujubefork.entry.answers;

import org.jujubefork.client.api.ApiCodec;
import org.jujubefork.client.api.ErrorCodes;
import org.jujubefork.client.api.ErrorView;
import org.jujubefork.core.model.Outcome;

/**
 * The answer to a request whose task was executed and failed. It is handled like any other answer,
 * so it is relayed between entries and stored in claims. Its media type distinguishes it from the
 * answer of a successful task.
 */
public final class TaskFailure {
    /** Media type of the answer between entries and in claims; callers receive it as plain JSON. */
    public static final String MEDIA_TYPE = "application/vnd.jujubefork.task-failed+json";

    private TaskFailure() {}

    /** Returns the encoded answer for a task that failed with {@code message}. */
    public static byte[] encodeBody(String message) {
        return ApiCodec.encode(ErrorView.of(ErrorCodes.WORKER_FAILED, message, Outcome.DONE));
    }
}
