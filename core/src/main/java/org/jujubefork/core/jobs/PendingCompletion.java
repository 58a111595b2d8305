package org.jujubefork.core.jobs;

import java.util.Optional;
import org.jujubefork.core.model.EndReason;
import org.jujubefork.core.model.TaskId;
import org.jujubefork.core.model.WorkerId;

/**
 * A completion of a task that the stored job record may not include yet.
 *
 * @param worker the worker that waits for the acknowledgement; empty if there is none, such as for
 *     a task that was lost
 * @param task the id of the task
 * @param index the index of the task in the job
 * @param attempt the number of the attempt, or of the run of a gang
 * @param reason why the task ended
 * @param message the message that the task ended with; may be empty
 * @param progress the completed fraction, from 0 to 1
 */
public record PendingCompletion(
        Optional<WorkerId> worker,
        TaskId task,
        int index,
        int attempt,
        EndReason reason,
        String message,
        double progress) {}
