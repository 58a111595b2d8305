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
public final class Budgets {
    private Budgets() {}

    /** Brings the records in line with the shards, and stops work above a lowered limit. */
    public static Transition tick(State state) {
        PSortedMap<ShardId, ShardBudget> records = TreePMap.empty();
        for (ShardState shard : state.shards().values()) {
            ShardBudget record =
                    state.limits()
                            .shard(shard.id())
                            .filter(r -> r.epoch().equals(shard.epoch()))
                            .orElse(ShardBudget.claimed(shard.epoch()));
            records = records.plus(shard.id(), record);
        }
        Transition result = Transition.of(state.withLimits(state.limits().withShards(records)));
        for (ShardId shard : records.keySet()) {
            result =
                    result.then(s -> survey(s, shard))
                            .then(s -> Caps.update(s, shard))
                            .then(s -> Excess.stop(s, shard));
        }
        return result;
    }

    /**
     * Has each owned shard wait for answers of its workers before it starts work of limited teams.
     *
     * <p>An entry that was paused may have lost its shards without knowing, and a worker that was
     * added meanwhile would accept its epoch.
     */
    public static State resumed(State state, long nowMillis) {
        PSortedMap<ShardId, ShardBudget> records = state.limits().shards();
        for (var entry : records.entrySet()) {
            records = records.plus(entry.getKey(), entry.getValue().confirmFrom(nowMillis));
        }
        return state.withLimits(state.limits().withShards(records));
    }

    /**
     * Follows the takeover of a shard.
     *
     * <p>Once the last worker is acquired, no earlier owner can start anything. What the workers
     * report from then on is a subset of what ran at that moment, which was within the earlier
     * owner's budget. Reports sent before that moment do not count: work that ended on a worker
     * acquired early may have been replaced by work on one that was acquired late.
     */
    private static Transition survey(State state, ShardId id) {
        ShardState shard = state.shards().get(id);
        ShardBudget record = state.limits().shards().get(id);
        boolean renew = false;
        if (record.completeAtMillis() == Member.NEVER && shard.unacquiredCapacity().isZero()) {
            record = record.complete(state.nowMillis());
            renew = !hasOwnRows(state, shard);
        }
        if (record.adopted().isEmpty()
                && record.completeAtMillis() != Member.NEVER
                && unconfirmed(shard, record.completeAtMillis()).isZero()) {
            record = record.adopting(shard.usage());
        }
        if (record.confirmFromMillis() != Member.NEVER
                && isAnswered(shard, record.confirmFromMillis())) {
            record = record.confirmFrom(Member.NEVER);
        } else if (record.confirmFromMillis() == state.nowMillis()) {
            renew = true;
        }
        State noted = state.withLimits(state.limits().withShard(id, record));
        return renew ? Workers.renewAll(noted, id) : Transition.of(noted);
    }

    /** Returns whether the ledger shows rows of {@code shard} under the owner's epoch. */
    static boolean hasOwnRows(State state, ShardState shard) {
        return state.limits()
                .ledger()
                .epochOf(shard.id())
                .filter(e -> e.equals(shard.epoch()))
                .isPresent();
    }

    /**
     * Returns the capacity of workers that have not granted a renewal sent at or after {@code
     * sinceMillis}; another owner may have taken them before that time.
     */
    static Resources unconfirmed(ShardState shard, long sinceMillis) {
        Resources sum = Resources.ZERO;
        for (WorkerState worker : shard.workers().values()) {
            if (worker.phase() == WorkerPhase.ACQUIRING
                    || worker.grantedRequestSentAtMillis() < sinceMillis) {
                sum = sum.plus(worker.capacity());
            }
        }
        return sum;
    }

    private static boolean isAnswered(ShardState shard, long sinceMillis) {
        return shard.workers().values().stream()
                .noneMatch(
                        w ->
                                w.phase() == WorkerPhase.ACTIVE
                                        && w.grantedRequestSentAtMillis() < sinceMillis);
    }

    /** Returns the teams of the configuration and of the ledger. */
    static Set<TeamId> teams(State state) {
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
