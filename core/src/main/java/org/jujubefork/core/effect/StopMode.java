package org.jujubefork.core.effect;

/** How a task is stopped or slowed down. */
public enum StopMode {
    /** Stop the task without saving its progress. */
    STOP,
    /** Save the progress of the task, then stop it. */
    CHECKPOINT,
    /** Let the task continue with fewer resources. */
    THROTTLE
}
