package org.jujubefork.standins.history.check;

/**
 * A point at which a history breaks a promise.
 *
 * @param nanos time of the event that breaks it
 */
public record Violation(String promise, long nanos, String message) {}
