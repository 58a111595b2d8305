package org.jujubefork.core.limits;

import java.util.Optional;
import org.jujubefork.core.membership.Member;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.ShardId;
import org.pcollections.PSortedMap;
import org.pcollections.TreePMap;

/**
 * What an entry knows of the ledger and of the budgets of its shards.
 *
 * @param revision the revision of the newest copy; 0 if none exists
 * @param ledger the newest copy
 * @param pending a write that may or may not stand
 * @param shards records of owned shards
 * @param nextWriteMillis the earliest time of the next write
 * @param failures failed writes in a row
 * @param tickedAtMillis the time of the last tick
 * @param orphanedSinceMillis since when rows belong to shards that have neither workers nor owner
 * @param fleet what all workers hold, as of the last tick; zero while none is known
 */
public record LimitState(
        long revision,
        Ledger ledger,
        Optional<PendingWrite> pending,
        PSortedMap<ShardId, ShardBudget> shards,
        long nextWriteMillis,
        int failures,
        long tickedAtMillis,
        PSortedMap<ShardId, Long> orphanedSinceMillis,
        Resources fleet) {
    /** No ledger is known. */
    public static final LimitState EMPTY =
            new LimitState(
                    0,
                    Ledger.EMPTY,
                    Optional.empty(),
                    TreePMap.empty(),
                    Member.NEVER,
                    0,
                    Member.NEVER,
                    TreePMap.empty(),
                    Resources.ZERO);

    /** Returns the record of {@code shard}, if there is one. */
    public Optional<ShardBudget> shard(ShardId shard) {
        return Optional.ofNullable(shards.get(shard));
    }

    /** Returns this state with a newer copy; a pending write on an older revision is settled. */
    LimitState loaded(long newRevision, Ledger newLedger) {
        Optional<PendingWrite> open = pending.filter(p -> p.expectedRevision() >= newRevision);
        return new LimitState(
                newRevision,
                newLedger,
                open,
                shards,
                nextWriteMillis,
                failures,
                tickedAtMillis,
                orphanedSinceMillis,
                fleet);
    }

    LimitState withPending(Optional<PendingWrite> value) {
        return new LimitState(
                revision,
                ledger,
                value,
                shards,
                nextWriteMillis,
                failures,
                tickedAtMillis,
                orphanedSinceMillis,
                fleet);
    }

    LimitState withShard(ShardId shard, ShardBudget value) {
        return withShards(shards.plus(shard, value));
    }

    LimitState withShards(PSortedMap<ShardId, ShardBudget> value) {
        return new LimitState(
                revision,
                ledger,
                pending,
                value,
                nextWriteMillis,
                failures,
                tickedAtMillis,
                orphanedSinceMillis,
                fleet);
    }

    LimitState nextWrite(long atMillis, int failuresInRow) {
        return new LimitState(
                revision,
                ledger,
                pending,
                shards,
                atMillis,
                failuresInRow,
                tickedAtMillis,
                orphanedSinceMillis,
                fleet);
    }

    LimitState ticked(long atMillis, PSortedMap<ShardId, Long> orphaned, Resources fleetCapacity) {
        return new LimitState(
                revision,
                ledger,
                pending,
                shards,
                nextWriteMillis,
                failures,
                atMillis,
                orphaned,
                fleetCapacity);
    }
}
