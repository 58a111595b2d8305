package org.jujubefork.core.limits;

import java.util.Optional;
import org.jujubefork.core.configuration.Team;
import org.jujubefork.core.control.State;
import org.jujubefork.core.membership.ConfigurationFreshness;
import org.jujubefork.core.membership.Member;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.TeamId;
import org.jujubefork.core.placement.ShardState;
import org.pcollections.PSortedMap;

/** Decides whether the upper limit and the budget of a team allow it to start more work. */
public final class Limits {
    /**
     * A limit of at least this many times the fleet capacity is not binding. The factor allows for
     * workers that were added but have not yet appeared in this entry's VM list or in gossip.
     */
    static final int NON_BINDING_FACTOR = 2;

    private Limits() {}

    /**
     * Returns whether {@code team} may start work of {@code size} in {@code shard} within its upper
     * limit.
     *
     * <p>Workers of the shard that are not yet acquired count as used at full capacity, because an
     * earlier owner may still start work on them.
     */
    public static boolean allows(State state, ShardState shard, TeamId team, Resources size) {
        return shard.usageOf(team)
                .plus(shard.unacquiredCapacity())
                .plus(size)
                .fitsIn(allowance(state, shard, team));
    }

    /**
     * Returns the maximum total size of the work that {@code team} may run on the acquired workers
     * of {@code shard}.
     */
    public static Resources available(State state, ShardState shard, TeamId team) {
        return allowance(state, shard, team).minus(shard.unacquiredCapacity()).max(Resources.ZERO);
    }

    /**
     * Returns the maximum total size of the work that {@code team} may run in {@code shard},
     * including the capacity that is charged for workers that are not acquired. The result is zero
     * if the configuration does not contain the team.
     */
    public static Resources allowance(State state, ShardState shard, TeamId team) {
        Optional<Team> configured = state.configuration().flatMap(c -> c.team(team));
        Optional<ShardBudgetState> budgetState =
                state.limits().budgetState(shard.id()).filter(b -> b.epoch().equals(shard.epoch()));
        if (configured.isEmpty() || budgetState.isEmpty()) {
            return Resources.ZERO;
        }
        Resources nonBinding = nonBindingLimit(state, team);
        if (budgetState.get().unconfirmedSinceMillis() != Member.NEVER) {
            return nonBinding;
        }
        Resources base =
                guaranteedBudget(state.limits(), shard, team)
                        .orElse(adoptedUsage(state, shard, budgetState.get(), team));
        LocalCap cap = budgetState.get().caps().get(team);
        Resources capped = cap == null ? base : base.min(cap.budget());
        return capped.min(rowLimit(state, shard, team, configured.get().limit())).max(nonBinding);
    }

    /**
     * Returns whether the limit of {@code team} is binding, that is, whether any of its components
     * is below {@link #NON_BINDING_FACTOR} times the fleet capacity.
     */
    public static boolean isBinding(State state, TeamId team) {
        return !ShardBudgets.limitOf(state, team).fitsIn(nonBindingLimit(state, team));
    }

    /**
     * Returns whether {@code team} has no budget for work of {@code size} in {@code shard} and
     * cannot get that budget soon, because the ledger has too little unallocated budget or cannot
     * be written.
     */
    public static boolean isBudgetExhausted(
            State state, ShardState shard, TeamId team, Resources size) {
        if (allows(state, shard, team, size)) {
            return false;
        }
        LimitState limits = state.limits();
        if (!ConfigurationFreshness.isStoreContactFresh(state)
                || limits.consecutiveFailures() > 0) {
            return true;
        }
        boolean hasOwnRow =
                limits.ledger()
                        .row(team, shard.id())
                        .filter(r -> r.epoch().equals(shard.epoch()))
                        .isPresent();
        Resources unallocated =
                ShardBudgets.limitOf(state, team).minus(limits.ledger().allocated(team));
        return hasOwnRow && !size.fitsIn(unallocated.max(nonBindingLimit(state, team)));
    }

