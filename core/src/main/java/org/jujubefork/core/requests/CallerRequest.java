package org.jujubefork.core.requests;

import java.util.Optional;
import org.jujubefork.core.configuration.Queue;
import org.jujubefork.core.model.EntryId;
import org.jujubefork.core.model.Outcome;
import org.jujubefork.core.model.RequestId;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.WorkKind;

/**
 * A request at the entry that received it from the caller.
 *
 * @param arrival what the caller sent
 * @param phase how far it has come
 * @param claimWritten whether the claim may be in the store
 * @param pastAttempts attempts that have ended
 * @param shard the shard that is being tried
 * @param owner the entry to which it was forwarded
 * @param returnable whether the owner of the shard may report it back because the team's budget is
 *     used up; a retry is then paid for already
 */
public record CallerRequest(
        Arrival arrival,
        RequestPhase phase,
        boolean claimWritten,
        PastAttempts pastAttempts,
        Optional<ShardId> shard,
        Optional<EntryId> owner,
        boolean returnable) {
    /**
     * A request as it arrived.
     *
     * @param id the request
     * @param queue the queue as configured when the request arrived
     * @param arrivedAtMillis when it arrived
     * @param deadlineMillis when its answer is due
     * @param claimKey the key of its claim; empty for idempotent requests
     * @param random for choices between equal shards
     */
    public record Arrival(
            RequestId id,
            Queue queue,
            long arrivedAtMillis,
            long deadlineMillis,
            Optional<String> claimKey,
            long random) {}

    /** Returns a request that has just arrived. */
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

    /** Returns the request. */
    public RequestId id() {
        return arrival.id();
    }

    /** Returns the queue as configured when the request arrived. */
    public Queue queue() {
        return arrival.queue();
    }

    /** Returns when it arrived. */
    public long arrivedAtMillis() {
        return arrival.arrivedAtMillis();
    }

    /** Returns when its answer is due. */
    public long deadlineMillis() {
        return arrival.deadlineMillis();
    }

    /** Returns the key of its claim; empty for idempotent requests. */
    public Optional<String> claimKey() {
        return arrival.claimKey();
    }

    /** Returns whether it may be executed more than once. */
    boolean isIdempotent() {
        return queue().kind() == WorkKind.LOOKUP;
    }

    CallerRequest withPhase(RequestPhase other) {
        return new CallerRequest(
                arrival, other, claimWritten, pastAttempts, shard, owner, returnable);
    }

    CallerRequest withClaimWritten() {
        return new CallerRequest(arrival, phase, true, pastAttempts, shard, owner, returnable);
    }

    CallerRequest routedTo(ShardId target, Optional<EntryId> entry, boolean canReturn) {
        RequestPhase next = entry.isPresent() ? RequestPhase.FORWARDED : RequestPhase.LOCAL;
        return new CallerRequest(
                arrival, next, claimWritten, pastAttempts, Optional.of(target), entry, canReturn);
    }

    CallerRequest afterAttempt(Outcome outcome) {
        PastAttempts ended = pastAttempts.withAttempt(shard, outcome);
        return new CallerRequest(
                arrival,
                phase,
                claimWritten,
                ended,
                Optional.empty(),
                Optional.empty(),
                returnable);
    }

    CallerRequest withoutTriedShards() {
        PastAttempts cleared = pastAttempts.withoutTriedShards();
        return new CallerRequest(arrival, phase, claimWritten, cleared, shard, owner, returnable);
    }

    /** Returns this request after an attempt that was returnable, or was returned. */
    CallerRequest afterReturnableAttempt(boolean declined) {
        PastAttempts attempts = declined ? pastAttempts.withDecline(shard) : pastAttempts;
        return new CallerRequest(arrival, phase, claimWritten, attempts, shard, owner, false);
    }
}
