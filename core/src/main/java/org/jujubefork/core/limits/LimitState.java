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
 * @param budgetStates records of owned shards
 * @param nextWriteAtMillis the earliest time of the next write
 * @param consecutiveFailures failed writes in a row
 * @param tickedAtMillis the time of the last tick
 * @param orphanedSinceMillis since when rows belong to shards that have neither workers nor owner
 * @param fleetCapacity what all workers hold, as of the last tick; zero while none is known
 */
public record LimitState(
        long revision,
        Ledger ledger,
        Optional<PendingWrite> pending,
        PSortedMap<ShardId, ShardBudgetState> budgetStates,
        long nextWriteAtMillis,
        int consecutiveFailures,
        long tickedAtMillis,
        PSortedMap<ShardId, Long> orphanedSinceMillis,
        Resources fleetCapacity) {
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
    public Optional<ShardBudgetState> budgetState(ShardId shard) {
        return Optional.ofNullable(budgetStates.get(shard));
    }

    /** Returns this state with a newer copy; a pending write on an older revision is settled. */
    LimitState withLedger(long newRevision, Ledger newLedger) {
        Optional<PendingWrite> stillPending =
                pending.filter(p -> p.expectedRevision() >= newRevision);
        return new LimitState(
                newRevision,
                newLedger,
                stillPending,
                budgetStates,
                nextWriteAtMillis,
                consecutiveFailures,
                tickedAtMillis,
                orphanedSinceMillis,
                fleetCapacity);
    }

    LimitState withPending(Optional<PendingWrite> value) {
        return new LimitState(
                revision,
                ledger,
                value,
                budgetStates,
                nextWriteAtMillis,
                consecutiveFailures,
                tickedAtMillis,
                orphanedSinceMillis,
                fleetCapacity);
    }

    LimitState withBudgetState(ShardId shard, ShardBudgetState value) {
        return withBudgetStates(budgetStates.plus(shard, value));
    }

    LimitState withBudgetStates(PSortedMap<ShardId, ShardBudgetState> value) {
        return new LimitState(
                revision,
                ledger,
                pending,
                value,
                nextWriteAtMillis,
                consecutiveFailures,
                tickedAtMillis,
                orphanedSinceMillis,
                fleetCapacity);
    }

    LimitState withNextWrite(long atMillis, int newFailures) {
        return new LimitState(
                revision,
                ledger,
                pending,
                budgetStates,
                atMillis,
                newFailures,
                tickedAtMillis,
                orphanedSinceMillis,
                fleetCapacity);
    }

    LimitState afterTick(
            long atMillis, PSortedMap<ShardId, Long> orphaned, Resources newFleetCapacity) {
        return new LimitState(
                revision,
                ledger,
                pending,
                budgetStates,
                nextWriteAtMillis,
                consecutiveFailures,
                atMillis,
                orphaned,
                newFleetCapacity);
    }
}
