package org.jujubefork.client.worker;

import java.util.Optional;
import org.jujubefork.core.model.EndReason;
import org.jujubefork.core.model.Epoch;
import org.jujubefork.core.model.StartRefusal;

/** What is known after a start was sent. */
public sealed interface StartResult {
    /** The worker runs the task of a job. */
    record Started() implements StartResult {}

    /**
     * The request ran and its whole answer went to the sink.
     *
     * @param contentType media type of the answer
     * @param bytes length of the answer
     */
    record Answered(String contentType, long bytes) implements StartResult {}

    /**
     * The request ran, or ran in part, and ended without an answer.
     *
     * @param reason why it ended
     * @param message what the task or the worker says about the end
     */
    record Ended(EndReason reason, String message) implements StartResult {}

    /**
     * The worker refused the start, so the task has not run.
     *
     * @param reason why
     * @param current the epoch that the worker obeys, where the answer names it
     * @param message what the worker says about the refusal, may be empty
     */
    record Refused(StartRefusal reason, Optional<Epoch> current, String message)
            implements StartResult {}

    /**
     * No connection was established, so the task has not run.
     *
     * @param reason the failure, for logs
     */
    record NotConnected(String reason) implements StartResult {}

    /**
     * The task may run or have run. The sink may have received a part of the answer.
     *
     * @param reason the failure, for logs
     */
    record Unknown(String reason) implements StartResult {}
}
