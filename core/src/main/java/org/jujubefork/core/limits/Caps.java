package org.jujubefork.core.limits;

import java.util.Optional;
import org.jujubefork.core.control.State;
import org.jujubefork.core.control.Transition;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.TeamId;
import org.jujubefork.core.placement.ShardState;

/** Decides which rows an owner lowers, and puts a local cap on them first. */
final class Caps {
    /** How long a row must have slack before it is given up while another owner has demand. */
    static final long RELEASE_AFTER_MILLIS = 3_000;

    /** How long a row must be far above usage before it is given up without demand elsewhere. */
    static final long IDLE_RELEASE_AFTER_MILLIS = 60_000;

    /** A row is far above usage if it is more than this many times what is needed. */
    private static final int FAR_ABOVE = 2;

    private Caps() {}

    /** Sets and lifts the caps of {@code id}. */
    static Transition update(State state, ShardId id) {
        if (state.configuration().isEmpty()) {
            return Transition.of(state);
        }
        ShardState shard = state.shards().get(id);
        Resources free = Demands.free(shard);
        Resources fleet = state.fleet().capacity();
        ShardBudget record = state.limits().shards().get(id);
        for (TeamId team : Budgets.teams(state)) {
            Optional<LocalCap> forLimit = forLimit(state, shard, record, team);
            record =
                    forLimit.isPresent()
                            ? record.withCaps(record.caps().plus(team, forLimit.get()))
                            : forSlack(state, shard, record, team, free, fleet);
        }
        return Transition.of(state.withLimits(state.limits().withShard(id, record)));
    }

    private static Optional<LocalCap> forLimit(
            State state, ShardState shard, ShardBudget record, TeamId team) {
        Optional<BudgetRow> row = state.limits().ledger().row(team, shard.id());
        if (row.isEmpty()) {
            return Optional.empty();
        }
        Resources share = Limits.share(state, shard, team, Budgets.limitOf(state, team));
        Resources bound = share.min(row.get().budget());
        if (bound.equals(row.get().budget())) {
            return Optional.empty();
        }
        LocalCap known = record.caps().get(team);
        boolean kept = known != null && known.forLimit() && known.budget().equals(bound);
        boolean within = shard.usageOf(team).fitsIn(bound);
        return Optional.of(kept && within ? known : new LocalCap(bound, state.nowMillis(), true));
    }

    private static ShardBudget forSlack(
            State state,
            ShardState shard,
            ShardBudget record,
            TeamId team,
            Resources free,
            Resources fleet) {
        Optional<BudgetRow> row =
                state.limits()
                        .ledger()
                        .row(team, shard.id())
                        .filter(r -> r.epoch().equals(shard.epoch()));
        if (row.isEmpty()) {
            return record.withCaps(record.caps().minus(team))
                    .withSlack(record.slackSinceMillis().minus(team));
        }
        Resources budget = row.get().budget();
        Slack slack = Slack.of(state, shard, team, budget, free, fleet);
        LocalCap known = record.caps().get(team);
        if (known != null) {
            boolean obsolete =
                    known.forLimit()
                            || budget.fitsIn(known.budget())
                            || !slack.need().fitsIn(known.budget());
            if (obsolete) {
                return record.withCaps(record.caps().minus(team));
            }
            // The time of a cap counts from when usage is within it.
            LocalCap above = new LocalCap(known.budget(), state.nowMillis(), false);
            return shard.usageOf(team).fitsIn(known.budget())
                    ? record
                    : record.withCaps(record.caps().plus(team, above));
        }
        if (!slack.isWorthReleasing()) {
            return record.withSlack(record.slackSinceMillis().minus(team));
        }
        Long since = record.slackSinceMillis().get(team);
        if (since == null) {
            return record.withSlack(record.slackSinceMillis().plus(team, state.nowMillis()));
        }
        long patience = slack.wanted() ? RELEASE_AFTER_MILLIS : IDLE_RELEASE_AFTER_MILLIS;
        if (state.nowMillis() - since < patience) {
            return record;
        }
        LocalCap cap = new LocalCap(slack.target(), state.nowMillis(), false);
        return record.withCaps(record.caps().plus(team, cap))
                .withSlack(record.slackSinceMillis().minus(team));
    }

    /**
     * What a team has in a shard beyond its need.
     *
     * @param need what is used, charged and waiting, up to the shard's part while others wait
     * @param target what the row would be lowered to
     * @param wanted whether another owner has demand that the unallocated budget does not cover
     * @param idle whether the row is far above the need
     */
    private record Slack(Resources need, Resources target, boolean wanted, boolean idle) {
        static Slack of(
                State state,
                ShardState shard,
                TeamId team,
                Resources budget,
                Resources free,
                Resources fleet) {
            Resources limit = Budgets.limitOf(state, team);
            Resources unallocated =
                    limit.minus(state.limits().ledger().allocated(team)).max(Resources.ZERO);
            TeamDemand demand = TeamDemand.of(shard, team, free);
            Resources held = shard.usageOf(team).plus(shard.charged());
            boolean servable = demand.anyFits(budget.plus(unallocated).minus(held));
            Resources ceiling = Demands.ceiling(state, team, limit, demand);
            Resources asked = servable ? Demands.need(shard, team, demand) : held;
            Resources need = asked.min(ceiling);
            Resources chunk = LedgerPlan.chunk(limit);
            Resources missing = Demands.elsewhere(state, team).minus(unallocated);
            Resources tight = need.min(budget);
            boolean wanted = hasPositiveInCommon(missing, budget.minus(tight));
            Resources loose = need.times(FAR_ABOVE).plus(chunk.times(FAR_ABOVE));
            boolean idle = !fleet.fitsIn(limit) && !budget.fitsIn(loose);
            Resources target = wanted ? tight : need.plus(chunk).min(budget);
            return new Slack(need, target, wanted, idle);
        }

        boolean isWorthReleasing() {
            return wanted || idle;
        }

        private static boolean hasPositiveInCommon(Resources a, Resources b) {
            return (a.cpuMillis() > 0 && b.cpuMillis() > 0)
                    || (a.memoryMb() > 0 && b.memoryMb() > 0)
                    || (a.accelerators() > 0 && b.accelerators() > 0);
        }
    }
}
