package org.jujubefork.client.worker;

import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.TaskSpec;

/**
 * A task that a worker runs.
 *
 * @param spec specification with which the task was started, without the payload, which workers do
 *     not report
 * @param usage observed resource usage; lags by seconds and is zero for a task that has just
 *     started
 * @param ageMillis time from the start of the task to the response that first listed it, in
 *     milliseconds of the worker's clock
 */
public record RunningTask(TaskSpec spec, Resources usage, long ageMillis) {}
