package org.jujubefork.core.limits;

import java.util.Optional;
import org.jujubefork.core.control.State;
import org.jujubefork.core.control.Transition;
import org.jujubefork.core.membership.ConfigurationFreshness;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.TeamId;
import org.jujubefork.core.placement.ShardState;
import org.jujubefork.core.placement.Workers;

/** Decides which rows an owner lowers, and puts a local cap on them first. */
final class LocalCaps {
    /**
     * How long a row must have slack before it is given up while another owner has demand. Requests
     * that come and go within a second keep their budget.
     */
    static final long RELEASE_AFTER_MILLIS = 1_000;

    /** How long a row must be far above usage before it is given up without demand elsewhere. */
    static final long IDLE_RELEASE_AFTER_MILLIS = 60_000;

    /** Least time between two rounds of renewals that confirm caps, with few workers. */
    static final long MIN_CONFIRM_INTERVAL_MILLIS = 1_000;

    /** What each worker adds to this time, so that a large shard is not asked more than it can. */
    static final long CONFIRM_INTERVAL_PER_WORKER_MILLIS = 20;

    /** A row is far above usage if it is more than this many times what is needed. */
    private static final int IDLE_BUDGET_FACTOR = 2;

    private LocalCaps() {}

    /** Sets and lifts the caps of {@code id}. */
    static Transition update(State state, ShardId id) {
        if (state.configuration().isEmpty()) {
            return Transition.of(state);
        }
        ShardState shard = state.shards().get(id);
        Resources free = BudgetDemand.freeCapacity(shard);
        Resources fleet = state.fleet().capacity();
        ShardBudgetState record = state.limits().budgetStates().get(id);
        for (TeamId team : ShardBudgets.knownTeams(state)) {
            Optional<LocalCap> forLimit = capForLoweredLimit(state, shard, record, team);
            record =
                    forLimit.isPresent()
                            ? record.withCaps(record.caps().plus(team, forLimit.get()))
                            : updateForSlack(state, shard, record, team, free, fleet);
        }
        return renewToConfirm(state.withLimits(state.limits().withBudgetState(id, record)), id);
    }

    /**
     * Renews the leases of {@code id} while a cap only waits for confirmations, because the next
     * renewals that are due anyway can be 10 s away.
     */
    private static Transition renewToConfirm(State state, ShardId id) {
        ShardState shard = state.shards().get(id);
        long interval =
                MIN_CONFIRM_INTERVAL_MILLIS
                        + CONFIRM_INTERVAL_PER_WORKER_MILLIS * shard.workers().size();
        boolean due = state.nowMillis() / interval != state.limits().tickedAtMillis() / interval;
        if (!due || !ConfigurationFreshness.isStoreContactFresh(state)) {
            return Transition.of(state);
        }
        for (var cap : state.limits().budgetStates().get(id).caps().entrySet()) {
            long age = state.nowMillis() - cap.getValue().sinceMillis();
            boolean open =
                    age > 0
                            && age < LedgerPlanner.CONFIRM_TIMEOUT_MILLIS
                            && shard.usageOf(cap.getKey()).fitsIn(cap.getValue().budget())
                            && !ShardBudgets.unconfirmedCapacity(
                                            shard, cap.getValue().sinceMillis())
                                    .isZero()
                            && isAboveCap(state, shard, cap.getKey(), cap.getValue());
            if (open) {
                return Workers.renewAll(state, id);
            }
        }
        return Transition.of(state);
    }

    /** Returns whether the row of {@code team} is still above {@code cap}. */
    private static boolean isAboveCap(State state, ShardState shard, TeamId team, LocalCap cap) {
        return state.limits()
                .ledger()
                .row(team, shard.id())
                .map(r -> !r.budget().fitsIn(cap.budget()))
                .orElse(false);
    }

    private static Optional<LocalCap> capForLoweredLimit(
            State state, ShardState shard, ShardBudgetState record, TeamId team) {
        Optional<BudgetRow> row = state.limits().ledger().row(team, shard.id());
        if (row.isEmpty()) {
            return Optional.empty();
        }
        Resources share = Limits.rowLimit(state, shard, team, ShardBudgets.limitOf(state, team));
        Resources bound = share.min(row.get().budget());
        if (bound.equals(row.get().budget())) {
            return Optional.empty();
        }
        LocalCap known = record.caps().get(team);
        boolean kept = known != null && known.requiredByLimit() && known.budget().equals(bound);
        boolean within = shard.usageOf(team).fitsIn(bound);
        return Optional.of(kept && within ? known : new LocalCap(bound, state.nowMillis(), true));
    }

