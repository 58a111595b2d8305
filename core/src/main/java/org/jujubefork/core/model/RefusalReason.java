package org.jujubefork.core.model;

import java.util.Locale;

/** Why work was refused, or why its outcome is not known. */
public enum RefusalReason {
    /** There is nothing to explain. */
    NONE("none"),
    /** No configuration has been received yet. */
    NO_CONFIGURATION("no configuration has been received yet"),
    /** The configuration may be out of date, so keys cannot be checked. */
    CONFIGURATION_NOT_FRESH("the configuration may be out of date, so the key cannot be checked"),
    /** The request came without a key. */
    KEY_MISSING("this queue needs a key"),
    /** The key is unknown or was withdrawn. */
    KEY_UNKNOWN("the key is unknown or was withdrawn"),
    /** The key is not for the team of the queue. */
    WRONG_TEAM("the key is not for the team of this queue"),
    /** The queue does not exist. */
    QUEUE_UNKNOWN("no such queue"),
    /** The queue takes work of another kind. */
    WRONG_KIND("the queue takes another kind of work"),
    /** A non-idempotent request came without an idempotency key. */
    IDEMPOTENCY_KEY_MISSING("a non-idempotent request needs an idempotency key"),
    /** The same idempotency key is in use by a request that has not ended. */
    IN_PROGRESS("a request with this idempotency key is in progress"),
    /** An earlier request with the same idempotency key ended without a known outcome. */
    EARLIER_OUTCOME_UNKNOWN("an earlier request with this idempotency key has an unknown outcome"),
    /** The claim that keeps a request from running twice could not be written. */
    CLAIM_NOT_WRITTEN("the store could not record the request, so it was not started"),
    /** No shard has a live owner. */
    NO_SHARD("no shard has a live owner"),
    /** The entry does not own the shard. */
    NOT_OWNER("the entry does not own the shard"),
    /** The shard changed its owner. */
    OWNER_CHANGED("the shard changed its owner"),
    /** Too much work waits. */
    OVERLOADED("too much work is waiting"),
    /** The deadline passed before the work started. */
    DEADLINE_BEFORE_START("the deadline passed before the work started"),
    /** The deadline passed after the work was started. */
    DEADLINE_AFTER_START("the deadline passed before the answer arrived"),
    /** The caller gave up. */
    CANCELLED("cancelled by the caller"),
    /** The worker refused the start. */
    WORKER_REFUSED("the worker refused the start"),
    /** The worker could not be reached. */
    WORKER_UNREACHABLE("the worker could not be reached"),
    /** The connection to the worker broke before the whole answer arrived. */
    WORKER_CONNECTION_LOST("the connection to the worker broke before the whole answer arrived"),
    /** The entry that the request was forwarded to could not be reached. */
    ENTRY_UNREACHABLE("the owner of the shard could not be reached"),
    /** The connection to the entry that the request was forwarded to broke. */
    ENTRY_CONNECTION_LOST(
            "the connection to the owner of the shard broke before the whole answer arrived"),
    /** No worker of the cell is large enough. */
    NEVER_FITS("no worker is large enough"),
    /** No shard can hold all tasks of the gang at once. */
    GANG_NEVER_FITS("no shard can hold all tasks of the job at once"),
    /** The size is above the upper limit of the team. */
    ABOVE_LIMIT("the size is above the upper limit of the team"),
    /** The entry is stopping. */
    DRAINING("the entry is stopping"),
    /** The store cannot be reached. */
    STORE_UNAVAILABLE("the store cannot be reached"),
    /** The retry budget is used up. */
    RETRY_BUDGET_EMPTY("the retry budget is used up"),
    /** The job does not exist. */
    JOB_UNKNOWN("no such job"),
    /** The size of a task is zero or negative. */
    SIZE_INVALID("the size of a task must be above zero"),
    /** The job has too many tasks or too long an input. */
    JOB_TOO_LARGE("the job has too many tasks or too long an input"),
    /** The task failed. */
    TASK_FAILED("the task failed on the worker"),
    /** The budget of the team in the shard is used up. */
    BUDGET_USED_UP("the budget of the team in the shard is used up"),
    /** The answer is longer than the limit. */
    ANSWER_TOO_LARGE("the answer is longer than the limit");

    private final String text;

    RefusalReason(String text) {
        this.text = text;
    }

    /** Returns the reason as text for callers. */
    public String text() {
        return text;
    }

    /** Returns the reason as a stable code for logs and programs, for example {@code not-owner}. */
    public String code() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
