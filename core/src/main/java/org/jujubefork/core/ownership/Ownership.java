package org.jujubefork.core.ownership;

import java.util.Optional;
import org.jujubefork.core.control.State;
import org.jujubefork.core.control.Transition;
import org.jujubefork.core.effect.DecisionKind;
import org.jujubefork.core.effect.LogDecision;
import org.jujubefork.core.membership.Member;
import org.jujubefork.core.membership.Membership;
import org.jujubefork.core.membership.ShardSummary;
import org.jujubefork.core.model.AttemptResult;
import org.jujubefork.core.model.Epoch;
import org.jujubefork.core.model.RefusalReason;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.TaskId;
import org.jujubefork.core.model.WorkerListing;
import org.jujubefork.core.placement.RunningTask;
import org.jujubefork.core.placement.ShardState;
import org.jujubefork.core.placement.Workers;
import org.jujubefork.core.requests.AttemptReporter;
import org.pcollections.PSortedMap;

/**
 * Claims shards that have no live owner and releases shards that another entry has claimed.
 *
 * <p>Safety does not depend on these decisions, because a worker rejects an owner whose epoch is
 * lower than the epoch that the worker has stored. The decisions only have to converge soon on one
 * owner for each shard.
 */
public final class Ownership {
    /** How long an entry that has just started receives gossip before it claims shards. */
    static final long INITIAL_LISTEN_MILLIS = 4_000;

    /** How long a shard must be without a live owner before the best candidate claims it. */
    static final long CLAIM_DELAY_MILLIS = 300;

    /**
     * Replaces {@link #CLAIM_DELAY_MILLIS} if the last owner is alive. In that case the last owner
     * has released the shard to another owner, whose row may take four rounds of gossip to arrive.
     */
    static final long RELEASED_CLAIM_DELAY_MILLIS = 5_000;

    /**
     * Additional claim delay for each live entry that ranks before this entry as owner of the
     * shard. Lower-ranked entries may claim too, because the best candidate may be in back-off
     * after a loss, or may still consider the shard owned.
     */
    static final long CLAIM_DELAY_PER_RANK_MILLIS = 3_000;

    /** How long a shard must be owned before the back-off after earlier losses is reset. */
    static final long BACKOFF_RESET_AFTER_MILLIS = 60_000;

    private Ownership() {}

    /** Claims and releases shards, based on gossip and the VM list. */
    public static Transition tick(State state) {
        Transition result = Transition.of(state);
        for (ShardId shard : state.fleet().byShard().keySet()) {
            result = result.then(s -> reviewShard(s, shard));
        }
        for (ShardState shard : state.shards().values()) {
            if (!state.fleet().byShard().containsKey(shard.id())) {
                result = result.then(s -> releaseIfWithoutWorkers(s, shard.id()));
            }
        }
        return result;
    }

    /** Releases a shard that is not on the VM list once its last worker has been removed. */
    private static Transition releaseIfWithoutWorkers(State state, ShardId shard) {
        ShardState owned = state.shards().get(shard);
        return owned == null || !owned.workers().isEmpty()
                ? Transition.of(state)
                : release(state, shard, owned.epoch(), "all workers of the shard were removed");
    }

    private static Transition reviewShard(State state, ShardId shard) {
        Optional<ShardClaim> otherClaim = highestClaimOfOthers(state, shard);
        ShardState owned = state.shards().get(shard);
        if (owned != null) {
            return otherClaim.isPresent() && otherClaim.get().epoch().isAbove(owned.epoch())
                    ? release(
                            state,
                            shard,
                            otherClaim.get().epoch(),
                            "another entry has a higher epoch")
                    : Transition.of(resetLossesIfStable(state, owned));
        }
        ShardOwnership shardOwnership = state.ownership().shard(shard);
        if (otherClaim.isPresent()) {
            shardOwnership = shardOwnership.withEpochNumber(otherClaim.get().epoch().number());
            boolean isOfferedToSelf =
                    otherClaim.get().handoverTo().equals(Optional.of(state.self().id().name()));
            if (!isOfferedToSelf) {
                return Transition.of(
                        state.withOwnership(
                                state.ownership()
                                        .withShard(
                                                shard,
                                                shardOwnership.withOwner(
                                                        otherClaim.get().epoch().holder()))));
            }
            return state.draining()
                    ? Transition.of(state)
                    : claim(
                            state.withOwnership(state.ownership().withShard(shard, shardOwnership)),
                            shard,
                            "handed over by the owner");
        }
        shardOwnership = shardOwnership.withoutLiveOwner(state.nowMillis());
        State updated = state.withOwnership(state.ownership().withShard(shard, shardOwnership));
        return isClaimDue(updated, shard, shardOwnership)
                ? claim(updated, shard, "no live owner")
                : Transition.of(updated);
    }

