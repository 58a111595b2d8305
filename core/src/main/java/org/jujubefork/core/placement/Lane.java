package org.jujubefork.core.placement;

import org.jujubefork.core.model.WorkKind;

/** Groups of work within a shard; a group goes ahead of those after it. */
public enum Lane {
    /** Requests that may use the reserved part of workers. */
    URGENT,
    /** Other requests. */
    REQUEST,
    /** Replicas of services. */
    SERVICE,
    /** Jobs that need all their tasks at once. */
    GANG,
    /** Tasks of batch jobs. */
    BATCH;

    /** Returns the group for work of {@code kind}. */
    public static Lane of(WorkKind kind, boolean urgent) {
        return switch (kind) {
            case LOOKUP, COMMAND -> urgent ? URGENT : REQUEST;
            case SERVICE -> SERVICE;
            case GANG -> GANG;
            case BATCH -> BATCH;
        };
    }
}
