package org.jujubefork.core.limits;

import java.util.Optional;
import org.jujubefork.core.control.State;
import org.jujubefork.core.control.Transition;
import org.jujubefork.core.membership.Freshness;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.TeamId;
import org.jujubefork.core.placement.ShardState;
import org.jujubefork.core.placement.Workers;

/** Decides which rows an owner lowers, and puts a local cap on them first. */
final class Caps {
    /**
     * How long a row must have slack before it is given up while another owner has demand. Requests
     * that come and go within a second keep their budget.
     */
    static final long RELEASE_AFTER_MILLIS = 1_000;

    /** How long a row must be far above usage before it is given up without demand elsewhere. */
    static final long IDLE_RELEASE_AFTER_MILLIS = 60_000;

    /** Least time between two rounds of renewals that confirm caps, with few workers. */
    static final long CONFIRM_INTERVAL_MILLIS = 1_000;

    /** What each worker adds to this time, so that a large shard is not asked more than it can. */
    static final long CONFIRM_INTERVAL_PER_WORKER_MILLIS = 20;

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
        return confirm(state.withLimits(state.limits().withShard(id, record)), id);
    }

    /**
     * Renews the leases of {@code id} while a cap only waits for confirmations, because the next
     * renewals that are due anyway can be 10 s away.
     */
    private static Transition confirm(State state, ShardId id) {
        ShardState shard = state.shards().get(id);
        long interval =
                CONFIRM_INTERVAL_MILLIS
                        + CONFIRM_INTERVAL_PER_WORKER_MILLIS * shard.workers().size();
        boolean due = state.nowMillis() / interval != state.limits().tickedAtMillis() / interval;
        if (!due || !Freshness.isStoreContactFresh(state)) {
            return Transition.of(state);
        }
        for (var cap : state.limits().shards().get(id).caps().entrySet()) {
            long age = state.nowMillis() - cap.getValue().sinceMillis();
            boolean open =
                    age > 0
                            && age < LedgerPlan.CONFIRM_PATIENCE_MILLIS
                            && shard.usageOf(cap.getKey()).fitsIn(cap.getValue().budget())
                            && !Budgets.unconfirmed(shard, cap.getValue().sinceMillis()).isZero()
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
     * @param need what is used, charged and waiting, up to the shard's part while others wait; at
     *     least the capacity of the shard if the limit covers the fleet
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
            Resources held = shard.usageOf(team).plus(shard.unacquiredCapacity());
            Resources reachable = budget.plus(unallocated).max(Limits.ample(state, team));
            boolean servable = demand.anyFits(reachable.minus(held));
            Resources ceiling = Demands.ceiling(state, team, limit, demand);
            Resources asked = servable ? Demands.need(shard, team, demand) : held;
            Resources kept = fleet.fitsIn(limit) ? shard.capacity() : Resources.ZERO;
            Resources need = asked.min(ceiling).max(kept);
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
