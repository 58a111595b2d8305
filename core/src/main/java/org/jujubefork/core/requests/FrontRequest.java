package org.jujubefork.core.requests;

import java.util.Optional;
import org.jujubefork.core.configuration.Queue;
import org.jujubefork.core.model.EntryId;
import org.jujubefork.core.model.Outcome;
import org.jujubefork.core.model.RequestId;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.WorkKind;
import org.pcollections.PSortedSet;
import org.pcollections.TreePSet;

/**
 * A request at the entry that received it from the caller.
 *
 * @param id the request
 * @param queue the queue as configured when the request arrived
 * @param phase how far it has come
 * @param arrivedAtMillis when it arrived
 * @param deadlineMillis when its answer is due
 * @param claimKey the key of its claim; empty for idempotent requests
 * @param claimWritten whether the claim may be in the store
 * @param tried shards that were tried without success
 * @param shard the shard that is being tried
 * @param owner the entry to which it was forwarded
 * @param random for choices between equal shards
 * @param maybeRan whether an earlier attempt may have run
 * @param declined shards whose owner reported it back because the team's budget was used up
 * @param returnable whether the owner of the shard may report it back for this reason; a retry is
 *     then paid for already
 */
public record FrontRequest(
        RequestId id,
        Queue queue,
        RequestPhase phase,
        long arrivedAtMillis,
        long deadlineMillis,
        Optional<String> claimKey,
        boolean claimWritten,
        PSortedSet<ShardId> tried,
        Optional<ShardId> shard,
        Optional<EntryId> owner,
        long random,
        boolean maybeRan,
        PSortedSet<ShardId> declined,
        boolean returnable) {
    /** Returns a request that has just arrived. */
    static FrontRequest arrived(
            RequestId id, Queue queue, long nowMillis, Optional<String> claimKey, long random) {
        return new FrontRequest(
                id,
                queue,
                claimKey.isPresent() ? RequestPhase.CLAIMING : RequestPhase.LOCAL,
                nowMillis,
                nowMillis + queue.timeoutMillis(),
                claimKey,
                false,
                TreePSet.empty(),
                Optional.empty(),
                Optional.empty(),
                random,
                false,
                TreePSet.empty(),
                false);
    }

    /** Returns whether it may be executed more than once. */
    boolean isIdempotent() {
        return queue.kind() == WorkKind.LOOKUP;
    }

    FrontRequest in(RequestPhase other) {
        return new FrontRequest(
                id,
                queue,
                other,
                arrivedAtMillis,
                deadlineMillis,
                claimKey,
                claimWritten,
                tried,
                shard,
                owner,
                random,
                maybeRan,
                declined,
                returnable);
    }

    FrontRequest withClaim() {
        return new FrontRequest(
                id,
                queue,
                phase,
                arrivedAtMillis,
                deadlineMillis,
                claimKey,
                true,
                tried,
                shard,
                owner,
                random,
                maybeRan,
                declined,
                returnable);
    }

    FrontRequest routedTo(ShardId target, Optional<EntryId> entry, boolean mayReturn) {
        RequestPhase next = entry.isPresent() ? RequestPhase.FORWARDED : RequestPhase.LOCAL;
        return new FrontRequest(
                id,
                queue,
                next,
                arrivedAtMillis,
                deadlineMillis,
                claimKey,
                claimWritten,
                tried,
                Optional.of(target),
                entry,
                random,
                maybeRan,
                declined,
                mayReturn);
    }

    FrontRequest afterAttempt(Outcome outcome) {
        PSortedSet<ShardId> all = shard.map(tried::plus).orElse(tried);
        return new FrontRequest(
                id,
                queue,
                phase,
                arrivedAtMillis,
                deadlineMillis,
                claimKey,
                claimWritten,
                all,
                Optional.empty(),
                Optional.empty(),
                random,
                maybeRan || outcome == Outcome.UNKNOWN,
                declined,
                returnable);
    }

    FrontRequest withoutTried() {
        return new FrontRequest(
                id,
                queue,
                phase,
                arrivedAtMillis,
                deadlineMillis,
                claimKey,
                claimWritten,
                TreePSet.empty(),
                shard,
                owner,
                random,
                maybeRan,
                declined,
                returnable);
    }

    /** Returns this request after an attempt that was returnable, or was returned. */
    FrontRequest notReturnable(boolean wasDeclined) {
        return new FrontRequest(
                id,
                queue,
                phase,
                arrivedAtMillis,
                deadlineMillis,
                claimKey,
                claimWritten,
                tried,
                shard,
                owner,
                random,
                maybeRan,
                wasDeclined ? shard.map(declined::plus).orElse(declined) : declined,
                false);
    }
}
