package org.jujubefork.core.model;

/**
 * An ended task that the owner has not yet acknowledged to the worker.
 *
 * @param spec what was started; the payload is empty
 * @param reason why it ended
 * @param message the task's own message, empty if it gave none
 * @param progress the part that is done, from 0 to 1
 */
public record EndedTask(TaskSpec spec, EndReason reason, String message, double progress) {}
