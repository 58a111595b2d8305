package org.jujubefork.core.model;

/**
 * An ended task that the owner of the shard has not yet acknowledged to the worker.
 *
 * @param spec the task as it was started, with an empty payload
 * @param reason why the task ended
 * @param message message from the task; empty if it provided none
 * @param progress completed fraction of the task, from 0 to 1
 */
public record EndedTask(TaskSpec spec, EndReason reason, String message, double progress) {}
