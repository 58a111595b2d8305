package org.jujubefork.client.worker;

import java.util.Optional;
import org.jujubefork.core.model.EndReason;
import org.jujubefork.core.model.Epoch;
import org.jujubefork.core.model.StartRefusal;

/** Outcome of a start command. */
public sealed interface StartResult {
    /** The worker started the task of a job. */
    record Started() implements StartResult {}

    /**
     * The request completed and its whole response body was passed to the sink.
     *
     * @param contentType media type of the response body
     * @param byteCount length of the response body in bytes
     */
    record Answered(String contentType, long byteCount) implements StartResult {}

    /**
     * The request ran, at least in part, and ended without a response body.
     *
     * @param reason why the request ended
     * @param message message of the task or the worker about the failure
     */
    record Ended(EndReason reason, String message) implements StartResult {}

    /**
     * The worker rejected the start, so the task has not run.
     *
     * @param reason why the start was rejected
     * @param current epoch that the worker currently accepts; empty if the response does not
     *     contain it
     * @param message message of the worker about the rejection, may be empty
     */
    record Refused(StartRefusal reason, Optional<Epoch> current, String message)
            implements StartResult {}

    /**
     * No connection was established, so the task has not run.
     *
     * @param reason description of the failure, for logs
     */
    record NotConnected(String reason) implements StartResult {}

    /**
     * The task may be running or may have run. The sink may have received part of the response
     * body.
     *
     * @param reason description of the failure, for logs
     */
    record Unknown(String reason) implements StartResult {}
}
