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

/**
 * Decides which ledger rows an owner lowers. Each row gets a {@link LocalCap} first, so that usage
 * is within the lower budget before the row is written.
 */
final class LocalCaps {
    /**
     * How long a row must exceed the budget that its shard requires before the surplus is released
     * to another owner that has demand. The delay keeps short gaps between requests from releasing
     * budget.
     */
    static final long RELEASE_AFTER_MILLIS = 1_000;

    /**
     * How long a row must be idle, as defined by {@link Slack#idle()}, before budget is released
     * while no other owner has demand.
     */
    static final long IDLE_RELEASE_AFTER_MILLIS = 60_000;

    /** Base interval between two rounds of lease renewals that are sent to confirm caps. */
    static final long MIN_CONFIRM_INTERVAL_MILLIS = 1_000;

    /**
     * Added to {@link #MIN_CONFIRM_INTERVAL_MILLIS} for each worker of the shard; bounds the rate
     * of extra renewals in a large shard to 50 a second.
     */
    static final long CONFIRM_INTERVAL_PER_WORKER_MILLIS = 20;

    /**
     * A row is idle if its budget exceeds the required budget plus a chunk, multiplied by this
     * factor.
     */
    private static final int IDLE_BUDGET_FACTOR = 2;

    private LocalCaps() {}

    /** Sets and removes the local caps of all teams in the owned shard {@code id}. */
    static Transition update(State state, ShardId id) {
        if (state.configuration().isEmpty()) {
            return Transition.of(state);
        }
        ShardState shard = state.shards().get(id);
        Resources freeCapacity = BudgetDemand.freeCapacity(shard);
        Resources fleetCapacity = state.fleet().capacity();
        ShardBudgetState budgetState = state.limits().budgetStates().get(id);
        for (TeamId team : ShardBudgets.knownTeams(state)) {
            Optional<LocalCap> limitCap = capForLoweredLimit(state, shard, budgetState, team);
            budgetState =
                    limitCap.isPresent()
                            ? budgetState.withCaps(budgetState.caps().plus(team, limitCap.get()))
                            : updateForSlack(
                                    state, shard, budgetState, team, freeCapacity, fleetCapacity);
        }
        return renewToConfirm(
                state.withLimits(state.limits().withBudgetState(id, budgetState)), id);
    }

    /**
     * Renews the leases of shard {@code id} at once if only the confirmations of workers are
     * missing before the row of a cap can be lowered. The next regular renewals can be 10 s away.
     */
    private static Transition renewToConfirm(State state, ShardId id) {
        ShardState shard = state.shards().get(id);
        long intervalMillis =
                MIN_CONFIRM_INTERVAL_MILLIS
                        + CONFIRM_INTERVAL_PER_WORKER_MILLIS * shard.workers().size();
        boolean isDue =
                state.nowMillis() / intervalMillis
                        != state.limits().tickedAtMillis() / intervalMillis;
        if (!isDue || !ConfigurationFreshness.isStoreContactFresh(state)) {
            return Transition.of(state);
        }
        for (var teamAndCap : state.limits().budgetStates().get(id).caps().entrySet()) {
            long ageMillis = state.nowMillis() - teamAndCap.getValue().sinceMillis();
            boolean awaitsConfirmation =
                    ageMillis > 0
                            && ageMillis < LedgerPlanner.CONFIRM_TIMEOUT_MILLIS
                            && shard.usageOf(teamAndCap.getKey())
                                    .fitsIn(teamAndCap.getValue().budget())
                            && !ShardBudgets.unconfirmedCapacity(
                                            shard, teamAndCap.getValue().sinceMillis())
                                    .isZero()
                            && isAboveCap(state, shard, teamAndCap.getKey(), teamAndCap.getValue());
            if (awaitsConfirmation) {
                return Workers.renewAll(state, id);
            }
        }
        return Transition.of(state);
    }

    /** Returns whether the budget in the row of {@code team} is still above {@code cap}. */
    private static boolean isAboveCap(State state, ShardState shard, TeamId team, LocalCap cap) {
        return state.limits()
                .ledger()
                .row(team, shard.id())
                .map(r -> !r.budget().fitsIn(cap.budget()))
                .orElse(false);
    }

    private static Optional<LocalCap> capForLoweredLimit(
            State state, ShardState shard, ShardBudgetState budgetState, TeamId team) {
        Optional<BudgetRow> row = state.limits().ledger().row(team, shard.id());
        if (row.isEmpty()) {
            return Optional.empty();
        }
        Resources rowLimit = Limits.rowLimit(state, shard, team, ShardBudgets.limitOf(state, team));
        Resources cap = rowLimit.min(row.get().budget());
        if (cap.equals(row.get().budget())) {
            return Optional.empty();
        }
        LocalCap current = budgetState.caps().get(team);
        boolean isUnchanged =
                current != null && current.requiredByLimit() && current.budget().equals(cap);
        boolean isUsageWithin = shard.usageOf(team).fitsIn(cap);
        return Optional.of(
                isUnchanged && isUsageWithin
                        ? current
                        : new LocalCap(cap, state.nowMillis(), true));
    }

