package org.jujubefork.core.workflow;

import java.util.Locale;

/** Why a step whose turn has come has tasks that are not started. */
public enum WaitReason {
    /** The configuration in force does not contain the queue of the job. */
    QUEUE_MISSING,
    /**
     * The job was accepted in an earlier term, and not all runs of earlier terms are known yet (see
     * {@link Fleet#isRecovered}).
     */
    RUNS_UNKNOWN,
    /** The advice service has not answered for the step yet, and no request is pending. */
    ADVICE_NOT_REQUESTED,
    /** The first request to the advice service is queued, or was lost while it was queued. */
    ADVICE_QUEUED,
    /** The first request to the advice service is in flight. */
    ADVICE_IN_FLIGHT,
    /** The acceptance of the job is not durable yet. */
    NOT_STORED,
    /** The service has less free capacity than the rank of the step requires. */
    MIN_FREE_CAPACITY,
    /** The known usage of the team leaves no room below its limit. */
    TEAM_LIMIT,
    /** The team is within its limit only without the usage that is not known. */
    TEAM_LIMIT_UNKNOWN_USAGE,
    /** No usable worker of the service has the required label and size. */
    NO_WORKER,
    /** Only workers in evacuated zones could run the step. */
    ZONE_EVACUATED,
    /** Usable workers could run the step, but it has a ticket for none of them. */
    NO_TICKET,
    /** The workers that may run the gang cannot hold all of its tasks even when they are idle. */
    TOO_FEW_WORKERS,
    /** The workers that may run the step have too little free capacity. */
    NO_ROOM,
    /** There would be room if no workers were reserved for another gang. */
    WORKERS_RESERVED,
    /** An older run of a task was stopped on some worker and is not known to have ended. */
    RUN_STOPPING,
    /** Some tasks of the gang are still active, so it cannot be placed as a whole. */
    GANG_ACTIVE,
    /** Tasks have capacity on a worker and wait for a new ticket. */
    TICKET_RENEWAL;

    private final String label = name().toLowerCase(Locale.ROOT).replace('_', '-');

    /** Returns the name that the log and the metrics use. */
    public String label() {
        return label;
    }
}