    /**
     * Returns the limit of {@code team} with zero in each component that is binding. In the other
     * components, the capacity of the workers already bounds usage, so no budget has to be checked.
     */
    static Resources nonBindingLimit(State state, TeamId team) {
        Resources fleetCapacity = state.limits().fleetCapacity();
        Resources limit = ShardBudgets.limitOf(state, team);
        return fleetCapacity.isZero()
                ? Resources.ZERO
                : Resources.of(
                        nonBindingLimit(limit.cpuMillis(), fleetCapacity.cpuMillis()),
                        nonBindingLimit(limit.memoryMb(), fleetCapacity.memoryMb()),
                        nonBindingLimit(limit.accelerators(), fleetCapacity.accelerators()));
    }

    private static long nonBindingLimit(long limit, long fleetCapacity) {
        return limit >= NON_BINDING_FACTOR * fleetCapacity ? limit : 0;
    }

    /**
     * Returns the usage that {@code team} may have while no ledger row of the shard carries the
     * owner's epoch. Once any row carries that epoch, a team without a row has no budget.
     */
    private static Resources adoptedUsage(
            State state, ShardState shard, ShardBudgetState budgetState, TeamId team) {
        return ShardBudgets.hasOwnRows(state, shard)
                ? Resources.ZERO
                : budgetState.adoptedUsageOf(team);
    }

    /**
     * Returns the budget that the owner of {@code shard} has in any case, whichever of the pending
     * writes takes effect: the smallest of the budgets in the last known ledger and in the pending
     * writes. The result is empty if the row is missing or carries another epoch in any of these
     * ledgers.
     */
    static Optional<Resources> guaranteedBudget(LimitState limits, ShardState shard, TeamId team) {
        Optional<Resources> smallest = ownRowBudget(limits.ledger(), shard, team);
        if (limits.pendingWrites().isEmpty()) {
            return smallest;
        }
        for (Ledger written : limits.pendingWrites().get().ledgers()) {
            Optional<Resources> writtenBudget = ownRowBudget(written, shard, team);
            smallest = smallest.flatMap(s -> writtenBudget.map(s::min));
        }
        return smallest;
    }

    private static Optional<Resources> ownRowBudget(Ledger ledger, ShardState shard, TeamId team) {
        return ledger.row(team, shard.id())
                .filter(r -> r.epoch().equals(shard.epoch()))
                .map(BudgetRow::budget);
    }

    /**
     * Returns the part of {@code limit} that applies to the row of {@code shard}: the whole limit
     * while the sum of the team's rows is within it.
     *
     * <p>Otherwise, each row that was not yet reduced for this limit gets the same fraction of the
     * remainder that the reduced rows leave. The result does not depend on the order in which
     * owners reduce their rows.
     */
    static Resources rowLimit(State state, ShardState shard, TeamId team, Resources limit) {
        Ledger ledger = state.limits().ledger();
        PSortedMap<?, BudgetRow> rows = ledger.rowsOf(team);
        Resources allocated = ledger.allocated(team);
        if (allocated.fitsIn(limit)) {
            return limit;
        }
        Optional<BudgetRow> row = ledger.row(team, shard.id());
        if (row.isEmpty()) {
            return Resources.ZERO;
        }
        Optional<Resources> reducedForLimit = Optional.of(limit);
        Resources reducedSum = Resources.ZERO;
        for (BudgetRow other : rows.values()) {
            if (other.reducedFor().equals(reducedForLimit)) {
                reducedSum = reducedSum.plus(other.budget());
            }
        }
        Resources unreducedSum = allocated.minus(reducedSum);
        boolean shouldReduceAllAgain = unreducedSum.isZero() || !reducedSum.fitsIn(limit);
        if (shouldReduceAllAgain) {
            return scaleToLimit(row.get().budget(), limit, allocated);
        }
        return row.get().reducedFor().equals(reducedForLimit)
                ? row.get().budget()
                : scaleToLimit(row.get().budget(), limit.minus(reducedSum), unreducedSum);
    }

    private static Resources scaleToLimit(Resources budget, Resources limit, Resources sum) {
        return Resources.of(
                scaleToLimit(budget.cpuMillis(), limit.cpuMillis(), sum.cpuMillis()),
                scaleToLimit(budget.memoryMb(), limit.memoryMb(), sum.memoryMb()),
                scaleToLimit(budget.accelerators(), limit.accelerators(), sum.accelerators()));
    }

    private static long scaleToLimit(long budget, long limit, long sum) {
        if (sum <= limit) {
            return budget;
        }
        return budget * limit / sum;
    }
}