    private static State resetLossesIfStable(State state, ShardState owned) {
        ShardOwnership shardOwnership = state.ownership().shard(owned.id());
        boolean isStable =
                state.nowMillis() - owned.claimedAtMillis() >= BACKOFF_RESET_AFTER_MILLIS;
        return isStable && shardOwnership.lossCount() > 0
                ? state.withOwnership(
                        state.ownership().withShard(owned.id(), shardOwnership.withLossesReset()))
                : state;
    }

    private static long claimDelayMillis(State state, ShardOwnership shardOwnership) {
        boolean isReleased =
                shardOwnership
                        .owner()
                        .flatMap(o -> state.membership().member(o))
                        .map(m -> Membership.isAlive(state, m))
                        .orElse(false);
        return isReleased ? RELEASED_CLAIM_DELAY_MILLIS : CLAIM_DELAY_MILLIS;
    }

    private static boolean isClaimDue(State state, ShardId shard, ShardOwnership shardOwnership) {
        long nowMillis = state.nowMillis();
        return !state.draining()
                && state.configuration().isPresent()
                && nowMillis - state.membership().startedAtMillis() >= INITIAL_LISTEN_MILLIS
                && nowMillis >= shardOwnership.backoffUntilMillis()
                && nowMillis - shardOwnership.unownedSinceMillis()
                        >= claimDelayMillis(state, shardOwnership)
                                + OwnerCandidates.rank(state, shard) * CLAIM_DELAY_PER_RANK_MILLIS;
    }

    private static Transition claim(State state, ShardId shard, String reason) {
        long number = state.ownership().shard(shard).highestEpochNumber() + 1;
        return claimWithEpochNumber(state, shard, number, reason);
    }

    private static Transition claimWithEpochNumber(
            State state, ShardId shard, long number, String reason) {
        Epoch epoch = Epoch.of(number, state.self().id());
        ShardState claimedShard = ShardState.claimed(shard, epoch, state.nowMillis());
        OwnershipState ownership =
                state.ownership()
                        .withShard(
                                shard,
                                state.ownership()
                                        .shard(shard)
                                        .withEpochNumber(number)
                                        .withLiveOwner());
        Transition result =
                Transition.of(state.withOwnership(ownership).withShard(claimedShard))
                        .with(shardDecision(DecisionKind.SHARD_CLAIMED, shard, epoch, reason));
        for (WorkerListing listing : state.fleet().byShard().get(shard).values()) {
            result = result.then(s -> Workers.acquire(s, shard, listing));
        }
        return result;
    }

