package org.jujubefork.client.worker;

import org.jujubefork.core.model.EndReason;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.TaskSpec;

/**
 * A task that ended and that no renewal has acknowledged yet.
 *
 * @param spec the task as it was started, without its payload
 * @param reason why it ended
 * @param message what the task or the worker says about the end, may be empty
 * @param peakUsage highest observed use of resources
 * @param progressMillis work done in milliseconds of run time, to resume from after a checkpoint
 */
public record EndedTask(
        TaskSpec spec,
        EndReason reason,
        String message,
        Resources peakUsage,
        long progressMillis) {}
