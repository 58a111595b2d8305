package org.jujubefork.core.limits;

import java.util.Optional;
import org.jujubefork.core.membership.Member;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.ShardId;
import org.pcollections.PSortedMap;
import org.pcollections.TreePMap;

/**
 * The last known ledger and the budget state of the owned shards.
 *
 * @param revision the store revision of {@code ledger}; 0 if no ledger was read
 * @param ledger the newest ledger read from the store
 * @param pendingWrites ledger writes that may or may not have taken effect; empty if there are none
 * @param budgetStates budget state by owned shard
 * @param nextWriteAtMillis the earliest time of the next ledger write; {@code Long.MAX_VALUE} while
 *     it is not chosen
 * @param consecutiveFailures the number of failed ledger writes since the last successful write
 * @param tickedAtMillis the time of the last tick
 * @param orphanedSinceMillis for each shard that has ledger rows but neither workers nor an owner,
 *     the time at which this entry first observed that condition
 * @param fleetCapacity the total capacity of all workers as of the last tick; zero if unknown
 */
public record LimitState(
        long revision,
        Ledger ledger,
        Optional<PendingWrites> pendingWrites,
        PSortedMap<ShardId, ShardBudgetState> budgetStates,
        long nextWriteAtMillis,
        int consecutiveFailures,
        long tickedAtMillis,
        PSortedMap<ShardId, Long> orphanedSinceMillis,
        Resources fleetCapacity) {
    /** The state of an entry that has not read a ledger. */
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

    /** Returns the budget state of {@code shard}; empty if this entry does not own it. */
    public Optional<ShardBudgetState> budgetState(ShardId shard) {
        return Optional.ofNullable(budgetStates.get(shard));
    }

    /**
     * Returns this state with a newer ledger. Pending writes that replace an older revision are
     * dropped, because it is now known whether one of them took effect.
     */
    LimitState withLedger(long newRevision, Ledger newLedger) {
        Optional<PendingWrites> stillPending =
                pendingWrites.filter(p -> p.expectedRevision() >= newRevision);
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

    LimitState withPendingWrites(Optional<PendingWrites> value) {
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
                pendingWrites,
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
                pendingWrites,
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
                pendingWrites,
                budgetStates,
                nextWriteAtMillis,
                consecutiveFailures,
                atMillis,
                orphaned,
                newFleetCapacity);
    }
}
