package org.jujubefork.core.limits;

import java.util.Optional;
import org.jujubefork.core.configuration.Team;
import org.jujubefork.core.control.State;
import org.jujubefork.core.membership.Freshness;
import org.jujubefork.core.membership.Member;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.TeamId;
import org.jujubefork.core.placement.ShardState;
import org.pcollections.PSortedMap;

/** Decides whether a team may start more work. */
public final class Limits {
    /**
     * A limit of at least this many times what the fleet holds cannot bind. The factor covers
     * workers that were added and are neither on the copy of the VM list nor in gossip yet.
     */
    static final int AMPLE_FACTOR = 2;

    private Limits() {}

    /**
     * Returns whether {@code team} may start work of {@code size} in {@code shard} within its upper
     * limit.
     *
     * <p>Workers of the shard that are not yet acquired are charged at full capacity, because an
     * earlier owner may still start work there.
     */
    public static boolean allows(State state, ShardState shard, TeamId team, Resources size) {
        return shard.usageOf(team)
                .plus(shard.unacquiredCapacity())
                .plus(size)
                .fitsIn(allowance(state, shard, team));
    }

    /**
     * Returns what {@code team} may have running on the workers of {@code shard} that are acquired.
     */
    public static Resources available(State state, ShardState shard, TeamId team) {
        return allowance(state, shard, team).minus(shard.unacquiredCapacity()).max(Resources.ZERO);
    }

    /** Returns what {@code team} may have running in {@code shard} now. */
    public static Resources allowance(State state, ShardState shard, TeamId team) {
        Optional<Team> known = state.configuration().flatMap(c -> c.team(team));
        Optional<ShardBudget> budget =
                state.limits().shard(shard.id()).filter(b -> b.epoch().equals(shard.epoch()));
        if (known.isEmpty() || budget.isEmpty()) {
            return Resources.ZERO;
        }
        Resources ample = ample(state, team);
        if (budget.get().confirmFromMillis() != Member.NEVER) {
            return ample;
        }
        Resources base =
                standing(state.limits(), shard, team)
                        .orElse(adopted(state, shard, budget.get(), team));
        LocalCap cap = budget.get().caps().get(team);
        Resources capped = cap == null ? base : base.min(cap.budget());
        return capped.min(share(state, shard, team, known.get().limit())).max(ample);
    }

    /** Returns whether the limit of {@code team} can keep work from being started. */
    public static boolean isBinding(State state, TeamId team) {
        return !Budgets.limitOf(state, team).fitsIn(ample(state, team));
    }

    /**
     * Returns whether {@code team} has no budget for work of {@code size} in {@code shard}, and the
     * ledger has none to give either, as far as this entry knows.
     */
    public static boolean isUsedUp(State state, ShardState shard, TeamId team, Resources size) {
        if (allows(state, shard, team, size)) {
            return false;
        }
        LimitState limits = state.limits();
        if (!Freshness.isStoreContactFresh(state) || limits.failures() > 0) {
            return true;
        }
        boolean own =
                limits.ledger()
                        .row(team, shard.id())
                        .filter(r -> r.epoch().equals(shard.epoch()))
                        .isPresent();
        Resources unallocated = Budgets.limitOf(state, team).minus(limits.ledger().allocated(team));
        return own && !size.fitsIn(unallocated.max(ample(state, team)));
    }

    /**
     * Returns the components of the limit of {@code team} that cannot bind; zero for the others.
     * What runs is bounded by the capacity of the workers there, so no budget has to be checked.
     */
    static Resources ample(State state, TeamId team) {
        Resources fleet = state.limits().fleet();
        Resources limit = Budgets.limitOf(state, team);
        return fleet.isZero()
                ? Resources.ZERO
                : Resources.of(
                        ample(limit.cpuMillis(), fleet.cpuMillis()),
                        ample(limit.memoryMb(), fleet.memoryMb()),
                        ample(limit.accelerators(), fleet.accelerators()));
    }

    private static long ample(long limit, long fleet) {
        return limit >= AMPLE_FACTOR * fleet ? limit : 0;
    }

    /**
     * Returns what {@code team} may have running while no row can carry the owner's epoch. Once
     * rows do, a team without a row has no budget.
     */
    private static Resources adopted(
            State state, ShardState shard, ShardBudget budget, TeamId team) {
        return Budgets.hasOwnRows(state, shard) ? Resources.ZERO : budget.adoptedOf(team);
    }

    /**
     * Returns the budget that surely stands in the ledger for the owner of {@code shard}: empty if
     * the row may carry another epoch, and the smaller of both budgets while a write is pending.
     */
    static Optional<Resources> standing(LimitState limits, ShardState shard, TeamId team) {
        Optional<Resources> known = own(limits.ledger(), shard, team);
        if (limits.pending().isEmpty()) {
            return known;
        }
        for (Ledger written : limits.pending().get().ledgers()) {
            Optional<Resources> other = own(written, shard, team);
            known = known.flatMap(k -> other.map(k::min));
        }
        return known;
    }

    private static Optional<Resources> own(Ledger ledger, ShardState shard, TeamId team) {
        return ledger.row(team, shard.id())
                .filter(r -> r.epoch().equals(shard.epoch()))
                .map(BudgetRow::budget);
    }

    /**
     * Returns the part of {@code limit} that falls to the row of {@code shard}.
     *
     * <p>If the rows of the team add up to more than the limit, each row that was not yet reduced
     * for this limit gets the same fraction of what the reduced rows leave over. The result does
     * not depend on the order in which owners reduce their rows.
     */
    static Resources share(State state, ShardState shard, TeamId team, Resources limit) {
        Ledger ledger = state.limits().ledger();
        PSortedMap<?, BudgetRow> rows = ledger.team(team);
        Resources allocated = ledger.allocated(team);
        if (allocated.fitsIn(limit)) {
            return limit;
        }
        Optional<BudgetRow> row = ledger.row(team, shard.id());
        if (row.isEmpty()) {
            return Resources.ZERO;
        }
        Optional<Resources> mark = Optional.of(limit);
        Resources reduced = Resources.ZERO;
        for (BudgetRow other : rows.values()) {
            if (other.reducedFor().equals(mark)) {
                reduced = reduced.plus(other.budget());
            }
        }
        Resources open = allocated.minus(reduced);
        boolean again = open.isZero() || !reduced.fitsIn(limit);
        if (again) {
            return fraction(row.get().budget(), limit, allocated);
        }
        return row.get().reducedFor().equals(mark)
                ? row.get().budget()
                : fraction(row.get().budget(), limit.minus(reduced), open);
    }

    private static Resources fraction(Resources budget, Resources limit, Resources sum) {
        return Resources.of(
                fraction(budget.cpuMillis(), limit.cpuMillis(), sum.cpuMillis()),
                fraction(budget.memoryMb(), limit.memoryMb(), sum.memoryMb()),
                fraction(budget.accelerators(), limit.accelerators(), sum.accelerators()));
    }

    private static long fraction(long budget, long limit, long sum) {
        if (sum <= limit) {
            return budget;
        }
        return budget * limit / sum;
    }
}
