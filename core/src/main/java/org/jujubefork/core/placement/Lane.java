package org.jujubefork.core.placement;

import org.jujubefork.core.model.WorkKind;

/** Priority classes of queued work in a shard; work of an earlier class is placed first. */
public enum Lane {
    /** Urgent requests, which may use the reserved part of each worker. */
    URGENT,
    /** Other requests. */
    REQUEST,
    /** Replicas of services. */
    SERVICE,
    /** Gangs, whose tasks must all start at once. */
    GANG,
    /** Tasks of batch jobs. */
    BATCH;

    /** Returns the lane for work of {@code kind}; {@code urgent} matters only for requests. */
    public static Lane of(WorkKind kind, boolean urgent) {
        return switch (kind) {
            case LOOKUP, COMMAND -> urgent ? URGENT : REQUEST;
            case SERVICE -> SERVICE;
            case GANG -> GANG;
            case BATCH -> BATCH;
        };
    }
}
