package org.jujubefork.client.worker;

import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.TaskSpec;

/**
 * A task that a worker runs.
 *
 * @param spec the task as it was started, without its payload, which workers do not report
 * @param usage observed use of resources; lags by seconds and is zero for a task just started
 * @param ageMillis time from the start to the answer that first listed the task, in milliseconds of
 *     the worker's clock
 */
public record RunningTask(TaskSpec spec, Resources usage, long ageMillis) {}
