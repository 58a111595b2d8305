package org.jujubefork.core.limits;

import java.util.Optional;
import org.jujubefork.core.control.State;
import org.jujubefork.core.model.Epoch;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.TeamId;
import org.jujubefork.core.placement.ShardState;

/** Computes the ledger that this entry should write next. */
final class LedgerPlanner {
    /**
     * Budget requested beyond the required amount, as a fraction of the team's limit. Larger steps
     * make ledger writes rarer.
     */
    static final double CHUNK_FRACTION = 1.0 / 16;

    /**
     * Initial budget of a new row, as a fraction of the part of the limit that is proportional to
     * the shard's capacity. The remainder stays unallocated for shards that have demand. If the
     * limit covers the fleet, the row gets at least the capacity of the shard.
     */
    static final double INITIAL_FRACTION = 0.5;

    /**
     * How long an owner waits for workers to confirm a cap. After that time, the row is lowered to
     * the cap plus the full capacity of the workers that have not confirmed it.
     */
    static final long CONFIRM_TIMEOUT_MILLIS = 15_000;

    private LedgerPlanner() {}

    /**
     * Returns the amount that is requested beyond the required budget of a team with {@code limit}.
     */
    static Resources chunkSize(Resources limit) {
        return limit.scaled(CHUNK_FRACTION);
    }

    /** Returns the ledger to be written; equal to the last known ledger if no row has to change. */
    static Ledger plan(State state) {
        Ledger ledger = state.limits().ledger();
        if (state.configuration().isEmpty()) {
            return ledger;
        }
        Resources fleetCapacity = state.fleet().capacity();
        for (ShardState shard : state.shards().values()) {
            Optional<ShardBudgetState> budgetState =
                    state.limits()
                            .budgetState(shard.id())
                            .filter(b -> b.epoch().equals(shard.epoch()));
            boolean isSuperseded =
                    ledger.highestEpoch(shard.id())
                            .map(e -> e.isAbove(shard.epoch()))
                            .orElse(false);
            if (budgetState.isEmpty() || isSuperseded) {
                continue;
            }
            Resources freeCapacity = BudgetDemand.freeCapacity(shard);
            for (TeamId team : ShardBudgets.knownTeams(state)) {
                ledger =
                        planRow(
                                state,
                                ledger,
                                shard,
                                budgetState.get(),
                                team,
                                freeCapacity,
                                fleetCapacity);
            }
        }
        return withoutOrphanedRows(state, ledger);
    }

    private static Ledger planRow(
            State state,
            Ledger ledger,
            ShardState shard,
            ShardBudgetState budgetState,
            TeamId team,
            Resources freeCapacity,
            Resources fleetCapacity) {
        Resources limit = ShardBudgets.limitOf(state, team);
        boolean isTeamRemoved = state.configuration().orElseThrow().team(team).isEmpty();
        Optional<BudgetRow> row = ledger.row(team, shard.id());
        Epoch epoch = shard.epoch();
        if (row.isEmpty()) {
            Resources initial = initialBudget(ledger, shard, team, limit, fleetCapacity);
            return isTeamRemoved
                    ? ledger
                    : ledger.withRow(team, shard.id(), new BudgetRow(epoch, initial));
        }
        if (!row.get().epoch().equals(epoch)) {
            return ledger.withRow(team, shard.id(), row.get().withEpoch(epoch));
        }
        LocalCap cap = budgetState.caps().get(team);
        if (cap != null) {
            return lowerRow(
                    ledger, shard, team, row.get(), cap, limit, isTeamRemoved, state.nowMillis());
        }
        return raiseRow(state, ledger, shard, team, row.get(), limit, freeCapacity, fleetCapacity);
    }

    private static Resources initialBudget(
            Ledger ledger,
            ShardState shard,
            TeamId team,
            Resources limit,
            Resources fleetCapacity) {
        boolean coversFleet = fleetCapacity.fitsIn(limit);
        double initialFraction = shard.capacity().dominantShareOf(fleetCapacity) * INITIAL_FRACTION;
        Resources proportional = limit.scaled(Math.min(1, initialFraction));
        Resources target =
                coversFleet
                        ? proportional.max(shard.capacity())
                        : proportional.min(shard.capacity());
        return target.min(unallocated(ledger, team, limit));
    }

