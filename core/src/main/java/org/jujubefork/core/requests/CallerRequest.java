package org.jujubefork.core.requests;

import java.util.Optional;
import org.jujubefork.core.configuration.Queue;
import org.jujubefork.core.model.EntryId;
import org.jujubefork.core.model.Outcome;
import org.jujubefork.core.model.RequestId;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.WorkKind;

/**
 * The state of a request at the entry that received it from the caller.
 *
 * @param arrival the properties that were fixed when the request arrived
 * @param phase the current step of its processing
 * @param claimMaybeWritten whether the claim may be in the store
 * @param pastAttempts the attempts that have ended
 * @param shard the shard of the current attempt, if any
 * @param owner the entry that the current attempt was forwarded to; empty if it is local
 * @param returnable whether the owner of the shard may decline it because the budget of the team is
 *     used up; if so, one retry has already been charged to the retry budget
 */
public record CallerRequest(
        Arrival arrival,
        RequestPhase phase,
        boolean claimMaybeWritten,
        PastAttempts pastAttempts,
        Optional<ShardId> shard,
        Optional<EntryId> owner,
        boolean returnable) {
    /**
     * The properties of a request that were fixed when it arrived.
     *
     * @param id the id of the request
     * @param queue the queue as configured at that time
     * @param arrivedAtMillis when the request arrived
     * @param deadlineMillis when the answer to the caller is due
     * @param claimKey the store key of its claim; empty for idempotent requests
     * @param random a random number for the choice among routes of about equal cost
     */
    public record Arrival(
            RequestId id,
            Queue queue,
            long arrivedAtMillis,
            long deadlineMillis,
            Optional<String> claimKey,
            long random) {}

    /** Returns a new request with the timeout of {@code queue}, counted from {@code nowMillis}. */
    static CallerRequest arrived(
            RequestId id, Queue queue, long nowMillis, Optional<String> claimKey, long random) {
        long deadline = nowMillis + queue.timeoutMillis();
        return new CallerRequest(
                new Arrival(id, queue, nowMillis, deadline, claimKey, random),
                claimKey.isPresent() ? RequestPhase.CLAIMING : RequestPhase.LOCAL,
                false,
                PastAttempts.NONE,
                Optional.empty(),
                Optional.empty(),
                false);
    }

    /** Returns the id of the request. */
    public RequestId id() {
        return arrival.id();
    }

    /** Returns the queue as configured when the request arrived. */
    public Queue queue() {
        return arrival.queue();
    }

    /** Returns when the request arrived, on the monotonic clock of this entry. */
    public long arrivedAtMillis() {
        return arrival.arrivedAtMillis();
    }

    /** Returns when the answer is due, on the monotonic clock of this entry. */
    public long deadlineMillis() {
        return arrival.deadlineMillis();
    }

    /** Returns the store key of its claim; empty for idempotent requests. */
    public Optional<String> claimKey() {
        return arrival.claimKey();
    }

    /** Returns whether the request may run more than once. */
    boolean isIdempotent() {
        return queue().kind() == WorkKind.LOOKUP;
    }

    CallerRequest withPhase(RequestPhase other) {
        return new CallerRequest(
                arrival, other, claimMaybeWritten, pastAttempts, shard, owner, returnable);
    }

    CallerRequest withClaimMaybeWritten() {
        return new CallerRequest(arrival, phase, true, pastAttempts, shard, owner, returnable);
    }

    CallerRequest routedTo(ShardId target, Optional<EntryId> entry, boolean canReturn) {
        RequestPhase nextPhase = entry.isPresent() ? RequestPhase.FORWARDED : RequestPhase.LOCAL;
        return new CallerRequest(
                arrival,
                nextPhase,
                claimMaybeWritten,
                pastAttempts,
                Optional.of(target),
                entry,
                canReturn);
    }

    CallerRequest afterAttempt(Outcome outcome) {
        PastAttempts updatedAttempts = pastAttempts.withAttempt(shard, outcome);
        return new CallerRequest(
                arrival,
                phase,
                claimMaybeWritten,
                updatedAttempts,
                Optional.empty(),
                Optional.empty(),
                returnable);
    }

    CallerRequest withoutTriedShards() {
        PastAttempts cleared = pastAttempts.withoutTriedShards();
        return new CallerRequest(
                arrival, phase, claimMaybeWritten, cleared, shard, owner, returnable);
    }

    /**
     * Returns this request as not returnable, after an attempt has ended. If {@code wasDeclined},
     * the shard of the attempt is added to the shards whose owners declined the request.
     */
    CallerRequest afterReturnableAttempt(boolean wasDeclined) {
        PastAttempts attempts = wasDeclined ? pastAttempts.withDecline(shard) : pastAttempts;
        return new CallerRequest(arrival, phase, claimMaybeWritten, attempts, shard, owner, false);
    }
}