    private static ShardBudgetState updateForSlack(
            State state,
            ShardState shard,
            ShardBudgetState budgetState,
            TeamId team,
            Resources freeCapacity,
            Resources fleetCapacity) {
        Optional<BudgetRow> row =
                state.limits()
                        .ledger()
                        .row(team, shard.id())
                        .filter(r -> r.epoch().equals(shard.epoch()));
        if (row.isEmpty()) {
            return budgetState
                    .withCaps(budgetState.caps().minus(team))
                    .withSlackSince(budgetState.slackSinceMillis().minus(team));
        }
        Resources budget = row.get().budget();
        Slack slack = Slack.of(state, shard, team, budget, freeCapacity, fleetCapacity);
        LocalCap current = budgetState.caps().get(team);
        if (current != null) {
            boolean isObsolete =
                    current.requiredByLimit()
                            || budget.fitsIn(current.budget())
                            || !slack.required().fitsIn(current.budget());
            if (isObsolete) {
                return budgetState.withCaps(budgetState.caps().minus(team));
            }
            // Only renewals that are sent while usage is within the cap confirm the cap, so the
            // start time of the cap is updated until usage is within it.
            LocalCap restarted = new LocalCap(current.budget(), state.nowMillis(), false);
            return shard.usageOf(team).fitsIn(current.budget())
                    ? budgetState
                    : budgetState.withCaps(budgetState.caps().plus(team, restarted));
        }
        if (!slack.isReleasable()) {
            return budgetState.withSlackSince(budgetState.slackSinceMillis().minus(team));
        }
        Long sinceMillis = budgetState.slackSinceMillis().get(team);
        if (sinceMillis == null) {
            return budgetState.withSlackSince(
                    budgetState.slackSinceMillis().plus(team, state.nowMillis()));
        }
        long releaseAfterMillis =
                slack.demandedElsewhere() ? RELEASE_AFTER_MILLIS : IDLE_RELEASE_AFTER_MILLIS;
        if (state.nowMillis() - sinceMillis < releaseAfterMillis) {
            return budgetState;
        }
        LocalCap cap = new LocalCap(slack.target(), state.nowMillis(), false);
        return budgetState
                .withCaps(budgetState.caps().plus(team, cap))
                .withSlackSince(budgetState.slackSinceMillis().minus(team));
    }

    /**
     * The surplus of a team's budget row over what the team requires in the shard.
     *
     * @param required the sum of running, charged and waiting work, bounded by the shard's equal
     *     part of the limit while other shards have unmet demand; at least the capacity of the
     *     shard if the limit covers the fleet
     * @param target the budget to which the row would be lowered
     * @param demandedElsewhere whether another owner has demand that the unallocated budget does
     *     not cover and that this surplus could cover
     * @param idle whether the budget is more than {@link #IDLE_BUDGET_FACTOR} times the sum of the
     *     required budget and a chunk; always false if the limit covers the fleet
     */
    private record Slack(
            Resources required, Resources target, boolean demandedElsewhere, boolean idle) {
        static Slack of(
                State state,
                ShardState shard,
                TeamId team,
                Resources budget,
                Resources freeCapacity,
                Resources fleetCapacity) {
            Resources limit = ShardBudgets.limitOf(state, team);
            Resources unallocated =
                    limit.minus(state.limits().ledger().allocated(team)).max(Resources.ZERO);
            TeamDemand demand = TeamDemand.of(shard, team, freeCapacity);
            Resources usedAndCharged = shard.usageOf(team).plus(shard.unacquiredCapacity());
            Resources maxBudget = budget.plus(unallocated).max(Limits.nonBindingLimit(state, team));
            boolean isStartable = demand.anyHeadFits(maxBudget.minus(usedAndCharged));
            Resources ceiling = BudgetDemand.budgetCeiling(state, team, limit, demand);
            Resources requested =
                    isStartable ? BudgetDemand.requiredBudget(shard, team, demand) : usedAndCharged;
            Resources minimum = fleetCapacity.fitsIn(limit) ? shard.capacity() : Resources.ZERO;
            Resources required = requested.min(ceiling).max(minimum);
            Resources chunk = LedgerPlanner.chunkSize(limit);
            Resources shortageElsewhere =
                    BudgetDemand.unmetElsewhere(state, team).minus(unallocated);
            Resources exactTarget = required.min(budget);
            boolean demandedElsewhere =
                    haveCommonPositiveComponent(shortageElsewhere, budget.minus(exactTarget));
            Resources idleThreshold =
                    required.times(IDLE_BUDGET_FACTOR).plus(chunk.times(IDLE_BUDGET_FACTOR));
            boolean idle = !fleetCapacity.fitsIn(limit) && !budget.fitsIn(idleThreshold);
            Resources target = demandedElsewhere ? exactTarget : required.plus(chunk).min(budget);
            return new Slack(required, target, demandedElsewhere, idle);
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