    private static Resources unallocated(Ledger ledger, TeamId team, Resources limit) {
        return limit.minus(ledger.allocated(team)).max(Resources.ZERO);
    }

    /**
     * Lowers a row to its cap.
     *
     * <p>This entry may have lost the shard without knowing it, and a successor may run work up to
     * the usage that it adopted from the workers. The usage adopted from a worker is within the cap
     * if the worker granted a renewal that was sent after the cap took effect; all other workers
     * are counted at full capacity.
     */
    private static Ledger lowerRow(
            Ledger ledger,
            ShardState shard,
            TeamId team,
            BudgetRow row,
            LocalCap cap,
            Resources limit,
            boolean isTeamRemoved,
            long nowMillis) {
        Resources unconfirmed = ShardBudgets.unconfirmedCapacity(shard, cap.sinceMillis());
        boolean isUsageWithin = shard.usageOf(team).fitsIn(cap.budget());
        boolean isBeforeTimeout = nowMillis - cap.sinceMillis() < CONFIRM_TIMEOUT_MILLIS;
        if (!isUsageWithin || (!unconfirmed.isZero() && isBeforeTimeout)) {
            return ledger;
        }
        Resources target = cap.budget().plus(unconfirmed).min(row.budget());
        if (isTeamRemoved && target.isZero()) {
            return ledger.withoutRow(team, shard.id());
        }
        Optional<Resources> reducedFor =
                cap.requiredByLimit() ? Optional.of(limit) : Optional.empty();
        return target.equals(row.budget())
                ? ledger
                : ledger.withRow(team, shard.id(), new BudgetRow(row.epoch(), target, reducedFor));
    }

    private static Ledger raiseRow(
            State state,
            Ledger ledger,
            ShardState shard,
            TeamId team,
            BudgetRow row,
            Resources limit,
            Resources freeCapacity,
            Resources fleetCapacity) {
        TeamDemand demand = TeamDemand.of(shard, team, freeCapacity);
        Resources unallocated = unallocated(ledger, team, limit);
        Resources usedAndCharged = shard.usageOf(team).plus(shard.unacquiredCapacity());
        Resources shortage =
                BudgetDemand.requiredBudget(shard, team, demand)
                        .minus(row.budget())
                        .max(Resources.ZERO);
        Resources requested = addChunkIfShort(shortage, chunkSize(limit)).min(unallocated);
        Resources maxBudget =
                shard.capacity()
                        .plus(shard.unacquiredCapacity())
                        .min(BudgetDemand.budgetCeiling(state, team, limit, demand));
        // If the limit covers the fleet, the row is raised to the shard's capacity even without
        // demand, so that work never has to wait for a ledger write.
        Resources uncoveredCapacity =
                fleetCapacity.fitsIn(limit)
                        ? shard.capacity().minus(row.budget()).max(Resources.ZERO).min(unallocated)
                        : Resources.ZERO;
        Resources increase =
                requested
                        .min(maxBudget.minus(row.budget()).max(Resources.ZERO))
                        .max(uncoveredCapacity);
        Resources budget = row.budget().plus(increase);
        Resources available = budget.max(Limits.nonBindingLimit(state, team)).minus(usedAndCharged);
        boolean isUseful =
                !increase.isZero()
                        && (!uncoveredCapacity.isZero() || demand.anyHeadFits(available));
        return isUseful
                ? ledger.withRow(team, shard.id(), new BudgetRow(row.epoch(), budget))
                : ledger;
    }

    /**
     * Returns {@code shortage} plus {@code chunk} in each component in which {@code shortage} is
     * not zero, and zero in the other components.
     */
    private static Resources addChunkIfShort(Resources shortage, Resources chunk) {
        return Resources.of(
                addChunkIfShort(shortage.cpuMillis(), chunk.cpuMillis()),
                addChunkIfShort(shortage.memoryMb(), chunk.memoryMb()),
                addChunkIfShort(shortage.accelerators(), chunk.accelerators()));
    }

    private static long addChunkIfShort(long shortage, long chunk) {
        return shortage == 0 ? 0 : shortage + chunk;
    }

    private static Ledger withoutOrphanedRows(State state, Ledger ledger) {
        Ledger result = ledger;
        for (ShardId shard : OrphanedRows.removableShards(state)) {
            for (TeamId team : ledger.rows().keySet()) {
                result = result.withoutRow(team, shard);
            }
        }
        return result;
    }
}
