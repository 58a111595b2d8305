package org.jujubefork.core.model;

/**
 * A running task as its worker reports it.
 *
 * @param spec what was started; the payload is empty
 * @param usage measured usage, seconds old
 * @param progress the part that is done, from 0 to 1
 */
public record ReportedTask(TaskSpec spec, Resources usage, double progress) {}
