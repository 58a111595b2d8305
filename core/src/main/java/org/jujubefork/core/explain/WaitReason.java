package org.jujubefork.core.explain;

/** Why work waits, and what would let it run. */
public enum WaitReason {
    /** No configuration has been received yet. */
    NO_CONFIGURATION("a configuration from the store or from another entry"),
    /** The configuration may be out of date, so keys cannot be checked. */
    CONFIGURATION_NOT_FRESH("contact with the store or with a majority of the entries"),
    /** No live entry owns the shard. */
    NO_OWNER("an entry that takes the shard over"),
    /** Another entry owns the shard and knows more. */
    OTHER_OWNER("ask the owner of the shard for its reasons"),
    /** Not all workers of the shard were acquired, or their leases may still run. */
    SHARD_NOT_SETTLED("grants from the workers that are missing, or the end of their leases"),
    /** No worker of the shard is large enough even when it is empty. */
    NO_WORKER_LARGE_ENOUGH("a larger worker in the shard, or a smaller size"),
    /** No worker of the shard has enough free now. */
    NO_FREE_WORKER("the end of running work, or more workers"),
    /** The workers that would have room take no work. */
    WORKERS_UNAVAILABLE("the return of workers that are unreachable, leaving or quarantined"),
    /** The team has reached its upper limit, or its budget in the shard. */
    LIMIT_REACHED("the end of the team's running work, budget from other shards or a higher limit"),
    /** Teams farther below their share go first. */
    BEHIND_OTHER_TEAMS("less usage by the team, or a larger weight"),
    /** Older work of the same team, or work of a more urgent lane, goes first. */
    BEHIND_EARLIER_WORK("the start of the work before it"),
    /** The gang needs more tasks at once than fit now. */
    GANG_WAITS("room for all tasks of the gang at once"),
    /** Failed tasks wait before they are started again. */
    DELAYED_AFTER_FAILURE("the end of the delay"),
    /** Tasks are being moved to another shard. */
    MOVING("the end of the move"),
    /** The owner queues a bounded number of tasks of a job at a time. */
    NOT_YET_QUEUED("the start of tasks of the same job"),
    /** The store has not confirmed a write. */
    STORE_WRITE_PENDING("an answer of the store");

    private final String remedy;

    WaitReason(String remedy) {
        this.remedy = remedy;
    }

    /** Returns what would let the work run. */
    public String remedy() {
        return remedy;
    }
}
