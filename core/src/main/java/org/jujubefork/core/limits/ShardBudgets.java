package org.jujubefork.core.limits;

import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.jujubefork.core.configuration.Team;
import org.jujubefork.core.control.State;
import org.jujubefork.core.control.Transition;
import org.jujubefork.core.membership.Member;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.TeamId;
import org.jujubefork.core.placement.ShardState;
import org.jujubefork.core.placement.WorkerPhase;
import org.jujubefork.core.placement.WorkerState;
import org.jujubefork.core.placement.Workers;
import org.pcollections.PSortedMap;
import org.pcollections.TreePMap;

/** Maintains the {@link ShardBudgetState} of each owned shard: adopted usage and local caps. */
public final class ShardBudgets {
    private ShardBudgets() {}

    /**
     * Updates the budget state of all owned shards and stops work that exceeds a lowered limit.
     * Shards that were claimed under a new epoch start from an empty state.
     */
    public static Transition tick(State state) {
        PSortedMap<ShardId, ShardBudgetState> budgetStates = TreePMap.empty();
        for (ShardState shard : state.shards().values()) {
            ShardBudgetState budgetState =
                    state.limits()
                            .budgetState(shard.id())
                            .filter(s -> s.epoch().equals(shard.epoch()))
                            .orElse(ShardBudgetState.claimed(shard.epoch()));
            budgetStates = budgetStates.plus(shard.id(), budgetState);
        }
        Transition result =
                Transition.of(state.withLimits(state.limits().withBudgetStates(budgetStates)));
        for (ShardId shard : budgetStates.keySet()) {
            result =
                    result.then(s -> updateTakeover(s, shard))
                            .then(s -> LocalCaps.update(s, shard))
                            .then(s -> LimitEnforcement.stopOverLimitTasks(s, shard));
        }
        return result;
    }

    /**
     * Returns {@code state} after a pause of this entry: no owned shard starts work of a limited
     * team until its active workers have granted a renewal sent at or after {@code nowMillis}.
     *
     * <p>The entry may have lost its shards during the pause without knowing it, and a worker that
     * was added in the meantime would accept the entry's outdated epoch.
     */
    public static State afterPause(State state, long nowMillis) {
        PSortedMap<ShardId, ShardBudgetState> budgetStates = state.limits().budgetStates();
        for (var shardAndState : budgetStates.entrySet()) {
            budgetStates =
                    budgetStates.plus(
                            shardAndState.getKey(),
                            shardAndState.getValue().withUnconfirmedSince(nowMillis));
        }
        return state.withLimits(state.limits().withBudgetStates(budgetStates));
    }

    /**
     * Tracks the takeover of shard {@code id} and adopts the usage that its workers report.
     *
     * <p>Once the last worker is acquired, no earlier owner can start work. Later reports show a
     * subset of the work that ran at that time, which was within the earlier owner's budget.
     * Reports sent before that time are ignored: after work has ended on a worker that was acquired
     * early, the earlier owner may have started other work under the same budget on a worker that
     * was acquired late.
     */
    private static Transition updateTakeover(State state, ShardId id) {
        ShardState shard = state.shards().get(id);
        ShardBudgetState budgetState = state.limits().budgetStates().get(id);
        boolean shouldRenew = false;
        if (budgetState.allAcquiredAtMillis() == Member.NEVER
                && shard.unacquiredCapacity().isZero()) {
            budgetState = budgetState.withAllAcquiredAt(state.nowMillis());
            shouldRenew = !hasOwnRows(state, shard);
        }
        if (budgetState.adoptedUsage().isEmpty()
                && budgetState.allAcquiredAtMillis() != Member.NEVER
                && unconfirmedCapacity(shard, budgetState.allAcquiredAtMillis()).isZero()) {
            budgetState = budgetState.withAdoptedUsage(shard.usage());
        }
        if (budgetState.unconfirmedSinceMillis() != Member.NEVER
                && isConfirmedSince(shard, budgetState.unconfirmedSinceMillis())) {
            budgetState = budgetState.withUnconfirmedSince(Member.NEVER);
        } else if (budgetState.unconfirmedSinceMillis() == state.nowMillis()) {
            shouldRenew = true;
        }
        State updated = state.withLimits(state.limits().withBudgetState(id, budgetState));
        return shouldRenew ? Workers.renewAll(updated, id) : Transition.of(updated);
    }

    /**
     * Returns whether the highest epoch in the ledger rows of {@code shard} is this owner's epoch.
     */
    static boolean hasOwnRows(State state, ShardState shard) {
        return state.limits()
                .ledger()
                .highestEpoch(shard.id())
                .filter(e -> e.equals(shard.epoch()))
                .isPresent();
    }

    /**
     * Returns the total capacity of the workers that have not granted a renewal sent at or after
     * {@code sinceMillis}. Another owner may have acquired them before that time.
     */
    static Resources unconfirmedCapacity(ShardState shard, long sinceMillis) {
        Resources sum = Resources.ZERO;
        for (WorkerState worker : shard.workers().values()) {
            if (worker.phase() == WorkerPhase.ACQUIRING
                    || worker.grantedRequestSentAtMillis() < sinceMillis) {
                sum = sum.plus(worker.capacity());
            }
        }
        return sum;
    }

    private static boolean isConfirmedSince(ShardState shard, long sinceMillis) {
        return shard.workers().values().stream()
                .noneMatch(
                        w ->
                                w.phase() == WorkerPhase.ACTIVE
                                        && w.grantedRequestSentAtMillis() < sinceMillis);
    }

    /** Returns all teams in the configuration or in the ledger, including removed teams. */
    static Set<TeamId> knownTeams(State state) {
        Set<TeamId> teams = new TreeSet<>(state.limits().ledger().rows().keySet());
        state.configuration().ifPresent(c -> teams.addAll(c.teams().keySet()));
        return teams;
    }

    /** Returns the upper limit of {@code team}; zero if the configuration does not contain it. */
    static Resources limitOf(State state, TeamId team) {
        Optional<Team> configured = state.configuration().flatMap(c -> c.team(team));
        return configured.map(Team::limit).orElse(Resources.ZERO);
    }
}