    private static ShardBudgetState updateForSlack(
            State state,
            ShardState shard,
            ShardBudgetState record,
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
                    .withSlackSince(record.slackSinceMillis().minus(team));
        }
        Resources budget = row.get().budget();
        Slack slack = Slack.of(state, shard, team, budget, free, fleet);
        LocalCap known = record.caps().get(team);
        if (known != null) {
            boolean obsolete =
                    known.requiredByLimit()
                            || budget.fitsIn(known.budget())
                            || !slack.required().fitsIn(known.budget());
            if (obsolete) {
                return record.withCaps(record.caps().minus(team));
            }
            // The time of a cap counts from when usage is within it.
            LocalCap above = new LocalCap(known.budget(), state.nowMillis(), false);
            return shard.usageOf(team).fitsIn(known.budget())
                    ? record
                    : record.withCaps(record.caps().plus(team, above));
        }
        if (!slack.isReleasable()) {
            return record.withSlackSince(record.slackSinceMillis().minus(team));
        }
        Long since = record.slackSinceMillis().get(team);
        if (since == null) {
            return record.withSlackSince(record.slackSinceMillis().plus(team, state.nowMillis()));
        }
        long patience =
                slack.demandedElsewhere() ? RELEASE_AFTER_MILLIS : IDLE_RELEASE_AFTER_MILLIS;
        if (state.nowMillis() - since < patience) {
            return record;
        }
        LocalCap cap = new LocalCap(slack.target(), state.nowMillis(), false);
        return record.withCaps(record.caps().plus(team, cap))
                .withSlackSince(record.slackSinceMillis().minus(team));
    }

    /**
     * What a team has in a shard beyond its need.
     *
     * @param required what is used, charged and waiting, up to the shard's part while others wait;
     *     at least the capacity of the shard if the limit covers the fleet
     * @param target what the row would be lowered to
     * @param demandedElsewhere whether another owner has demand that the unallocated budget does
     *     not cover
     * @param idle whether the row is far above the need
     */
    private record Slack(
            Resources required, Resources target, boolean demandedElsewhere, boolean idle) {
        static Slack of(
                State state,
                ShardState shard,
                TeamId team,
                Resources budget,
                Resources free,
                Resources fleet) {
            Resources limit = ShardBudgets.limitOf(state, team);
            Resources unallocated =
                    limit.minus(state.limits().ledger().allocated(team)).max(Resources.ZERO);
            TeamDemand demand = TeamDemand.of(shard, team, free);
            Resources held = shard.usageOf(team).plus(shard.charged());
            Resources reachable = budget.plus(unallocated).max(Limits.nonBindingLimit(state, team));
            boolean servable = demand.anyHeadFits(reachable.minus(held));
            Resources ceiling = BudgetDemand.budgetCeiling(state, team, limit, demand);
            Resources asked = servable ? BudgetDemand.requiredBudget(shard, team, demand) : held;
            Resources kept = fleet.fitsIn(limit) ? shard.capacity() : Resources.ZERO;
            Resources need = asked.min(ceiling).max(kept);
            Resources chunk = LedgerPlanner.chunkSize(limit);
            Resources missing = BudgetDemand.unmetElsewhere(state, team).minus(unallocated);
            Resources tight = need.min(budget);
            boolean wanted = haveCommonPositiveComponent(missing, budget.minus(tight));
            Resources loose = need.times(IDLE_BUDGET_FACTOR).plus(chunk.times(IDLE_BUDGET_FACTOR));
            boolean idle = !fleet.fitsIn(limit) && !budget.fitsIn(loose);
            Resources target = wanted ? tight : need.plus(chunk).min(budget);
            return new Slack(need, target, wanted, idle);
        }

        boolean isReleasable() {
            return demandedElsewhere || idle;
        }

        private static boolean haveCommonPositiveComponent(Resources a, Resources b) {
            return (a.cpuMillis() > 0 && b.cpuMillis() > 0)
                    || (a.memoryMb() > 0 && b.memoryMb() > 0)
                    || (a.accelerators() > 0 && b.accelerators() > 0);
        }
    }
}
