package org.jujubefork.core.jobs;

import java.util.Optional;
import org.jujubefork.core.model.EndReason;
import org.jujubefork.core.model.TaskId;
import org.jujubefork.core.model.WorkerId;

/**
 * The end of a task that is not yet known to be in the job's record.
 *
 * @param worker the worker that waits for the acknowledgement; empty if the task was lost
 * @param task the task
 * @param index its index in the job
 * @param attempt the attempt, or the run of a gang
 * @param reason why it ended
 * @param message the task's own message
 * @param progress the part that is done, from 0 to 1
 */
public record PendingCompletion(
        Optional<WorkerId> worker,
        TaskId task,
        int index,
        int attempt,
        EndReason reason,
        String message,
        double progress) {}
