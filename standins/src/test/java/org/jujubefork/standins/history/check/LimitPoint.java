package org.jujubefork.standins.history.check;

import org.jujubefork.core.model.Resources;

/**
 * A team's upper limit from a point in time on. Whoever lowers a limit adds the time within which
 * running work must follow to the time of the change.
 *
 * @param fromNanos monotonic time from which the limit must hold
 */
public record LimitPoint(String team, long fromNanos, Resources limit) {}
