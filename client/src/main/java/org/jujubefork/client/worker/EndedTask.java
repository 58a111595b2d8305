package org.jujubefork.client.worker;

import org.jujubefork.core.model.EndReason;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.TaskSpec;

/**
 * An ended task whose completion no renewal has acknowledged yet.
 *
 * @param spec specification with which the task was started, without the payload
 * @param reason why it ended
 * @param message message of the task or the worker about the completion, may be empty
 * @param peakUsage highest observed resource usage
 * @param progressMillis saved progress in milliseconds of run time, from which the task resumes
 *     after a checkpoint
 */
public record EndedTask(
        TaskSpec spec,
        EndReason reason,
        String message,
        Resources peakUsage,
        long progressMillis) {}
