package org.jujubefork.core.model;

/**
 * A running task, as reported by its worker.
 *
 * @param spec the task as it was started, with an empty payload
 * @param usage measured usage, which may be some seconds old
 * @param progress completed fraction of the task, from 0 to 1
 */
public record ReportedTask(TaskSpec spec, Resources usage, double progress) {}
