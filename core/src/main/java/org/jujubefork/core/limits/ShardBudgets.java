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

/** Keeps the records of owned shards: adopted usage and local caps. */
public final class ShardBudgets {
    private ShardBudgets() {}

    /** Brings the records in line with the shards, and stops work above a lowered limit. */
    public static Transition tick(State state) {
        PSortedMap<ShardId, ShardBudgetState> records = TreePMap.empty();
        for (ShardState shard : state.shards().values()) {
            ShardBudgetState record =
                    state.limits()
                            .budgetState(shard.id())
                            .filter(r -> r.epoch().equals(shard.epoch()))
                            .orElse(ShardBudgetState.claimed(shard.epoch()));
            records = records.plus(shard.id(), record);
        }
        Transition result =
                Transition.of(state.withLimits(state.limits().withBudgetStates(records)));
        for (ShardId shard : records.keySet()) {
            result =
                    result.then(s -> updateTakeover(s, shard))
                            .then(s -> LocalCaps.update(s, shard))
                            .then(s -> LimitEnforcement.stopOverLimitTasks(s, shard));
        }
        return result;
    }

    /**
     * Has each owned shard wait for answers of its workers before it starts work of limited teams.
     *
     * <p>An entry that was paused may have lost its shards without knowing, and a worker that was
     * added meanwhile would accept its epoch.
     */
    public static State afterPause(State state, long nowMillis) {
        PSortedMap<ShardId, ShardBudgetState> records = state.limits().budgetStates();
        for (var entry : records.entrySet()) {
            records =
                    records.plus(entry.getKey(), entry.getValue().withUnconfirmedSince(nowMillis));
        }
        return state.withLimits(state.limits().withBudgetStates(records));
    }

    /**
     * Follows the takeover of a shard.
     *
     * <p>Once the last worker is acquired, no earlier owner can start anything. What the workers
     * report from then on is a subset of what ran at that moment, which was within the earlier
     * owner's budget. Reports sent before that moment do not count: work that ended on a worker
     * acquired early may have been replaced by work on one that was acquired late.
     */
    private static Transition updateTakeover(State state, ShardId id) {
        ShardState shard = state.shards().get(id);
        ShardBudgetState record = state.limits().budgetStates().get(id);
        boolean renew = false;
        if (record.allAcquiredAtMillis() == Member.NEVER && shard.charged().isZero()) {
            record = record.withAllAcquiredAt(state.nowMillis());
            renew = !hasOwnRows(state, shard);
        }
        if (record.adoptedUsage().isEmpty()
                && record.allAcquiredAtMillis() != Member.NEVER
                && unconfirmedCapacity(shard, record.allAcquiredAtMillis()).isZero()) {
            record = record.withAdoptedUsage(shard.usage());
        }
        if (record.unconfirmedSinceMillis() != Member.NEVER
                && isConfirmedSince(shard, record.unconfirmedSinceMillis())) {
            record = record.withUnconfirmedSince(Member.NEVER);
        } else if (record.unconfirmedSinceMillis() == state.nowMillis()) {
            renew = true;
        }
        State noted = state.withLimits(state.limits().withBudgetState(id, record));
        return renew ? Workers.renewAll(noted, id) : Transition.of(noted);
    }

    /** Returns whether the ledger shows rows of {@code shard} under the owner's epoch. */
    static boolean hasOwnRows(State state, ShardState shard) {
        return state.limits()
                .ledger()
                .highestEpoch(shard.id())
                .filter(e -> e.equals(shard.epoch()))
                .isPresent();
    }

    /**
     * Returns the capacity of workers that have not granted a renewal sent at or after {@code
     * sinceMillis}; another owner may have taken them before that time.
     */
    static Resources unconfirmedCapacity(ShardState shard, long sinceMillis) {
        Resources sum = Resources.ZERO;
        for (WorkerState worker : shard.workers().values()) {
            if (worker.phase() == WorkerPhase.ACQUIRING || worker.leaseSentMillis() < sinceMillis) {
                sum = sum.plus(worker.capacity());
            }
        }
        return sum;
    }

    private static boolean isConfirmedSince(ShardState shard, long sinceMillis) {
        return shard.workers().values().stream()
                .noneMatch(
                        w -> w.phase() == WorkerPhase.ACTIVE && w.leaseSentMillis() < sinceMillis);
    }

    /** Returns the teams of the configuration and of the ledger. */
    static Set<TeamId> knownTeams(State state) {
        Set<TeamId> teams = new TreeSet<>(state.limits().ledger().rows().keySet());
        state.configuration().ifPresent(c -> teams.addAll(c.teams().keySet()));
        return teams;
    }

    /** Returns the upper limit of {@code team}; zero if it was removed. */
    static Resources limitOf(State state, TeamId team) {
        Optional<Team> known = state.configuration().flatMap(c -> c.team(team));
        return known.map(Team::limit).orElse(Resources.ZERO);
    }
}
