package org.jujubefork.core.limits;

import java.util.Optional;
import org.jujubefork.core.control.State;
import org.jujubefork.core.model.Epoch;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.TeamId;
import org.jujubefork.core.placement.ShardState;

/** Works out the ledger that an entry would write next. */
final class LedgerPlan {
    /** Budget is asked for in this fraction of a team's limit, so that writes are rare. */
    static final double CHUNK = 1.0 / 16;

    /**
     * The fraction of its proportional part that a new row of a team gets. The rest is left for the
     * shards where demand shows up. If the limit covers the fleet, the row gets at least the
     * capacity of the shard.
     */
    static final double INITIAL = 0.5;

    /** How long a cap waits for answers of workers before these are charged instead. */
    static final long CONFIRM_PATIENCE_MILLIS = 15_000;

    private LedgerPlan() {}

    /** Returns the chunk in which budget of a team with {@code limit} is asked for. */
    static Resources chunk(Resources limit) {
        return limit.scaled(CHUNK);
    }

    /** Returns the ledger that {@code state} calls for; the known one if nothing is to change. */
    static Ledger of(State state) {
        Ledger ledger = state.limits().ledger();
        if (state.configuration().isEmpty()) {
            return ledger;
        }
        Resources fleet = state.fleet().capacity();
        for (ShardState shard : state.shards().values()) {
            Optional<ShardBudget> record =
                    state.limits().shard(shard.id()).filter(r -> r.epoch().equals(shard.epoch()));
            boolean outranked =
                    ledger.epochOf(shard.id()).map(e -> e.isAbove(shard.epoch())).orElse(false);
            if (record.isEmpty() || outranked) {
                continue;
            }
            Resources free = Demands.free(shard);
            for (TeamId team : Budgets.teams(state)) {
                ledger = forRow(state, ledger, shard, record.get(), team, free, fleet);
            }
        }
        return withoutOrphans(state, ledger);
    }

    private static Ledger forRow(
            State state,
            Ledger ledger,
            ShardState shard,
            ShardBudget record,
            TeamId team,
            Resources free,
            Resources fleet) {
        Resources limit = Budgets.limitOf(state, team);
        boolean removed = state.configuration().orElseThrow().team(team).isEmpty();
        Optional<BudgetRow> row = ledger.row(team, shard.id());
        Epoch epoch = shard.epoch();
        if (row.isEmpty()) {
            Resources initial = initial(ledger, shard, team, limit, fleet);
            return removed ? ledger : ledger.with(team, shard.id(), new BudgetRow(epoch, initial));
        }
        if (!row.get().epoch().equals(epoch)) {
            return ledger.with(team, shard.id(), row.get().under(epoch));
        }
        LocalCap cap = record.caps().get(team);
        if (cap != null) {
            return lowered(ledger, shard, team, row.get(), cap, limit, removed, state.nowMillis());
        }
        return raised(state, ledger, shard, team, row.get(), limit, free, fleet);
    }

    private static Resources initial(
            Ledger ledger, ShardState shard, TeamId team, Resources limit, Resources fleet) {
        boolean covering = fleet.fitsIn(limit);
        double part = shard.capacity().dominantShareOf(fleet) * INITIAL;
        Resources half = limit.scaled(Math.min(1, part));
        Resources wanted = covering ? half.max(shard.capacity()) : half.min(shard.capacity());
        return wanted.min(unallocated(ledger, team, limit));
    }

    private static Resources unallocated(Ledger ledger, TeamId team, Resources limit) {
        return limit.minus(ledger.allocated(team)).max(Resources.ZERO);
    }

    /**
     * Lowers a row to its cap.
     *
     * <p>The entry may have lost the shard without knowing, and a successor may run up to what it
     * adopted. What was adopted from a worker is within the cap if the worker granted a renewal
     * that was sent after the cap came into force; other workers are charged at full capacity.
     */
    private static Ledger lowered(
            Ledger ledger,
            ShardState shard,
            TeamId team,
            BudgetRow row,
            LocalCap cap,
            Resources limit,
            boolean removed,
            long nowMillis) {
        Resources unconfirmed = Budgets.unconfirmed(shard, cap.sinceMillis());
        boolean within = shard.usageOf(team).fitsIn(cap.budget());
        boolean patient = nowMillis - cap.sinceMillis() < CONFIRM_PATIENCE_MILLIS;
        if (!within || (!unconfirmed.isZero() && patient)) {
            return ledger;
        }
        Resources target = cap.budget().plus(unconfirmed).min(row.budget());
        if (removed && target.isZero()) {
            return ledger.without(team, shard.id());
        }
        Optional<Resources> mark = cap.forLimit() ? Optional.of(limit) : Optional.empty();
        return target.equals(row.budget())
                ? ledger
                : ledger.with(team, shard.id(), new BudgetRow(row.epoch(), target, mark));
    }

    private static Ledger raised(
            State state,
            Ledger ledger,
            ShardState shard,
            TeamId team,
            BudgetRow row,
            Resources limit,
            Resources free,
            Resources fleet) {
        TeamDemand demand = TeamDemand.of(shard, team, free);
        Resources unallocated = unallocated(ledger, team, limit);
        Resources held = shard.usageOf(team).plus(shard.unacquiredCapacity());
        Resources shortage =
                Demands.need(shard, team, demand).minus(row.budget()).max(Resources.ZERO);
        Resources grant = padded(shortage, chunk(limit)).min(unallocated);
        Resources most =
                shard.capacity()
                        .plus(shard.unacquiredCapacity())
                        .min(Demands.ceiling(state, team, limit, demand));
        // A row that covers the shard never makes work wait, so it needs no demand to grow.
        Resources missing =
                fleet.fitsIn(limit)
                        ? shard.capacity().minus(row.budget()).max(Resources.ZERO).min(unallocated)
                        : Resources.ZERO;
        Resources bounded = grant.min(most.minus(row.budget()).max(Resources.ZERO)).max(missing);
        Resources budget = row.budget().plus(bounded);
        Resources room = budget.max(Limits.ample(state, team)).minus(held);
        boolean useful = !bounded.isZero() && (!missing.isZero() || demand.anyFits(room));
        return useful ? ledger.with(team, shard.id(), new BudgetRow(row.epoch(), budget)) : ledger;
    }

    /** Adds a chunk in each component that is short. */
    private static Resources padded(Resources shortage, Resources chunk) {
        return Resources.of(
                padded(shortage.cpuMillis(), chunk.cpuMillis()),
                padded(shortage.memoryMb(), chunk.memoryMb()),
                padded(shortage.accelerators(), chunk.accelerators()));
    }

    private static long padded(long shortage, long chunk) {
        return shortage == 0 ? 0 : shortage + chunk;
    }

    private static Ledger withoutOrphans(State state, Ledger ledger) {
        Ledger result = ledger;
        for (ShardId shard : Orphans.due(state)) {
            for (TeamId team : ledger.rows().keySet()) {
                result = result.without(team, shard);
            }
        }
        return result;
    }
}