    /**
     * Handles an epoch of {@code shard} that was observed at a worker or in the ledger. Records
     * {@code observed} if its number is the highest seen so far. If {@code observed} is not above
     * the epoch under which this entry owns the shard, nothing else changes.
     *
     * <p>If the holder of a higher epoch is alive, or is not known to be dead, this entry releases
     * the shard. If the holder is dead, this entry claims the shard again with a still higher
     * epoch, but only if it has not lost the shard before. In a network partition in which both
     * sides reach some of the workers, each side considers the other one dead. The back-off, which
     * doubles with each loss, then bounds how often the shard changes its owner.
     */
    public static Transition handleHigherEpoch(State state, ShardId shard, Epoch observed) {
        ShardState owned = state.shards().get(shard);
        ShardOwnership withEpoch =
                state.ownership().shard(shard).withEpochNumber(observed.number());
        State updated = state.withOwnership(state.ownership().withShard(shard, withEpoch));
        if (owned == null || !observed.isAbove(owned.epoch())) {
            return Transition.of(updated);
        }
        boolean isFirstLoss = updated.ownership().shard(shard).lossCount() == 0;
        boolean mayOwn = !updated.draining() && updated.fleet().byShard().containsKey(shard);
        if (mayOwn
                && (isEarlierIncarnationOfSelf(updated, observed)
                        || (isFirstLoss && isKnownDead(updated, observed)))) {
            return release(updated, shard, observed, "higher epoch of a dead holder observed")
                    .then(
                            s ->
                                    claimWithEpochNumber(
                                            s, shard, observed.number() + 1, "holder is dead"));
        }
        return release(updated, shard, observed, "higher epoch observed");
    }

    private static boolean isEarlierIncarnationOfSelf(State state, Epoch observed) {
        return observed.holder().name().equals(state.self().id().name())
                && observed.holder().incarnation() < state.self().id().incarnation();
    }

    private static boolean isKnownDead(State state, Epoch observed) {
        Member member = state.membership().members().get(observed.holder().name());
        if (member == null) {
            return state.nowMillis() - state.membership().startedAtMillis()
                    >= state.timing().deadAfterMillis();
        }
        return !Membership.isAlive(state, member)
                || member.row().id().incarnation() > observed.holder().incarnation();
    }

    /**
     * Releases {@code shard}. Waiting requests are reported to their origin as not run here;
     * running requests are still answered.
     */
    private static Transition release(State state, ShardId shard, Epoch successor, String reason) {
        ShardState owned = state.shards().get(shard);
        ShardOwnership shardOwnership =
                state.ownership()
                        .shard(shard)
                        .withEpochNumber(successor.number())
                        .afterLoss(state.nowMillis());
        PSortedMap<TaskId, RunningTask> detached = state.detachedTasks();
        for (RunningTask task : owned.tasks().values()) {
            if (task.origin().isPresent()) {
                detached = detached.plus(task.spec().id(), task);
            }
        }
        State released =
                state.withShards(state.shards().minus(shard))
                        .withDetachedTasks(detached)
                        .withOwnership(state.ownership().withShard(shard, shardOwnership));
        Transition result =
                Transition.of(released)
                        .with(shardDecision(DecisionKind.SHARD_RELEASED, shard, successor, reason));
        AttemptResult ownerChanged = AttemptResult.notRunHere(RefusalReason.OWNER_CHANGED);
        for (var request : owned.queue().requestPositions().keySet()) {
            var origin = owned.queue().request(request).orElseThrow().origin();
            result = result.then(s -> AttemptReporter.report(s, origin, ownerChanged));
        }
        return result;
    }

    private static LogDecision shardDecision(
            DecisionKind kind, ShardId shard, Epoch epoch, String reason) {
        return new LogDecision(
                kind, shard.value(), Optional.empty(), epoch.toString(), reason, 0, 0);
    }

    /**
     * The claim of another entry to a shard.
     *
     * @param epoch the epoch of the claim
     * @param handoverTo the name of the entry that is asked to take over the shard; empty if none
     */
    private record ShardClaim(Epoch epoch, Optional<String> handoverTo) {}

    private static Optional<ShardClaim> highestClaimOfOthers(State state, ShardId shard) {
        Optional<ShardClaim> highest = Optional.empty();
        for (Member member : state.membership().members().values()) {
            Optional<ShardSummary> summary = member.row().shard(shard);
            if (summary.isEmpty() || !Membership.isAlive(state, member)) {
                continue;
            }
            Epoch epoch = summary.get().epoch();
            if (highest.isEmpty() || epoch.isAbove(highest.get().epoch())) {
                highest = Optional.of(new ShardClaim(epoch, summary.get().handoverTo()));
            }
        }
        return highest;
    }
}
