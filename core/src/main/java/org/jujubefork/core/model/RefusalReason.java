package org.jujubefork.core.model;

import java.util.Locale;

/** Reasons why work was refused, or why its outcome is unknown. */
public enum RefusalReason {
    /** The work was not refused, and its outcome is known. */
    NONE("none"),
    /** No configuration has been received yet. */
    NO_CONFIGURATION("no configuration has been received yet"),
    /** The configuration may be out of date, so access keys cannot be checked. */
    CONFIGURATION_NOT_FRESH("the configuration may be out of date, so the key cannot be checked"),
    /** The request carries no access key. */
    KEY_MISSING("this queue requires a key"),
    /** The access key is unknown or was withdrawn. */
    KEY_UNKNOWN("the key is unknown or was withdrawn"),
    /** The access key belongs to another team than the queue. */
    WRONG_TEAM("the key does not belong to the team of this queue"),
    /** The queue does not exist. */
    QUEUE_UNKNOWN("no such queue"),
    /** The queue is configured for another kind of work. */
    WRONG_KIND("the queue is configured for another kind of work"),
    /** A non-idempotent request carries no idempotency key. */
    IDEMPOTENCY_KEY_MISSING("a non-idempotent request requires an idempotency key"),
    /** A request with the same idempotency key has not ended. */
    IN_PROGRESS("a request with this idempotency key is in progress"),
    /** An earlier request with the same idempotency key ended with an unknown outcome. */
    EARLIER_OUTCOME_UNKNOWN("an earlier request with this idempotency key has an unknown outcome"),
    /** The claim that prevents a request from running twice could not be written. */
    CLAIM_NOT_WRITTEN("the store could not record the request, so it was not started"),
    /** No shard has a live owner. */
    NO_SHARD("no shard has a live owner"),
    /** The entry does not own the shard. */
    NOT_OWNER("the entry does not own the shard"),
    /** The owner of the shard changed while the work was pending. */
    OWNER_CHANGED("the owner of the shard changed"),
    /** Too much work is queued or in progress. */
    OVERLOADED("too much work is queued"),
    /** The deadline passed before the work started. */
    DEADLINE_BEFORE_START("the deadline passed before the work started"),
    /** The deadline passed after the work started. */
    DEADLINE_AFTER_START("the deadline passed before the answer arrived"),
    /** The caller cancelled the work. */
    CANCELLED("cancelled by the caller"),
    /** The worker refused to start the work. */
    WORKER_REFUSED("the worker refused to start the work"),
    /** The worker could not be reached. */
    WORKER_UNREACHABLE("the worker could not be reached"),
    /** The connection to the worker broke before the complete answer arrived. */
    WORKER_CONNECTION_LOST("the connection to the worker broke before the complete answer arrived"),
    /** The entry to which the request was forwarded could not be reached. */
    ENTRY_UNREACHABLE("the owner of the shard could not be reached"),
    /** The connection to the entry to which the request was forwarded broke. */
    ENTRY_CONNECTION_LOST(
            "the connection to the owner of the shard broke before the complete answer arrived"),
    /** No worker of the cell is large enough, even when idle. */
    NEVER_FITS("no worker is large enough"),
    /** No shard has enough capacity to run all tasks of the gang at once, even when idle. */
    GANG_NEVER_FITS("no shard has enough capacity to run all tasks of the job at once"),
    /** The size is above the upper limit of the team. */
    ABOVE_LIMIT("the size is above the upper limit of the team"),
    /** The entry is draining and accepts no new work. */
    DRAINING("the entry is stopping"),
    /** The store cannot be reached. */
    STORE_UNAVAILABLE("the store cannot be reached"),
    /** The retry budget of the entry is exhausted. */
    RETRY_BUDGET_EMPTY("the retry budget is exhausted"),
    /** The job does not exist. */
    JOB_UNKNOWN("no such job"),
    /** The size of a task is zero or negative. */
    SIZE_INVALID("the size of a task must be above zero"),
    /** The job has too many tasks, or its input is too long. */
    JOB_TOO_LARGE("the job has too many tasks, or its input is too long"),
    /** The task ran and failed on the worker. */
    TASK_FAILED("the task failed on the worker"),
    /** The budget of the team in the shard is exhausted. */
    BUDGET_USED_UP("the budget of the team in the shard is exhausted"),
    /** The answer is longer than the configured maximum. */
    ANSWER_TOO_LARGE("the answer is longer than the configured maximum");

    private final String text;

    RefusalReason(String text) {
        this.text = text;
    }

    /** Returns a description of the reason for callers. */
    public String text() {
        return text;
    }

    /**
     * Returns a stable code of the reason for logs and API clients, for example {@code not-owner}.
     */
    public String code() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
