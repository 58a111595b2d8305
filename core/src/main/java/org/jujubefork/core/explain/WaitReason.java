package org.jujubefork.core.explain;

/**
 * Reasons why work waits. Most carry the condition under which the work would run; others carry an
 * instruction for the operator.
 */
public enum WaitReason {
    /** No configuration has been received yet. */
    NO_CONFIGURATION("a configuration from the store or from another entry"),
    /** The configuration may be out of date, so keys cannot be checked. */
    CONFIGURATION_NOT_FRESH("contact with the store or with a majority of the entries"),
    /** No live entry owns the shard. */
    NO_OWNER("an entry that takes the shard over"),
    /** Another entry owns the shard; only that entry knows the reason. */
    OTHER_OWNER("ask the owner of the shard for its reasons"),
    /**
     * Workers of the shard are not acquired, or leases of an earlier owner may still be in force.
     */
    SHARD_NOT_SETTLED("lease grants from the remaining workers, or the expiry of their leases"),
    /** No worker of the shard is large enough, even when idle. */
    NO_WORKER_LARGE_ENOUGH("a larger worker in the shard, or a smaller size"),
    /** No worker of the shard has enough free capacity now. */
    NO_FREE_WORKER("the completion of running work, or more workers"),
    /** All workers that are large enough are unreachable, leaving or quarantined. */
    WORKERS_UNAVAILABLE("the return of workers that are unreachable, leaving or quarantined"),
    /** The team has reached its upper limit, or its budget in the shard. */
    LIMIT_REACHED("the end of the team's running work, budget from other shards or a higher limit"),
    /** Work of teams that are farther below their fair share is scheduled first. */
    BEHIND_OTHER_TEAMS("less usage by the team, or a larger weight"),
    /** Earlier work of the same team, or work in a lane of higher priority, is scheduled first. */
    BEHIND_EARLIER_WORK("the start of the work before it"),
    /** The free capacity is too small to start all tasks of the gang at once. */
    GANG_WAITS("free capacity for all tasks of the gang at once"),
    /** The delay before the retry of failed tasks has not passed. */
    DELAYED_AFTER_FAILURE("the end of the retry delay"),
    /** Unstarted tasks are being moved to another shard. */
    MOVING("the end of the move"),
    /** The shard's owner queues only a limited number of tasks of a job at a time. */
    NOT_YET_QUEUED("the start of tasks of the same job"),
    /** The store has not confirmed a write. */
    STORE_WRITE_PENDING("confirmation of the write by the store");

    private final String remedy;

    WaitReason(String remedy) {
        this.remedy = remedy;
    }

    /**
     * Returns the condition under which the work would run, or an instruction, as text for
     * operators.
     */
    public String remedy() {
        return remedy;
    }
}
