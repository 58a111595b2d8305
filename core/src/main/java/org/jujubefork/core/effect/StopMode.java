package org.jujubefork.core.effect;

/** How a task is ended or slowed down. */
public enum StopMode {
    /** End it; its progress is lost. */
    STOP,
    /** Save its progress and end it. */
    CHECKPOINT,
    /** Let it run with less. */
    THROTTLE
}
